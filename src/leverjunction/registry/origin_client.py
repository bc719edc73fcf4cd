"""Reports the origins of a gateway's streams to control processes, and asks them for others.

Each origin is reported to ``HOLDERS`` control processes in different zones. They keep it in memory:
all of them must end together with the gateway for an origin to be lost.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

import xxhash
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.registry.origin_call import call_again
from leverjunction.registry.origin_finder import FIND_TIMEOUT_S, OriginFinder
from leverjunction.registry.origins import (
    OriginsStored,
    ReportOrigins,
    Resumption,
    StreamOrigin,
)
from leverjunction.registry.records import MemberRecord
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

HOLDERS = 2
"""Control processes that each origin is reported to."""

COLLECT_S = 0.02
"""Time to collect reports: a gateway that ends in it loses them."""

MAX_WAITING = 20_000
RETRY_PAUSE_S = 0.2

Holders = Callable[[int], Sequence[str]]
"""Returns the addresses that a reporter with a number may report to, the best one first."""


def rank_holders(gateway: str, controls: Sequence[MemberRecord], number: int) -> list[str]:
    """Return the control processes in the order in which a reporter of a gateway uses them.

    Different gateways prefer different ones, and the reporters of a gateway different zones.

    Args:
        gateway: Name of the gateway.
        controls: The control processes.
        number: Number of the reporter, from 0.
    """
    ranked = sorted(
        controls, key=lambda item: xxhash.xxh64_intdigest(f"{gateway} {item.address}".encode())
    )
    used: list[MemberRecord] = []
    for _ in range(number):
        left = [item for item in ranked if item not in used]
        zones = {item.zone for item in used}
        used += [item for item in left if item.zone not in zones][:1] or left[:1]
    zones = {item.zone for item in used}
    others = [item for item in ranked if item not in used]
    apart = [item for item in others if item.zone not in zones]
    near = [item for item in others if item.zone in zones]
    return [item.address for item in (*apart, *near, *used)]


class OriginReporter:
    """Sends reports to one control process at a time from a background thread. Thread-safe.

    Args:
        rpc: Client of the internal RPC.
        holders: Returns the control processes to use, the best one first.
        live: Returns all origins of the gateway, for a control process that has none of them.
    """

    def __init__(
        self,
        rpc: RpcClient,
        holders: Callable[[], Sequence[str]],
        live: Callable[[], dict[int, StreamOrigin]],
    ) -> None:
        self._rpc = rpc
        self._holders = holders
        self._live = live
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
            if len(self._waiting) < MAX_WAITING:
                self._waiting.update(streams)
            self._changed.notify_all()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (self._waiting or self._stopped):
                    self._changed.wait()
                if self._stopped:
                    return
                self._changed.wait_for(lambda: self._stopped, COLLECT_S)
                streams, self._waiting = self._waiting, {}
            if not self._send(streams):
                with self._changed:
                    self._waiting = {**streams, **self._waiting}
                    self._changed.wait_for(lambda: self._stopped, RETRY_PAUSE_S)

    def _send(self, streams: dict[int, StreamOrigin]) -> bool:
        """Send origins to the best control process that answers; return whether one did."""
        for holder in self._holders():
            reply = self._call(holder, streams)
            if isinstance(reply, Failure):
                logger.debug("{} did not store origins: {}", holder, reply.reason)
                continue
            told = (holder, reply.incarnation)
            if told != self._told:
                # It has none of what was reported before: another one has, or its former start.
                if isinstance(self._call(holder, self._live()), Failure):
                    return False
                self._told = told
            return True
        return False

    def _call(self, holder: str, streams: dict[int, StreamOrigin]) -> OriginsStored | Failure:
        message = ReportOrigins(streams=streams)
        return call_again(self._rpc, holder, MessageKind.REPORT_ORIGINS, message, OriginsStored)


class OriginClient:
    """Reports origins, and finds those of other gateways' streams. Used by one event loop.

    Args:
        rpc: Client of the internal RPC.
        holders: Returns the control processes to report to, by the number of the reporter.
        controls: Returns the addresses of all control processes.
        live: Returns all origins of this gateway; called from other threads.
    """

    def __init__(
        self,
        rpc: RpcClient,
        holders: Holders,
        controls: Callable[[], list[str]],
        live: Callable[[], dict[int, StreamOrigin]],
    ) -> None:
        self._reporters = [
            OriginReporter(rpc, lambda number=number: holders(number), live)  # type: ignore[misc]
            for number in range(HOLDERS)
        ]
        self._finder = OriginFinder(rpc, controls)

    def start(self) -> None:
        """Start the threads."""
        for reporter in self._reporters:
            reporter.start()

    def stop(self) -> None:
        """Tell the threads to stop."""
        for reporter in self._reporters:
            reporter.stop()
        self._finder.stop()

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        """Report origins without waiting."""
        for reporter in self._reporters:
            reporter.report(streams)

    async def find(self, stream: int, service: str) -> Resumption:
        """Ask all control processes for the origin of a stream.

        Args:
            stream: Key of the stream.
            service: Service that the stream would be sent to.
        """
        return await self._finder.find(stream, service, FIND_TIMEOUT_S)


__all__ = ["OriginClient", "OriginReporter", "rank_holders"]
