"""Finds online requests that crash the engines that run them, and refuses to send them again.

A caller that repeats such a request would otherwise crash one engine after the other. The rules are
those of the routed requests (``quarantine.verdicts``); the gateways share their evidence
(``evidence_sharing``).
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterable

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.online_request import OnlineRequest
from leverjunction.gateway.relay_stream import OutputTimes
from leverjunction.quarantine.records import EndedRun, SharedRecord
from leverjunction.quarantine.request_key import RequestContent, request_key
from leverjunction.quarantine.shared_evidence import SharedEvidence
from leverjunction.quarantine.verdicts import Standing, ran_on

PROBE_DELAY_S = 0.005
"""Delay between a lost run and the probe: a process that exits closes its connections and its port
within a millisecond or two, in any order.
"""

PROBE_TIMEOUT_S = 0.2


class CrashingRequests:
    """Evidence about online requests that crash engines. Thread-safe.

    Attributes:
        on_crash: To be called with a request's key after a crash during it, before the request is
            sent again or its caller gets an answer; may block for a moment.
        on_answer: Called with a suspect request's key after a complete response; must not block.

    Args:
        clock: Monotonic clock.
        has_crashed: Returns whether the process at an address has ended; may block for a moment.
    """

    __slots__ = (
        "_clock",
        "_evidence",
        "_has_crashed",
        "_lock",
        "_suspects",
        "on_answer",
        "on_crash",
    )

    def __init__(self, clock: Clock, has_crashed: Callable[[str], bool] | None = None) -> None:
        self._clock = clock
        self._has_crashed = has_crashed or refuses_connections
        self._lock = threading.Lock()
        self._evidence = SharedEvidence()
        self._suspects = self._evidence.suspects
        self.on_crash: Callable[[str], None] = _ignore_key
        self.on_answer: Callable[[str], None] = _ignore_key

    def refusal(
        self, request: OnlineRequest, execution: Execution = Execution.NOT_RUN
    ) -> Failure | None:
        """Return the refusal of a request that has crashed too many engines, otherwise None.

        Args:
            request: The request.
            execution: Whether an earlier attempt of this request may have run.
        """
        if self._suspects.is_empty:
            return None
        with self._lock:
            self._evidence.expire(self._clock.monotonic_s())
            key = self._suspects.find(_content(request))
            if not key or self._suspects.standing(key) is not Standing.REFUSED:
                return None
        return Failure(
            kind=FailureKind.HARMFUL,
            reason=f"back ends crashed on this request (key {key}); it is not run again for a "
            "while, so change the request before you send it again",
            step=Step.ROUTING,
            execution=execution,
        )

    def lost(
        self, request: OnlineRequest, start: str, address: str, output: OutputTimes | None
    ) -> str:
        """Record a run that its engine broke off; it counts if the engine has crashed.

        Args:
            request: The request.
            start: Runner and incarnation that ran it.
            address: ``host:port`` of the engine.
            output: Times of the response's events; None if it did not begin.

        Returns:
            The request's key, to be passed to ``on_crash``; empty if the engine has not crashed.
        """
        has_run_on = output is not None and ran_on(output.first_s, output.last_s)
        if not self._has_crashed(address):
            return ""
        key = request_key(_content(request))
        logger.warning(
            "back end {} crashed {} while it ran request {} ({})",
            start,
            "late" if has_run_on else "early",
            key,
            address,
        )
        run = EndedRun(key=key, start=start, request_id=request.request_id, ran_on=has_run_on)
        with self._lock:
            self._evidence.ended(run, self._clock.monotonic_s())
        return key

    def answered(self, request: OnlineRequest) -> None:
        """Clear a request after a complete response."""
        if self._suspects.is_empty:
            return
        with self._lock:
            key = self._suspects.find(_content(request))
            if not key:
                return
            self._evidence.answered(key, self._clock.monotonic_s())
        self.on_answer(key)

    def merge(self, records: Iterable[SharedRecord]) -> list[SharedRecord]:
        """Add evidence of another gateway.

        Returns:
            What this gateway knew in addition about the same requests.
        """
        with self._lock:
            return self._evidence.merge(records, self._clock.monotonic_s())

    def records(self, keys: Iterable[str]) -> list[SharedRecord]:
        """Return what is known about the requests with these keys."""
        with self._lock:
            return self._evidence.records(keys, self._clock.monotonic_s())

    def is_refused(self, key: str) -> bool:
        """Return whether the request with this key has crashed too many engines."""
        with self._lock:
            return self._suspects.standing(key) is Standing.REFUSED

    def newest_records(self) -> list[SharedRecord]:
        """Return what is known about the requests with the newest evidence."""
        with self._lock:
            return self._evidence.newest(self._clock.monotonic_s())


def accepts_connections(address: str) -> bool:
    """Return whether something listens on an address; may block for ``PROBE_TIMEOUT_S``."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), PROBE_TIMEOUT_S).close()
    except OSError:
        return False
    return True


def refuses_connections(address: str) -> bool:
    """Return whether nothing listens on an address, which proves that its process has ended.

    A broken connection alone does not: it may also be cut by the network.
    """
    time.sleep(PROBE_DELAY_S)
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def _content(request: OnlineRequest) -> RequestContent:
    return RequestContent(
        host=b"",
        method=b"POST",
        target=request.path.encode(),
        credentials=request.tenant.encode(),
        body=request.body if request.received_body is None else request.received_body,
    )


def _ignore_key(_key: str) -> None:
    """Do nothing; used while the evidence is not shared."""


__all__ = ["CrashingRequests", "accepts_connections", "refuses_connections"]
