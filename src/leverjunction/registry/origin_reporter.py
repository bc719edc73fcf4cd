"""Reports the origins of a gateway's streams to control processes, from background threads."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

import xxhash
from loguru import logger

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.registry.origin_call import call_again
from leverjunction.registry.origins import OriginsStored, ReportOrigins, StreamOrigin
from leverjunction.registry.records import MemberRecord
from leverjunction.registry.report_pace import ReportPace
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.silent_peers import SilentPeers

COLLECT_S = 0.05
"""Shortest time between two reports."""

MEAN_INTERVALS_S = (0.05, 0.05, 0.2)
"""Mean time between reports that go on for long, for each of the control processes that an origin
is reported to. Two of them suffice for an origin to be recorded; the last one is for their end.
"""

BURST_REPORTS = 10
"""Reports that the last one gets as soon as the others: most streams of a gateway may begin within
a moment, and the others may end right after it.
"""

HOLDERS = len(MEAN_INTERVALS_S)
"""Control processes that each origin is reported to."""

MAX_WAITING = 20_000
RETRY_PAUSE_S = 0.2

PROBE_TIMEOUT_S = 0.1
"""Time for the answer of a control process that was silent, while later reports wait."""

Stored = Callable[[str, Sequence[int], OriginsStored], None]
"""Called with the address of a control process, the streams whose origins it has stored, and its
reply.
"""


def rank_holders(gateway: str, controls: Sequence[MemberRecord], number: int) -> list[str]:
    """Return the control processes in the order in which a reporter of a gateway uses them.

    Different gateways prefer different ones, and the reporters of a gateway different zones. After
    its own, a reporter uses those that no other reporter prefers, each from another one on, then
    that of the last reporter.

    Args:
        gateway: Name of the gateway.
        controls: The control processes.
        number: Number of the reporter, from 0.
    """
    left = sorted(
        controls, key=lambda item: xxhash.xxh64_intdigest(f"{gateway} {item.address}".encode())
    )
    preferred: list[MemberRecord] = []
    for _ in range(min(HOLDERS, len(left))):
        zones = {item.zone for item in preferred}
        best = next((item for item in left if item.zone not in zones), left[0])
        left.remove(best)
        preferred.append(best)
    own = preferred[number : number + 1]
    others = [item for item in reversed(preferred) if item not in own]
    if left:
        first = number % len(left)
        left = [*left[first:], *left[:first]]
    return [item.address for item in (*own, *left, *others)]


class OriginReporter:
    """Sends reports to one control process at a time from a background thread. Thread-safe.

    Args:
        rpc: Client of the internal RPC.
        holders: Returns the control processes to use, the best one first.
        live: Returns all origins of the gateway, for a control process that has none of them.
        stored: Called from the thread.
        collect_s: Shortest time between two reports, in seconds.
        mean_s: Mean time between reports that go on for long, in seconds.
    """

    def __init__(
        self,
        rpc: RpcClient,
        holders: Callable[[], Sequence[str]],
        live: Callable[[], dict[int, StreamOrigin]],
        stored: Stored,
        collect_s: float,
        mean_s: float = 0.0,
    ) -> None:
        self._rpc = rpc
        self._holders = holders
        self._live = live
        self._stored = stored
        self._pace = ReportPace(collect_s, mean_s, BURST_REPORTS)
        self._silent = SilentPeers()
        self._waiting: dict[int, StreamOrigin] = {}
        self._told: tuple[str, int] | None = None
        self._changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="origin-reporter", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to stop."""
        with self._changed:
            self._stopped = True
            self._changed.notify_all()

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        """Queue origins; what a long outage piles up is dropped."""
        with self._changed:
            if len(self._waiting) >= MAX_WAITING:
                streams = {key: streams[key] for key in streams if key in self._waiting}
            self._waiting.update(streams)
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (self._waiting or self._stopped):
                    self._changed.wait()
                pause_s = self._pace.due_s() - steady_s()
                if pause_s > 0:
                    self._changed.wait_for(lambda: self._stopped, pause_s)
                if self._stopped:
                    return
                streams, self._waiting = self._waiting, {}
            self._pace.sent(steady_s())
            if not self._try_to_send(streams):
                with self._changed:
                    self._waiting = {**streams, **self._waiting}
                    self._changed.wait_for(lambda: self._stopped, RETRY_PAUSE_S)

    def _try_to_send(self, streams: dict[int, StreamOrigin]) -> bool:
        try:
            was_sent = self._send(streams)
            if was_sent:
                self._probe_own()
            return was_sent
        except Exception:
            # The thread must survive: nothing else reports what began this gateway's streams.
            logger.exception("reporting origins of streams failed")
            return False

    def _send(self, streams: dict[int, StreamOrigin]) -> bool:
        """Send origins to the best control process that answers; return whether one did."""
        for holder in self._silent.in_order(self._holders()):
            reply = self._call(holder, streams)
            if isinstance(reply, Failure):
                logger.debug("{} did not store origins: {}", holder, reply.reason)
                continue
            told = (holder, reply.incarnation)
            if told != self._told:
                # It has none of what was reported before: another one has, or its former start.
                live = self._live()
                if isinstance(self._call(holder, live), Failure):
                    return False
                self._told = told
                self._stored(holder, tuple(live), reply)
            self._stored(holder, tuple(streams), reply)
            return True
        return False

    def _probe_own(self) -> None:
        """Find out whether the best control process answers again, once another one was told.

        Otherwise all reporters would end up at the last one that was never silent.
        """
        own = next(iter(self._holders()), None)
        now_s = steady_s()
        if own is None or not self._silent.is_silent(own) or not self._silent.may_try(own, now_s):
            return
        nothing = ReportOrigins(streams={}, is_recorded_first=True)
        reply = self._rpc.call(
            own, MessageKind.REPORT_ORIGINS, nothing, OriginsStored, timeout_s=PROBE_TIMEOUT_S
        )
        self._silent.record(own, reply, steady_s())

    def _call(self, holder: str, streams: dict[int, StreamOrigin]) -> OriginsStored | Failure:
        message = ReportOrigins(streams=streams, is_recorded_first=True)
        reply = call_again(self._rpc, holder, MessageKind.REPORT_ORIGINS, message, OriginsStored)
        was_silent = self._silent.is_silent(holder)
        self._silent.record(holder, reply, steady_s())
        if self._silent.is_silent(holder) and not was_silent:
            logger.info("{} does not answer reports of origins", holder)
        return reply


__all__ = ["COLLECT_S", "HOLDERS", "MEAN_INTERVALS_S", "OriginReporter", "rank_holders"]
