"""Sends a request to one back end, up to the head of the response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.answer_bounds import MAX_DOCUMENT_BYTES, MAX_REFUSAL_BYTES
from leverjunction.proxy.answer_owner import AnswerOwner
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import Dialect, EngineLoad, RawHeaders
from leverjunction.proxy.dispatch import (
    Dispatch,
    LateHead,
    OpenedResponse,
    late_failure,
    outdated_failure,
)
from leverjunction.proxy.headers import end_to_end, find
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS
from leverjunction.proxy.runner_connection import (
    ResponseEnd,
    ResponseHead,
    RunnerConnection,
    endless_failure,
)
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.proxy.tracked_runner import TrackedRunner

CONNECT_TIMEOUT_S = 0.4
REPEATABLE_IDLE_SHARE = 0.8
ONCE_IDLE_SHARE = 0.3
"""Shares of a back end's keep-alive time after which an idle connection is not reused.

A request that may run only once uses recently used connections only: when a back end closes a
connection just as a request is sent, it is unknown whether the request ran.
"""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request was not run; never relayed from back ends."""

MISDIRECTED_REQUEST = 421
LOAD_TIMEOUT_S = 0.6
REFUSAL_BODY_TIMEOUT_S = 0.05
"""Longest wait for the body of a refusal, which is read so that the connection can be reused."""


class Sender:
    """Sends requests to back ends and counts the open ones of each.

    All calls must come from one event loop.

    Args:
        pool: Connections to back ends.
        balancer: Informed of each success and failure.
        dialect: Translates headers.
        on_change: Called when a request begins or ends at a back end.
        on_answer: Called with the owner of each answer, before the answer is judged.
    """

    __slots__ = ("_balancer", "_dialect", "_loop", "_on_answer", "_on_change", "_pool")

    def __init__(
        self,
        pool: RunnerPool,
        balancer: Balancer,
        dialect: Dialect,
        on_change: Callable[[TrackedRunner], None] | None = None,
        on_answer: Callable[[AnswerOwner], None] = lambda _owner: None,
    ) -> None:
        self._pool = pool
        self._on_answer = on_answer
        self._on_change = on_change
        self._balancer = balancer
        self._dialect = dialect
        self._loop = asyncio.get_running_loop()

    async def send(self, dispatch: Dispatch) -> OpenedResponse | Failure:
        """Send a request and wait for the response head until the hard limit.

        Returns:
            The response, which counts as open at its back end until ``finish``, or a failure that
            states whether the request may have run.
        """
        opened = await self.begin(dispatch)
        return await self.wait(opened) if isinstance(opened, LateHead) else opened

    async def begin(self, dispatch: Dispatch) -> OpenedResponse | LateHead | Failure:
        """Send a request and wait for the response head until the soft limit.

        Returns:
            The same as ``send``, or a ``LateHead`` once the soft limit has passed.
        """
        runner = dispatch.runner
        prefill_ms = dispatch.metadata.tokens_in / PREFILL_TOKENS_PER_MS
        self._count(runner, 1)
        runner.pending_prefill_ms += prefill_ms
        try:
            opened = await self._open(dispatch)
        except BaseException:
            self._count(runner, -1)
            raise
        finally:
            runner.pending_prefill_ms -= prefill_ms
        if isinstance(opened, Failure):
            self._count(runner, -1)
        return opened

    async def wait(self, late: LateHead) -> OpenedResponse | Failure:
        """Continue to wait for a late response head, until the hard limit."""
        late.taken = True
        try:
            opened = await self._read_head(late.connection, late.dispatch, late.sent_s)
        except BaseException:
            self._abort_late(late)
            raise
        if isinstance(opened, Failure):
            self._count(late.dispatch.runner, -1)
        return opened

    def abandon(self, late: LateHead) -> None:
        """Abort a request whose response head is late, unless ``wait`` was called for it."""
        if not late.taken:
            late.taken = True
            self._abort_late(late)

    def _abort_late(self, late: LateHead) -> None:
        late.connection.close()
        self._count(late.dispatch.runner, -1)

    def finish(self, response: OpenedResponse, whole: bool) -> None:
        """Stop counting a response and release its connection.

        Args:
            response: A response from ``send``, ``begin`` or ``wait``.
            whole: The response was read to its end. If not, its connection is closed.
        """
        self._count(response.runner, -1)
        self._pool.release(response.connection, keep=whole and not response.metadata.closes)

    def close_idle_connections(self, runner: TrackedRunner) -> None:
        """Close the idle connections to a back end, so that its next requests open new ones."""
        self._pool.close_idle_connections(runner.record.address)

    async def read_load(self, runner: TrackedRunner) -> EngineLoad | None:
        """Query a back end's load; return None if it fails or times out."""
        path, headers = self._dialect.load_request()
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                body = await self.fetch(runner.record.address, path, headers)
        except TimeoutError:
            return None
        load = self._dialect.read_load(body) if isinstance(body, bytes) else None
        if load is not None:
            runner.report_load(load, self._loop.time())
        return load

    async def fetch(self, address: str, path: bytes, headers: RawHeaders) -> bytes | Failure:
        """Read a document from a back end; this does not count as an open request.

        It is read up to ``MAX_DOCUMENT_BYTES``; the caller bounds the time.
        """
        connection = await self._pool.acquire(address, REPEATABLE_IDLE_SHARE, CONNECT_TIMEOUT_S)
        if isinstance(connection, Failure):
            return connection
        whole = False
        body: list[bytes] = []
        size_bytes = 0
        try:
            connection.send(
                b"GET",
                path,
                [(b"Host", address.encode()), *headers],
                b"",
                read_metadata=self._dialect.read_response,
            )
            while True:
                event = await connection.next_event()
                if isinstance(event, ResponseEnd):
                    whole = True
                    return b"".join(body)
                if isinstance(event, Failure):
                    return event
                if isinstance(event, ResponseHead) and event.metadata.request_id:
                    return endless_failure(address, "it answers another request", False)
                if isinstance(event, bytes):
                    body.append(event)
                    size_bytes += len(event)
                    if size_bytes > MAX_DOCUMENT_BYTES:
                        return endless_failure(
                            address, f"a document exceeds {MAX_DOCUMENT_BYTES} bytes"
                        )
        finally:
            self._pool.release(connection, keep=whole)

    def _count(self, runner: TrackedRunner, change: int) -> None:
        runner.own_requests += change
        if self._on_change is not None:
            self._on_change(runner)

    async def _open(self, dispatch: Dispatch) -> OpenedResponse | LateHead | Failure:
        runner = dispatch.runner
        idle_share = REPEATABLE_IDLE_SHARE if dispatch.repeatable else ONCE_IDLE_SHARE
        request_id = dispatch.metadata.request_id
        connection = await self._pool.acquire(
            runner.record.address, idle_share, CONNECT_TIMEOUT_S, request_id
        )
        if isinstance(connection, Failure):
            self._balancer.failed(runner, self._loop.time())
            return connection
        try:
            left_ms = (dispatch.until_s - self._loop.time()) * 1000
            if left_ms < 1:
                connection.close()
                return late_failure(runner, Execution.NOT_RUN)
            if dispatch.is_outdated():
                connection.close()
                return outdated_failure(runner)
            sent_s = self._write(connection, dispatch, left_ms)
            if await self._head_is_late(connection, dispatch, sent_s):
                return LateHead(dispatch, connection, sent_s)
            return await self._read_head(connection, dispatch, sent_s)
        except BaseException:
            connection.close()
            raise

    def _write(self, connection: RunnerConnection, dispatch: Dispatch, left_ms: float) -> float:
        """Write the request to a connection; return the time of it in the loop's seconds."""
        request = dispatch.request
        headers = self._dialect.forwarded_headers(
            end_to_end(request.headers),
            left_ms,
            dispatch.runner.record.runner_id,
            dispatch.last_event_id,
            dispatch.metadata.tenant,
        )
        request_id = dispatch.metadata.request_id
        connection.send(
            request.method,
            request.target,
            headers,
            request.body,
            request_id,
            self._dialect.read_response,
        )
        dispatch.connection, dispatch.connection_use = connection.number, len(connection.carried)
        return self._loop.time()

    async def _head_is_late(
        self, connection: RunnerConnection, dispatch: Dispatch, sent_s: float
    ) -> bool:
        """Wait for the head until the soft limit; return whether it is late and may be hedged."""
        head_timeouts = dispatch.head_timeouts
        if head_timeouts.soft_s >= head_timeouts.hard_s:
            return False
        try:
            async with asyncio.timeout_at(head_timeouts.soft_s):
                await connection.wait_event()
        except TimeoutError:
            self._note_delay(dispatch, sent_s)
            return head_timeouts.may_hedge()
        return False

    async def _read_head(
        self, connection: RunnerConnection, dispatch: Dispatch, sent_s: float
    ) -> OpenedResponse | Failure:
        runner = dispatch.runner
        try:
            async with asyncio.timeout_at(dispatch.head_timeouts.hard_s):
                head = await connection.next_event()
        except TimeoutError:
            connection.close()
            return late_failure(runner, Execution.UNKNOWN)
        finally:
            self._note_delay(dispatch, sent_s)
        for _ in range(connection.skipped):
            self._on_answer(AnswerOwner.EARLIER)
        if not isinstance(head, ResponseHead):
            self._balancer.failed(runner, self._loop.time())
            connection.close()
            return (
                head
                if isinstance(head, Failure)
                else _mismatch(runner, "a response without a head")
            )
        metadata = head.metadata
        owner = connection.carried.owner_of(metadata.request_id)
        self._on_answer(owner)
        if owner is not AnswerOwner.OWN:
            connection.close()
            self._balancer.failed(runner, self._loop.time())
            return _mismatch(runner, f"the response belongs to another request ({owner.value})")
        if metadata.load is not None:
            runner.report_load(metadata.load, self._loop.time())
        opened = OpenedResponse(head, metadata, connection, runner)
        refusal = await self._response_failure(opened)
        if refusal is not None:
            return refusal
        self._balancer.succeeded(runner, self._loop.time())
        return opened

    def _note_delay(self, dispatch: Dispatch, sent_s: float) -> None:
        now_s = self._loop.time()
        dispatch.runner.record_head(now_s - sent_s, dispatch.metadata.tokens_in, now_s)

    async def _response_failure(self, response: OpenedResponse) -> Failure | None:
        """Return why the response to a request must not be relayed, or None.

        Rejected are those that did not come from a back end of this deployment, and those that
        state that the request was not run.
        """
        runner = response.runner
        if response.metadata.not_run or response.head.status == MISDIRECTED_REQUEST:
            await self._discard_refusal(response)
            if response.head.status == MISDIRECTED_REQUEST:
                # Another back end has this address now, so the expected one is gone.
                self._balancer.failed(runner, self._loop.time())
            return Failure(
                kind=FailureKind.OVERLOADED,
                reason=f"back end {runner.record.runner_id} refused: HTTP {response.head.status}",
                step=Step.RESPONDING,
                peer=runner.record.address,
                execution=Execution.NOT_RUN,
            )
        response.connection.keep_alive_s = response.metadata.keep_alive_s
        unsigned = not response.metadata.signed or not response.metadata.request_id
        encoded = find(response.head.headers, b"content-encoding") is not None
        if unsigned or encoded or response.head.status in NOT_RUN_STATUSES:
            response.connection.close()
            self._balancer.failed(runner, self._loop.time())
            return _mismatch(
                runner,
                f"HTTP {response.head.status} is not a valid response of a back end",
            )
        return None

    async def _discard_refusal(self, response: OpenedResponse) -> None:
        """Read the short body of a refusal, so that its connection can be reused."""
        connection = response.connection
        connection.keep_alive_s = response.metadata.keep_alive_s
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
                left_bytes = MAX_REFUSAL_BYTES
                while isinstance(part := await connection.next_event(), bytes):
                    left_bytes -= len(part)
                    if left_bytes < 0:
                        raise TimeoutError
        except TimeoutError:
            connection.close()
            return
        self._pool.release(connection, keep=not response.metadata.closes)


def _mismatch(runner: TrackedRunner, reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason=reason,
        step=Step.RESPONDING,
        peer=runner.record.address,
        execution=Execution.UNKNOWN,
    )
