"""Runs one item once, at one back end."""

from __future__ import annotations

import asyncio

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Failure
from leverjunction.lots.commands import ItemBody, OpenItem, ReadBody
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.outbox import Outbox
from leverjunction.proxy.attempt import Dispatch, OpenedAnswer, Patience, Sender
from leverjunction.proxy.balancer import RunnerSeat
from leverjunction.proxy.caller_connection import CallerRequest
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.runner_connection import AnswerEnd, AnswerHead
from leverjunction.wire.codec import decode_reply, encode

RUN_TIMEOUT_S = 60.0
SILENCE_S = 10.0
"""A run that is cut must be run again, so silence is borne for long."""

OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500


class Run:
    """An item that is to be run.

    Attributes:
        item: What is run.
        stream: Its events so far, kept from run to run.
        task: What runs it, None while nothing does.
        failures: Runs that failed, those not replicated yet included.
        parking: Its run is being stopped, to go on later.
        runner_id: Back end where it runs.
        worked_s: Time for which back ends have worked on it.
    """

    __slots__ = ("failures", "item", "parking", "runner_id", "stream", "task", "worked_s")

    def __init__(self, item: OpenItem) -> None:
        self.item = item
        self.stream = ItemStream()
        self.task: asyncio.Task[None] | None = None
        self.failures = item.failures
        self.parking = False
        self.runner_id = ""
        self.worked_s = 0.0


class Attempts:
    """Used by one event loop."""

    __slots__ = ("_dialect", "_group", "_outbox", "_sender")

    def __init__(
        self, group: ReplicatedGroup, sender: Sender, dialect: Dialect, outbox: Outbox
    ) -> None:
        self._group = group
        self._sender = sender
        self._dialect = dialect
        self._outbox = outbox

    async def attempt(self, run: Run, seat: RunnerSeat) -> bool:
        """Run an item once; return whether it has ended."""
        request = self._request(run.item)
        if request is None:
            return False
        loop = asyncio.get_running_loop()
        answer = await self._sender.send(
            Dispatch(
                request,
                self._dialect.read_request(request.headers),
                seat,
                repeatable=True,
                last_event_id=run.stream.last_id,
                until_s=loop.time() + RUN_TIMEOUT_S,
                patience=Patience.until(loop.time() + SILENCE_S),
            )
        )
        if isinstance(answer, Failure):
            return False
        whole = False
        try:
            whole = await self._read_answer(run, answer)
        finally:
            # Also when it is parked: a later run continues after the last whole event.
            if not whole:
                run.stream.broken()
        if not whole:
            return False
        return self._judge(run, answer.head.status)

    async def _read_answer(self, run: Run, answer: OpenedAnswer) -> bool:
        """Take an answer's events; return whether it came whole."""
        whole = False
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    event = await answer.connection.next_event()
                if isinstance(event, Failure | AnswerHead):
                    return False
                if isinstance(event, AnswerEnd):
                    whole = True
                    return True
                if answer.head.status == OK:
                    run.stream.feed(event)
        except TimeoutError:
            return False
        finally:
            self._sender.finish(answer, whole)

    def _judge(self, run: Run, status: int) -> bool:
        """Note what a whole answer means for the item; return whether it has ended."""
        if status == OK and run.stream.is_between_events:
            self._outbox.done(run.item, run.stream.text())
            return True
        run.stream.broken()
        if status == UNPROCESSABLE:
            self._outbox.dead(run.item, "it can never be done")
            return True
        if status != SERVER_ERROR:
            return False
        run.failures += 1
        self._outbox.failed(run.item)
        if run.failures < max(1, run.item.max_attempts):
            return False
        self._outbox.dead(run.item, f"{run.failures} runs failed")
        return True

    def _request(self, item: OpenItem) -> CallerRequest | None:
        raw = self._group.query_local(encode(ReadBody(item.lot_id, item.item_id)))
        body = decode_reply(raw, ItemBody)
        if isinstance(body, Failure):
            return None
        headers = [(name.encode(), value.encode()) for name, value in item.headers]
        headers = self._dialect.item_headers(headers, item.host, item.item_id)
        now_s = asyncio.get_running_loop().time()
        return CallerRequest(b"POST", item.path.encode(), headers, body.body, now_s)
