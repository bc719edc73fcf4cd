"""One send of a request to one back end, up to the head of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import (
    Dialect,
    EngineLoad,
    RawHeaders,
    RequestMetadata,
)
from leverjunction.proxy.dispatch import Dispatch, LateHead, OpenedResponse, late_failure
from leverjunction.proxy.headers import end_to_end, find
from leverjunction.proxy.prompt import READ_TOKENS_PER_MS
from leverjunction.proxy.runner_connection import (
    ResponseEnd,
    ResponseHead,
    RunnerConnection,
    RunnerPool,
)
from leverjunction.proxy.runner_seat import RunnerSeat

CONNECT_TIMEOUT_S = 0.4
REPEATABLE_IDLE_SHARE = 0.8
ONCE_IDLE_SHARE = 0.3
"""A request that may run once goes only on connections that were used a short while ago."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request was not run."""

MISDIRECTED = 421
READ_LOAD_TIMEOUT_S = 0.6
REFUSAL_BODY_S = 0.05
"""Longest wait for the body of a refusal, which is read so that its connection can be kept."""


class Sender:
    """Sends requests to back ends; used by one event loop.

    Args:
        pool: Connections to them.
        balancer: Knows them.
        dialect: Words of their headers.
        changed: Called when a request begins or ends at a back end.
    """

    __slots__ = ("_balancer", "_changed", "_dialect", "_loop", "_pool")

    def __init__(
        self,
        pool: RunnerPool,
        balancer: Balancer,
        dialect: Dialect,
        changed: Callable[[RunnerSeat], None] | None = None,
    ) -> None:
        self._pool = pool
        self._changed = changed
        self._balancer = balancer
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()

    async def send(self, dispatch: Dispatch) -> OpenedResponse | Failure:
        """Send a request and wait for the head of the answer, until the hard limit.

        Returns:
            The answer, counted at its back end until ``finish``; or a failure that says whether
            the request may have run.
        """
        opened = await self.begin(dispatch)
        return await self.wait(opened) if isinstance(opened, LateHead) else opened

    async def begin(self, dispatch: Dispatch) -> OpenedResponse | LateHead | Failure:
        """Send a request and wait for the head of the answer, until the soft limit.

        Returns:
            As ``send``, or that the head is late.
        """
        seat = dispatch.seat
        read_ms = dispatch.metadata.tokens_in / READ_TOKENS_PER_MS
        self._count(seat, 1)
        seat.reading_ms += read_ms
        try:
            opened = await self._open(dispatch)
        except BaseException:
            self._count(seat, -1)
            raise
        finally:
            seat.reading_ms -= read_ms
        if isinstance(opened, Failure):
            self._count(seat, -1)
        return opened

    async def wait(self, late: LateHead) -> OpenedResponse | Failure:
        """Wait on for a late head, until the send's hard limit."""
        late.taken = True
        try:
            opened = await self._head(late.connection, late.dispatch, late.sent_s)
        except BaseException:
            self._drop(late)
            raise
        if isinstance(opened, Failure):
            self._count(late.dispatch.seat, -1)
        return opened

    def abandon(self, late: LateHead) -> None:
        """Have a back end drop a request whose head is late, unless somebody waits for it."""
        if not late.taken:
            late.taken = True
            self._drop(late)

    def _drop(self, late: LateHead) -> None:
        late.connection.close()
        self._count(late.dispatch.seat, -1)

    def finish(self, answer: OpenedResponse, whole: bool) -> None:
        """End the use of an answer; one that is not whole costs its connection."""
        self._count(answer.seat, -1)
        self._pool.release(answer.connection, keep=whole and not answer.metadata.closes)

    def close_idle_connections(self, seat: RunnerSeat) -> None:
        """Have the next requests to a back end take new connections."""
        self._pool.close_idle_connections(seat.record.address)

    async def read_load(self, seat: RunnerSeat) -> EngineLoad | None:
        """Ask a back end for its load; None when it does not tell it in time."""
        path, headers = self._dialect.load_request()
        try:
            async with asyncio.timeout(READ_LOAD_TIMEOUT_S):
                body = await self.fetch(seat.record.address, path, headers)
        except TimeoutError:
            return None
        load = self._dialect.read_load(body) if isinstance(body, bytes) else None
        if load is not None:
            seat.told(load, self._loop.time())
        return load

    async def fetch(self, address: str, path: bytes, headers: RawHeaders) -> bytes | Failure:
        """Read a back end's page; its own load is not a request that counts."""
        connection = await self._pool.acquire(address, REPEATABLE_IDLE_SHARE, CONNECT_TIMEOUT_S)
        if isinstance(connection, Failure):
            return connection
        whole = False
        body: list[bytes] = []
        try:
            connection.send(b"GET", path, [(b"Host", address.encode()), *headers], b"")
            while True:
                event = await connection.next_event()
                if isinstance(event, ResponseEnd):
                    whole = True
                    return b"".join(body)
                if isinstance(event, Failure):
                    return event
                if isinstance(event, bytes):
                    body.append(event)
        finally:
            self._pool.release(connection, keep=whole)

    def _count(self, seat: RunnerSeat, change: int) -> None:
        seat.own += change
        if self._changed is not None:
            self._changed(seat)

    async def _open(self, dispatch: Dispatch) -> OpenedResponse | LateHead | Failure:
        seat = dispatch.seat
        idle_share = REPEATABLE_IDLE_SHARE if dispatch.repeatable else ONCE_IDLE_SHARE
        connection = await self._pool.acquire(seat.record.address, idle_share, CONNECT_TIMEOUT_S)
        if isinstance(connection, Failure):
            self._balancer.failed(seat, self._loop.time())
            return connection
        try:
            left_ms = (dispatch.until_s - self._loop.time()) * 1000
            if left_ms < 1:
                connection.close()
                return late_failure(seat, Execution.NOT_RUN)
            sent_s = self._write(connection, dispatch, left_ms)
            if await self._is_late(connection, dispatch, sent_s):
                return LateHead(dispatch, connection, sent_s)
            return await self._head(connection, dispatch, sent_s)
        except BaseException:
            connection.close()
            raise

    def _write(self, connection: RunnerConnection, dispatch: Dispatch, left_ms: float) -> float:
        """Write the request on a connection; returns when, in the loop's seconds."""
        request = dispatch.request
        headers = self._dialect.forwarded_headers(
            end_to_end(request.headers),
            left_ms,
            dispatch.seat.record.runner_id,
            dispatch.last_event_id,
        )
        connection.send(request.method, request.target, headers, request.body)
        return self._loop.time()

    async def _is_late(
        self, connection: RunnerConnection, dispatch: Dispatch, sent_s: float
    ) -> bool:
        """Wait for a head until the soft limit; returns whether another back end may be asked."""
        patience = dispatch.patience
        if patience.soft_s >= patience.hard_s:
            return False
        try:
            async with asyncio.timeout_at(patience.soft_s):
                await connection.wait_event()
        except TimeoutError:
            self._note_delay(dispatch, sent_s)
            return patience.may_hedge()
        return False

    async def _head(
        self, connection: RunnerConnection, dispatch: Dispatch, sent_s: float
    ) -> OpenedResponse | Failure:
        seat = dispatch.seat
        try:
            async with asyncio.timeout_at(dispatch.patience.hard_s):
                head = await connection.next_event()
        except TimeoutError:
            connection.close()
            return late_failure(seat, Execution.UNKNOWN)
        finally:
            self._note_delay(dispatch, sent_s)
        if not isinstance(head, ResponseHead):
            self._balancer.failed(seat, self._loop.time())
            connection.close()
            return head if isinstance(head, Failure) else _mismatch(seat, "no head")
        answer = self._dialect.read_response(head.headers)
        if answer.load is not None:
            seat.told(answer.load, self._loop.time())
        opened = OpenedResponse(head, answer, connection, seat)
        refusal = await self._refusal(opened, dispatch.metadata)
        if refusal is not None:
            return refusal
        self._balancer.succeeded(seat, self._loop.time())
        return opened

    def _note_delay(self, dispatch: Dispatch, sent_s: float) -> None:
        now_s = self._loop.time()
        dispatch.seat.answered(now_s - sent_s, dispatch.metadata.tokens_in, now_s)

    async def _refusal(self, answer: OpenedResponse, metadata: RequestMetadata) -> Failure | None:
        """Return a failure for an answer that is not the caller's, or says "not run"."""
        seat = answer.seat
        # First of all: a surplus answer says nothing of this request, not even "not run".
        if answer.metadata.request_id and answer.metadata.request_id != metadata.request_id:
            answer.connection.close()
            self._balancer.failed(seat, self._loop.time())
            return _mismatch(seat, "it answers another request")
        if answer.metadata.not_run or answer.head.status == MISDIRECTED:
            await self._drop_refusal(answer)
            if answer.head.status == MISDIRECTED:
                # Its address has been given to another one: it is not there any more.
                self._balancer.failed(seat, self._loop.time())
            return Failure(
                kind=FailureKind.OVERLOADED,
                reason=f"back end {seat.record.runner_id} refused: HTTP {answer.head.status}",
                step=Step.RESPONDING,
                peer=seat.record.address,
            )
        answer.connection.keep_alive_s = answer.metadata.keep_alive_s
        unsigned = not answer.metadata.signed or not answer.metadata.request_id
        encoded = find(answer.head.headers, b"content-encoding") is not None
        if unsigned or encoded or answer.head.status in NOT_RUN_STATUSES:
            answer.connection.close()
            self._balancer.failed(seat, self._loop.time())
            return _mismatch(seat, f"HTTP {answer.head.status} is no answer of a back end")
        return None

    async def _drop_refusal(self, answer: OpenedResponse) -> None:
        """Read a refusal's short body, so that the connection can be used again."""
        connection = answer.connection
        connection.keep_alive_s = answer.metadata.keep_alive_s
        try:
            async with asyncio.timeout(REFUSAL_BODY_S):
                while isinstance(await connection.next_event(), bytes):
                    pass
        except TimeoutError:
            connection.close()
            return
        self._pool.release(connection, keep=not answer.metadata.closes)


def _mismatch(seat: RunnerSeat, reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason=reason,
        step=Step.RESPONDING,
        peer=seat.record.address,
        execution=Execution.UNKNOWN,
    )
