"""Runs one item once, at one back end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import (
    ItemBody,
    OpenItem,
    ReadBody,
    ReadProgress,
    RecordedProgress,
)
from leverjunction.lots.isolation import Isolation
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.lost_runs import silence_s
from leverjunction.lots.outbox import Outbox
from leverjunction.lots.output_budget import OutputBudget
from leverjunction.lots.ownership import owner_of
from leverjunction.lots.run_trace import RunEnd
from leverjunction.proxy.answer_bounds import (
    MAX_EVENT_BYTES,
    MAX_ITEM_EVENTS,
    MAX_ITEM_OUTPUT_BYTES,
)
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.dispatch import Dispatch, HeadTimeouts, OpenedResponse
from leverjunction.proxy.headers import ends_with_connection
from leverjunction.proxy.quarantine import is_lost_run
from leverjunction.proxy.runner_connection import ResponseEnd, ResponseHead, endless_failure
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.origins import StreamOrigin
from leverjunction.registry.records import RunnerRecord
from leverjunction.wire.codec import decode_reply, encode

RUN_TIMEOUT_S = 60.0
READ_INTERVAL_S = 0.12
"""Interval at which a response is read: nobody waits for the single events of an item, and each
would cost a wake-up.
"""

OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500

INCOMPLETE = Failure(
    kind=FailureKind.DEADLINE_EXCEEDED,
    reason="the run was stopped, or its response did not continue",
    step=Step.RELAYING,
    execution=Execution.UNKNOWN,
)
"""Outcome of a run that was stopped here, or whose response ended too early or went silent."""


class Attempts:
    """Sends items to back ends and interprets the responses. It belongs to one event loop."""

    __slots__ = ("_budget", "_dialect", "_group", "_isolation", "_outbox", "_quarantine", "_sender")

    def __init__(
        self,
        group: ReplicatedGroup,
        sender: Sender,
        dialect: Dialect,
        outbox: Outbox,
        isolation: Isolation,
        budget: OutputBudget | None = None,
    ) -> None:
        self._budget = budget or OutputBudget()
        self._group = group
        self._sender = sender
        self._dialect = dialect
        self._outbox = outbox
        self._isolation = isolation
        self._quarantine = isolation.quarantine

    async def attempt(
        self,
        run: ItemRun,
        runner: TrackedRunner,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Run an item once at a back end; return whether the item has ended.

        Args:
            run: The item.
            runner: The back end.
            is_outdated: Called just before the request is sent; True prevents that.
        """
        request = self._build_request(run.item)
        if request is None or not self.load_progress(run):
            run.trace.set_end(RunEnd.NO_BODY if request is None else RunEnd.NO_PROGRESS)
            return False
        run.suspect_key = self._quarantine.find(request)
        if not self._isolation.may_send(run):
            run.trace.set_end(RunEnd.QUARANTINED)
            return False
        return await self._run(run, runner, request, is_outdated)

    async def _run(
        self,
        run: ItemRun,
        runner: TrackedRunner,
        request: CallerRequest,
        is_outdated: Callable[[], bool],
    ) -> bool:
        """Send an item's request and read the response; return whether the item has ended."""
        loop = asyncio.get_running_loop()
        if run.went_silent:
            # A network path that went silent may affect kept connections to other back ends as
            # well.
            self._sender.close_idle_connections(runner)
        run.mark_sent(loop.time())
        response = await self._sender.send(
            Dispatch(
                request,
                request.metadata,
                runner,
                repeatable=True,
                last_event_id=run.stream.last_id,
                until_s=loop.time() + RUN_TIMEOUT_S,
                head_timeouts=HeadTimeouts.without_hedge(
                    loop.time() + silence_s(run.item.due_ms, run.silent_runs)
                ),
                is_outdated=is_outdated,
            )
        )
        if isinstance(response, Failure):
            run.trace.record_failure(response)
            self._note_failure(run, runner, request, response)
            if response.kind is FailureKind.DEADLINE_EXCEEDED:
                _note_silence(run, loop.time())
            return False
        run.trace.mark_heard(loop.time())
        failure: Failure | None = INCOMPLETE
        try:
            failure = await self._read_response(run, response)
        finally:
            # Also when the run is parked: a later run continues after the last complete event.
            if failure is not None:
                run.stream.discard_partial()
        if failure is not None:
            self._note_failure(run, runner, request, failure)
            return False
        self._isolation.run_answered(run)
        if run.suspect_key or self._quarantine.find(request):
            self._quarantine.answered(request)
            run.suspect_key = ""
            run.crashed_starts.clear()
            run.alone_starts.clear()
        return self._handle_status(run, response.head.status)

    def _note_failure(
        self, run: ItemRun, runner: TrackedRunner, request: CallerRequest, failure: Failure
    ) -> None:
        """Report to the quarantine what a failed run says about its back end and its item."""
        if failure.kind is FailureKind.NOT_LISTENING:
            self._quarantine.not_listening(runner.record)
        if is_lost_run(failure):
            self._isolation.run_lost(run)
            self._quarantine.run_lost(
                request,
                run.route_name,
                run.item.item_id,
                runner.record,
                ran_on=run.has_run_on,
            )

    async def _read_response(self, run: ItemRun, response: OpenedResponse) -> Failure | None:
        """Read a response's events; return why it is incomplete, or None if it is complete."""
        complete = False
        output_bytes = 0
        events_before = run.stream.total
        stream = run.stream
        self._budget.begin(stream)
        loop = asyncio.get_running_loop()
        response.connection.set_read_interval(READ_INTERVAL_S)
        try:
            while True:
                run.mark_heard(loop.time())
                async with asyncio.timeout(silence_s(run.item.due_ms, run.silent_runs)):
                    event = await response.connection.next_event()
                if isinstance(event, Failure | ResponseHead):
                    run.trace.set_end(
                        RunEnd.CUT, event.reason if isinstance(event, Failure) else ""
                    )
                    return event if isinstance(event, Failure) else INCOMPLETE
                if isinstance(event, ResponseEnd):
                    if _may_be_cut(response.head, output_bytes):
                        run.trace.set_end(RunEnd.CUT, "it ended with its head")
                        if run.stream.has_events:
                            # Continued again, a whole output would end like this each time.
                            run.begin_anew("a run that was to continue it brought nothing")
                        return INCOMPLETE
                    complete = True
                    return None
                run.silent_runs = 0
                run.went_silent = False
                run.note_output(loop.time())
                if response.head.status == OK:
                    _feed(run.stream, event, response.runner.record)
                output_bytes += len(event)
                if is_endless(run.stream, output_bytes, events_before):
                    failure = endless_failure(
                        response.runner.record.address, "an item's output, or an event, is too long"
                    )
                    run.trace.set_end(RunEnd.CUT, failure.reason)
                    return failure
                if self._budget.is_to_drop(stream):
                    return self._drop_output(run, response.runner.record.address)
                run.trace.mark_heard(loop.time())
        except TimeoutError:
            run.trace.set_end(RunEnd.SILENT, f"no data for {loop.time() - run.heard_s:.1f} s")
            _note_silence(run, loop.time())
            return INCOMPLETE
        finally:
            self._budget.end(stream)
            self._sender.finish(response, complete)

    def _drop_output(self, run: ItemRun, address: str) -> Failure:
        """Give up the unrecorded output of a run for the room of all; return why it ended."""
        kept_bytes = run.stream.kept_bytes
        logger.warning(
            "dropped {} bytes of output of item {} of lot {} from back end {}: the outputs that are"
            " not recorded exceed their room",
            kept_bytes,
            run.item.item_id,
            run.item.lot_id,
            address,
        )
        run.stream.drop_unrecorded()
        run.progress_loaded = False
        failure = endless_failure(address, f"the output of an item has {kept_bytes} bytes")
        run.trace.set_end(RunEnd.CUT, failure.reason)
        return failure

    def _handle_status(self, run: ItemRun, status: int) -> bool:
        """Apply a complete response to its item; return whether the item has ended."""
        run.trace.record_status(status, run.stream.is_between_events)
        if status == OK and run.stream.is_between_events:
            self._outbox.complete(run)
            return True
        run.stream.discard_partial()
        if status == UNPROCESSABLE:
            self._outbox.give_up(run, "the back end cannot process it")
            return True
        if status != SERVER_ERROR:
            return False
        run.failures += 1
        self._outbox.add_failure(run)
        if run.failures < max(1, run.item.max_attempts):
            return False
        self._outbox.give_up(run, f"{run.failures} runs failed")
        return True

    def load_progress(self, run: ItemRun) -> bool:
        """Make a run's stream continue after the events that the group has.

        Returns:
            Whether the stream is ready to continue.
        """
        if run.progress_loaded:
            return True
        raw = self._group.query_local(encode(ReadProgress(*run.key)))
        progress = decode_reply(raw, RecordedProgress)
        if isinstance(progress, Failure):
            return False
        run.stream = ItemStream(progress.count, progress.last_id, progress.origin)
        run.progress_loaded = True
        return True

    def _build_request(self, item: OpenItem) -> CallerRequest | None:
        """Return the request of an item, or None if its body cannot be read from the group."""
        raw = self._group.query_local(encode(ReadBody(item.lot_id, item.item_id)))
        body = decode_reply(raw, ItemBody)
        if isinstance(body, Failure):
            return None
        headers = [(name.encode(), value.encode()) for name, value in item.headers]
        headers = self._dialect.item_headers(headers, item.host, item.item_id)
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(b"POST", item.path.encode(), headers, body.body, now_s)
        request.metadata = self._dialect.read_request(headers)
        request.metadata.tenant = owner_of(item.lot_id)
        request.is_item = True
        return request


def _may_be_cut(head: ResponseHead, output_bytes: int) -> bool:
    """Return whether a response that has ended may have been broken off right after its head."""
    return head.status == OK and not output_bytes and ends_with_connection(head.headers)


def _feed(stream: ItemStream, data: bytes, runner: RunnerRecord) -> None:
    """Add a part of the output; its first event sets what began it."""
    is_begun = stream.has_events
    stream.feed(data)
    if not is_begun and stream.has_events:
        stream.origin = StreamOrigin(runner.service, runner.version)


def is_endless(stream: ItemStream, output_bytes: int, events_before: int = 0) -> bool:
    """Return whether the output of a run, or its event in progress, exceeds its bound.

    Args:
        stream: Output of the item.
        output_bytes: Bytes of the run's output.
        events_before: Events of the item when the run began.
    """
    return (
        output_bytes > MAX_ITEM_OUTPUT_BYTES
        or stream.partial_bytes > MAX_EVENT_BYTES
        or stream.total - events_before > MAX_ITEM_EVENTS
    )


def _note_silence(run: ItemRun, now_s: float) -> None:
    """Count and log a run that ends because its back end sent nothing."""
    lot_id, item_id = run.key
    run.silent_runs += 1
    run.went_silent = True
    logger.info(
        "retrying item {} of lot {}: back end {} was silent for {:.1f} s",
        item_id,
        lot_id,
        run.runner_id,
        now_s - run.heard_s,
    )
