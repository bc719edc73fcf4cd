"""A gateway's client of the control processes, for proposals, queries and the state exchange.

The client uses one control process at a time, its hub. In an exchange the gateway sends its state
to the hub and receives changes of the settings and of the cluster view.
"""

from __future__ import annotations

import random as random_module
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec
from loguru import logger

from leverjunction.clock import Clock, SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quarantine.records import EvidenceNotice, EvidenceReply
from leverjunction.wire.backoff import TimeoutBackoff
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.hub_selector import HubSelector
from leverjunction.wire.messages import (
    Acknowledged,
    ExchangeReply,
    ExchangeRequest,
    YieldNotice,
)
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

DEFAULT_CALL_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 2.0
"""Timeout of one call to a hub. It is above the hub's timeout of its call to the leader (1.5 s)."""

EXCHANGE_TIMEOUT_S = 1.0
FULL_EXCHANGE_TIMEOUT_S = 2.0
"""Timeout of an exchange before the gateway has settings, as the reply may hold megabytes."""

YIELD_TIMEOUT_S = 0.5
EVIDENCE_TIMEOUT_S = 0.5
MAX_QUORUM_AGE_S = 2.0
"""Time without contact to the leader of group root after which a hub counts as stale."""

RETRY_PAUSE_S = 0.03
MAX_RETRY_PAUSE_S = 0.3

_RETRYABLE = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LISTENING,
        FailureKind.TIMEOUT,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.OUTCOME_UNKNOWN,
        FailureKind.OVERLOADED,
        FailureKind.STALE,
        FailureKind.STOPPING,
    }
)
"""Failures that a retry may resolve. Retries are safe, as every command is idempotent."""

_HUB_DOWN = frozenset({FailureKind.UNREACHABLE, FailureKind.NOT_LISTENING, FailureKind.STOPPING})
"""Failures that mean that the hub itself is down."""


class ControlClient:
    """Calls the control processes through one hub, with fail-over when it is down or stale.

    Safe to share between threads. Called by the gateway's request threads (claims, jobs), its
    harvester (leases, results) and its exchange loop.

    Args:
        rpc: Client of the internal RPC.
        hubs: RPC addresses of the hubs, nearest first.
        clock: Source of monotonic time.
        random: Generator of the jitter between retries.
        sleep: Function that waits between retries, in seconds.
    """

    def __init__(
        self,
        rpc: RpcClient,
        hubs: list[str],
        clock: Clock | None = None,
        random: random_module.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._rpc = rpc
        self._clock = clock or SystemClock()
        self._random = random or random_module.Random()
        self._sleep = sleep
        self._selector = HubSelector(hubs)
        self._hub_before_trial: str | None = None
        """Hub that calls go to while an exchange tries another one, which may not answer."""
        self._backoff = TimeoutBackoff(self._random)
        self._lock = threading.Lock()

    @property
    def hub(self) -> str:
        """Address of the hub in use."""
        with self._lock:
            return self._selector.current

    def set_hubs(self, hubs: list[str]) -> None:
        """Replace the list of hubs, nearest first. An empty list has no effect."""
        with self._lock:
            self._selector.replace(hubs)

    def propose(
        self,
        group: str,
        command: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> T | Failure:
        """Replicate a command in ``group`` and return the reply of its state machine.

        Retries for ``timeout_s`` seconds, since all commands are idempotent.

        Returns:
            The reply, a failure from the state machine, or the last failure of the transport. The
            latter has execution UNKNOWN if any attempt may have been committed.
        """
        return self._call_with_retries(MessageKind.PROPOSE, group, command, reply_type, timeout_s)

    def query(
        self,
        group: str,
        query: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> T | Failure:
        """Run a linearizable query at the leader of ``group``, with retries for ``timeout_s``."""
        return self._call_with_retries(MessageKind.QUERY, group, query, reply_type, timeout_s)

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        """Exchange state with the hub; called once a second by the gateway's exchange loop.

        There is no retry. After a failure the next call uses another hub, which replies with a full
        view because its incarnation differs. The reply of a stale hub is returned nevertheless.
        After several consecutive timeouts the hubs are taken to be overloaded, and for a while no
        exchange is sent; ``retry_after_s`` of the failure says for how long.
        """
        with self._lock:
            wait_s = self._backoff.remaining_s(self._clock.monotonic_s())
            if wait_s > 0:
                return _backoff_failure(self._selector.current, wait_s)
            before = self._selector.current
            hub = self._selector.select(self._clock.monotonic_s())
            self._hub_before_trial = before if hub != before else None
        if hub != before:
            logger.debug("trying hub {} instead of {}", hub, before)
        timeout_s = EXCHANGE_TIMEOUT_S if request.settings_version else FULL_EXCHANGE_TIMEOUT_S
        reply = self._rpc.call(
            hub, MessageKind.EXCHANGE, request, ExchangeReply, timeout_s=timeout_s
        )
        self._update_backoff(reply)
        self._record_exchange(hub, request, reply)
        with self._lock:
            self._hub_before_trial = None
        if not isinstance(reply, Failure):
            self.set_hubs(reply.hubs)
        return reply

    def _record_exchange(
        self, hub: str, request: ExchangeRequest, reply: ExchangeReply | Failure
    ) -> None:
        if isinstance(reply, Failure) and reply.kind is FailureKind.STALE:
            self._record_stale(hub, reply.reason)
        elif isinstance(reply, Failure):
            self._record_failure(hub, reply.reason)
        elif 0 <= reply.hub_settings_version < request.settings_version:
            # The hub may have lost its disk. It has nothing newer until its replica is repaired.
            self._record_failure(hub, f"outdated settings version {reply.hub_settings_version}")
        elif reply.quorum_age_s > MAX_QUORUM_AGE_S:
            self._record_stale(hub, f"no quorum for {reply.quorum_age_s:.1f} s")
        else:
            with self._lock:
                self._selector.record_success(hub)

    def notify_yield(self, rpc_address: str, notice: YieldNotice) -> Failure | None:
        """Notify a runner's owner gateway that online work has arrived, without retry."""
        reply = self._rpc.call(
            rpc_address, MessageKind.YIELD_NOTICE, notice, Acknowledged, timeout_s=YIELD_TIMEOUT_S
        )
        return reply if isinstance(reply, Failure) else None

    def share_evidence(self, rpc_address: str, notice: EvidenceNotice) -> EvidenceReply | Failure:
        """Send evidence of crashes to another gateway, without retry."""
        return self._rpc.call(
            rpc_address,
            MessageKind.CRASH_EVIDENCE,
            notice,
            EvidenceReply,
            timeout_s=EVIDENCE_TIMEOUT_S,
        )

    def _call_with_retries(
        self,
        kind: MessageKind,
        group: str,
        message: msgspec.Struct,
        reply_type: type[T],
        timeout_s: float,
    ) -> T | Failure:
        body = encode(message)
        deadline_s = self._clock.monotonic_s() + timeout_s
        pause_s = RETRY_PAUSE_S
        unknown = False
        while True:
            hub = self._hub_for_calls()
            left_s = deadline_s - self._clock.monotonic_s()
            reply = self._attempt(hub, kind, group, body, reply_type, left_s)
            if not isinstance(reply, Failure) or reply.kind not in _RETRYABLE:
                return reply
            unknown = unknown or reply.execution is not Execution.NOT_RUN
            if reply.peer == hub and _is_hub_down(reply, left_s):
                self._record_failure(hub, reply.reason)
            wait_s = max(pause_s * (0.5 + self._random.random()), reply.retry_after_s or 0.0)
            if self._clock.monotonic_s() + wait_s >= deadline_s:
                return _final_failure(reply, unknown)
            self._sleep(wait_s)
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)

    def _hub_for_calls(self) -> str:
        with self._lock:
            return self._hub_before_trial or self._selector.current

    def _attempt(
        self,
        hub: str,
        kind: MessageKind,
        group: str,
        body: bytes,
        reply_type: type[T],
        left_s: float,
    ) -> T | Failure:
        timeout_s = max(min(left_s, ATTEMPT_TIMEOUT_S), RETRY_PAUSE_S)
        raw = self._rpc.call_raw(hub, kind, body, group=group, timeout_s=timeout_s)
        return raw if isinstance(raw, Failure) else decode_reply(raw, reply_type, hub)

    def _update_backoff(self, reply: ExchangeReply | Failure) -> None:
        with self._lock:
            if isinstance(reply, Failure) and reply.kind is FailureKind.TIMEOUT:
                self._backoff.record_timeout(self._clock.monotonic_s())
            elif not isinstance(reply, Failure):
                self._backoff.record_reply()

    def _record_stale(self, hub: str, reason: str) -> None:
        with self._lock:
            newly_suspected = self._selector.record_stale(hub, self._clock.monotonic_s())
            current = self._selector.current
        if newly_suspected and current != hub:
            logger.warning("switched from hub {} to {}: {}", hub, current, reason)
        elif newly_suspected:
            logger.warning("keeping hub {}, no better one is known: {}", hub, reason)

    def _record_failure(self, hub: str, reason: str) -> None:
        with self._lock:
            newly_suspected = self._selector.record_failure(hub, self._clock.monotonic_s())
            if hub == self._hub_before_trial:
                self._hub_before_trial = None
            current = self._selector.current
        if newly_suspected:
            logger.warning("switched from hub {} to {}: {}", hub, current, reason)


def _is_hub_down(failure: Failure, left_s: float) -> bool:
    """Return whether a failure with the hub as its peer means that the hub is down or hangs.

    Args:
        failure: The failure of an attempt.
        left_s: Time that the call had left when the attempt began. With less than a whole attempt
            it may have ended while the hub was waiting for the leader.
    """
    timed_out = failure.kind is FailureKind.TIMEOUT and failure.step is Step.RESPONDING
    return (timed_out and left_s >= ATTEMPT_TIMEOUT_S) or failure.kind in _HUB_DOWN


def _backoff_failure(hub: str, wait_s: float) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"consecutive exchanges timed out; the next one is sent in {wait_s:.1f} s",
        step=Step.EXCHANGING,
        peer=hub,
        retry_after_s=wait_s,
        execution=Execution.NOT_RUN,
    )


def _final_failure(last: Failure, unknown: bool) -> Failure:
    """Return the last failure, with execution UNKNOWN if an earlier attempt may have run."""
    if not unknown:
        return last
    return msgspec.structs.replace(last, execution=Execution.UNKNOWN)
