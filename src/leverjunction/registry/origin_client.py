"""Reports the origins of a gateway's streams to control processes, and asks them for others.

Each origin is reported to ``HOLDERS`` control processes in different zones. They keep it in memory:
all of them must end together with the gateway for an origin to be lost.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import xxhash
from loguru import logger

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.registry.origins import (
    STREAM_LIFETIME_S,
    FindOrigin,
    FoundOrigin,
    OriginSource,
    OriginsStored,
    ReportOrigins,
    Resumption,
    StreamOrigin,
)
from leverjunction.registry.records import MemberRecord
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

HOLDERS = 2
"""Control processes that each origin is reported to."""

COLLECT_S = 0.02
"""Time to collect reports: a gateway that ends in it loses them."""

CALL_TIMEOUT_S = 0.3
CALL_ATTEMPTS = 3
"""Calls at once after one that failed at once: after a reset, kept connections are useless."""

FIND_TIMEOUT_S = 0.5
"""Longest wait of a caller for the origin of its stream."""

FIND_THREADS = 8
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
        return _call(self._rpc, holder, MessageKind.REPORT_ORIGINS, message, OriginsStored)


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
        self._rpc = rpc
        self._controls = controls
        self._reporters = [
            OriginReporter(rpc, lambda number=number: holders(number), live)  # type: ignore[misc]
            for number in range(HOLDERS)
        ]
        self._threads = ThreadPoolExecutor(FIND_THREADS, thread_name_prefix="find-origin")
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        """Start the threads."""
        for reporter in self._reporters:
            reporter.start()

    def stop(self) -> None:
        """Tell the threads to stop."""
        for reporter in self._reporters:
            reporter.stop()
        self._threads.shutdown(wait=False, cancel_futures=True)

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
        question = FindOrigin(stream=stream, service=service)
        asked = [self._in_thread(control, question) for control in self._controls()]
        answers: list[FoundOrigin] = []
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                for answer in asyncio.as_completed(asked):
                    found = await answer
                    if isinstance(found, Failure):
                        continue
                    answers.append(found)
                    if found.origin is not None:
                        return _resumption(found.origin, OriginSource.DIRECTORY, answers, asked)
        except TimeoutError:
            logger.debug("not all control processes answered for stream {:x}", stream)
        only = next((item.only_version for item in answers if item.only_version is not None), None)
        if only is not None:
            origin = StreamOrigin(service, only)
            return _resumption(origin, OriginSource.ONLY_VERSION, answers, asked)
        return _resumption(None, _why_unknown(answers, len(asked)), answers, asked)

    def _in_thread(
        self, control: str, question: FindOrigin
    ) -> asyncio.Future[FoundOrigin | Failure]:
        future: asyncio.Future[FoundOrigin | Failure] = self._loop.create_future()

        def ask() -> None:
            reply = _call(self._rpc, control, MessageKind.FIND_ORIGIN, question, FoundOrigin)
            self._loop.call_soon_threadsafe(_resolve, future, reply)

        self._threads.submit(ask)
        return future


def _resumption(
    origin: StreamOrigin | None,
    source: OriginSource,
    answers: Sequence[FoundOrigin],
    asked: Sequence[object],
) -> Resumption:
    return Resumption(origin, source, answered=len(answers), asked=len(asked))


def _why_unknown(answers: Sequence[FoundOrigin], asked: int) -> OriginSource:
    if not asked:
        return OriginSource.NOT_ASKED
    if len(answers) < asked:
        return OriginSource.NO_ANSWER
    if any(item.kept_s < STREAM_LIFETIME_S for item in answers):
        return OriginSource.RESTARTED
    return OriginSource.NOBODY_KNOWS


def _call(
    rpc: RpcClient, peer: str, kind: MessageKind, message: msgspec.Struct, reply_type: type[T]
) -> T | Failure:
    """Call a process, again at once if the call fails at once; both messages may be repeated."""
    until_s = steady_s() + CALL_TIMEOUT_S / 2
    for _ in range(CALL_ATTEMPTS - 1):
        reply = rpc.call(peer, kind, message, reply_type, timeout_s=CALL_TIMEOUT_S)
        if not isinstance(reply, Failure) or steady_s() >= until_s:
            return reply
    return rpc.call(peer, kind, message, reply_type, timeout_s=CALL_TIMEOUT_S)


def _resolve(future: asyncio.Future[FoundOrigin | Failure], reply: FoundOrigin | Failure) -> None:
    if not future.done():
        future.set_result(reply)


__all__ = ["OriginClient", "OriginReporter", "rank_holders"]
