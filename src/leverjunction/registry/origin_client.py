"""Shares the origins of streams between gateways, by way of the control processes.

Each origin is reported to ``HOLDERS`` control processes in different zones: all of them must end
together with the gateway for an origin to be lost.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from leverjunction.registry.origin_acks import OriginAcks
from leverjunction.registry.origin_finder import OriginFinder
from leverjunction.registry.origin_reporter import COLLECT_S, MEAN_INTERVALS_S, OriginReporter
from leverjunction.registry.origins import OriginsStored, Resumption, StreamOrigin
from leverjunction.wire.rpc_client import RpcClient

RECORD_TIMEOUT_S = 0.3
"""Longest wait of a stream's first event until its origin is recorded."""

Holders = Callable[[int], Sequence[str]]
"""Returns the addresses that a reporter with a number may report to, the best one first."""


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
        self._controls = controls
        self._reporters = [
            OriginReporter(
                rpc,
                lambda number=number: holders(number),  # type: ignore[misc]
                live,
                self._stored_on_thread,
                COLLECT_S,
                mean_s,
            )
            for number, mean_s in enumerate(MEAN_INTERVALS_S)
        ]
        self._finder = OriginFinder(rpc, controls)
        self._acks = OriginAcks()
        self._recorded: dict[int, list[asyncio.Future[None]]] = {}
        self._told_bases: dict[str, str] = {}
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Start the threads."""
        for reporter in self._reporters:
            reporter.start()

    def stop(self) -> None:
        """Tell the threads to stop."""
        for reporter in self._reporters:
            reporter.stop()
        self._finder.stop()

    @property
    def is_recording(self) -> bool:
        """Whether enough control processes store what is reported."""
        return self._acks.is_recording

    @property
    def told_bases(self) -> dict[str, str]:
        """Base versions by service, as a control process last told them."""
        return self._told_bases

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        """Report origins without waiting."""
        for reporter in self._reporters:
            reporter.report(streams)

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        """Report an origin and wait until it is recorded; return whether it is.

        While recording does not work, it is reported without waiting.
        """
        if not self._acks.is_recording:
            self.report({stream: origin})
            return False
        future: asyncio.Future[None] = self._loop.create_future()
        waiting = self._recorded.setdefault(stream, [])
        waiting.append(future)
        self._acks.wait(stream)
        self.report({stream: origin})
        is_in_vain = False
        try:
            await asyncio.wait([future], timeout=RECORD_TIMEOUT_S)
            is_in_vain = not future.done()
            return future.done()
        finally:
            waiting.remove(future)
            if is_in_vain or not waiting:
                self._acks.drop(stream, in_vain=is_in_vain)
            if not waiting:
                self._recorded.pop(stream, None)

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        """Ask all control processes for the origin of a stream.

        Args:
            stream: Key of the stream.
            service: Service that the stream would be sent to.
            timeout_s: Longest wait in seconds.
        """
        return await self._finder.find(stream, service, timeout_s)

    def _stored_on_thread(self, holder: str, streams: Sequence[int], reply: OriginsStored) -> None:
        # A reply may come after the loop of a process that ends was closed.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._stored, holder, streams, reply)

    def _stored(self, holder: str, streams: Sequence[int], reply: OriginsStored) -> None:
        self._told_bases = reply.base_versions
        for stream in self._acks.stored(holder, streams, len(self._controls())):
            for future in self._recorded.get(stream, ()):
                if not future.done():
                    future.set_result(None)


__all__ = ["OriginClient"]
