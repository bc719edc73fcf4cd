"""Asks the control processes for the origins of streams that other gateways relayed."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.origin_call import call_again
from leverjunction.registry.origin_questions import Lookup, OriginQuestions
from leverjunction.registry.origins import (
    FindOrigin,
    FindOrigins,
    FoundOrigin,
    FoundOrigins,
    OriginSource,
    Resumption,
    StreamOrigin,
)
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

MAX_PEERS = 64
"""Limit of threads; each control process occupies at most one."""

QUESTIONS_PER_S = 50.0
"""Limit of questions to all control processes together: what waits for the next one to a process is
asked with it.
"""

MAX_INTERVAL_S = 0.3
"""Longest time between two questions to one control process, whatever their number: the last part
of a caller's wait (``FIND_TIMEOUT_S``) is for the answer.
"""

MAX_SINGLE_QUESTIONS = 50
"""Streams asked one by one of a control process of an older build."""


class _Waiting:
    """Callers that wait for one lookup."""

    __slots__ = ("callers", "result")

    def __init__(self, result: asyncio.Future[Resumption]) -> None:
        self.result = result
        self.callers = 0


class OriginFinder:
    """Looks up origins for one event loop; calls that block run on threads.

    Args:
        rpc: Client of the internal RPC.
        controls: Returns the addresses of all control processes.
    """

    def __init__(self, rpc: RpcClient, controls: Callable[[], list[str]]) -> None:
        self._rpc = rpc
        self._controls = controls
        self._questions = OriginQuestions()
        self._waiting: dict[Lookup, _Waiting] = {}
        self._threads = ThreadPoolExecutor(MAX_PEERS, thread_name_prefix="find-origin")
        self._loop = asyncio.get_running_loop()
        self._asked_s: dict[str, float] = {}
        self._is_scheduled = False
        self._stopped = False

    def stop(self) -> None:
        """Ask nothing any more."""
        self._stopped = True
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        """Return what the control processes know of a stream.

        A call that is cancelled, since its caller is gone, is not asked any further.

        Args:
            stream: Key of the stream.
            service: Service that the stream would be sent to.
            timeout_s: Longest wait in seconds.
        """
        peers = self._controls()
        if not peers:
            return Resumption(None, OriginSource.NOT_ASKED)
        lookup = Lookup(stream, service)
        waiting = self._waiting.get(lookup)
        if waiting is None:
            waiting = self._waiting[lookup] = _Waiting(self._loop.create_future())
            self._questions.begin(lookup, peers)
            self._schedule()
        waiting.callers += 1
        try:
            await asyncio.wait([waiting.result], timeout=timeout_s)
            if not waiting.result.done():
                self._end(lookup, self._questions.give_up(lookup))
            return waiting.result.result()
        finally:
            waiting.callers -= 1
            if not waiting.callers and self._waiting.get(lookup) is waiting:
                del self._waiting[lookup]
                self._questions.drop(lookup)

    def _end(self, lookup: Lookup, resumption: Resumption) -> None:
        """Give the result to all callers; a later one begins a lookup of its own."""
        waiting = self._waiting.pop(lookup, None)
        if waiting is not None:
            waiting.result.set_result(resumption)

    def _schedule(self, delay_s: float = 0.0) -> None:
        """Send what is due, at the earliest after all tasks that are ready have asked."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(delay_s, self._send_due)

    def _send_due(self) -> None:
        self._is_scheduled = False
        peers = [] if self._stopped else sorted(self._questions.peers())
        now_s = self._loop.time()
        interval_s = min(len(self._controls()) / QUESTIONS_PER_S, MAX_INTERVAL_S)
        delays_s = []
        for peer in peers:
            delay_s = self._asked_s.get(peer, -math.inf) + interval_s - now_s
            if delay_s > 0:
                delays_s.append(delay_s)
                continue
            question = self._questions.next_question(peer)
            if question is not None:
                self._asked_s[peer] = now_s
                self._threads.submit(self._ask, peer, question)
        if delays_s:
            self._schedule(min(delays_s))

    def _ask(self, peer: str, question: FindOrigins) -> None:
        """Ask one control process; called on a thread."""
        try:
            reply = self._call(peer, question)
        except Exception as error:
            # Without an answer, this control process would count as being asked for good.
            logger.exception("asking {} for origins failed", peer)
            reply = Failure(
                kind=FailureKind.INTERNAL,
                reason=str(error),
                step=Step.SENDING,
                peer=peer,
                execution=Execution.UNKNOWN,
            )
        # A reply may come after the loop of a process that ends was closed.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._answered, peer, reply)

    def _call(self, peer: str, question: FindOrigins) -> FoundOrigins | Failure:
        reply = call_again(self._rpc, peer, MessageKind.FIND_ORIGINS, question, FoundOrigins)
        if isinstance(reply, Failure) and _is_of_older_build(reply):
            return self._ask_one_by_one(peer, question)
        return reply

    def _ask_one_by_one(self, peer: str, question: FindOrigins) -> FoundOrigins | Failure:
        """Ask a control process that knows no question about several streams."""
        origins: dict[int, StreamOrigin] = {}
        only_versions: dict[str, str] = {}
        streams = [(item, name) for name, items in question.services.items() for item in items]
        if len(streams) > MAX_SINGLE_QUESTIONS:
            logger.debug("{} is asked about {} streams only", peer, MAX_SINGLE_QUESTIONS)
        for stream, service in streams[:MAX_SINGLE_QUESTIONS]:
            single = FindOrigin(stream=stream, service=service)
            reply = call_again(self._rpc, peer, MessageKind.FIND_ORIGIN, single, FoundOrigin)
            if isinstance(reply, Failure):
                return reply
            if reply.origin is not None:
                origins[stream] = reply.origin
            if reply.only_version is not None:
                only_versions[service] = reply.only_version
        return FoundOrigins(origins=origins, only_versions=only_versions)

    def _answered(self, peer: str, reply: FoundOrigins | Failure) -> None:
        if isinstance(reply, Failure):
            logger.debug("{} was not heard about origins: {}", peer, reply.reason)
        found = self._questions.answered(peer, None if isinstance(reply, Failure) else reply)
        for lookup, resumption in found.items():
            self._end(lookup, resumption)
        self._schedule()


def _is_of_older_build(failure: Failure) -> bool:
    """Return whether the peer answered that it does not know the message."""
    return failure.kind in (FailureKind.CORRUPT, FailureKind.NOT_FOUND)


__all__ = ["OriginFinder"]
