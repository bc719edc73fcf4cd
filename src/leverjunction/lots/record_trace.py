"""Notes about the commands that record results and progress. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.lots import metrics
from leverjunction.lots.commands import Recorded, RecordRuns
from leverjunction.lots.item_lines import ItemLine, ItemLineWriter, ms
from leverjunction.lots.item_run import ItemKey
from leverjunction.lots.suppressed_errors import suppress_errors


class ResultAttempts:
    """Attempts to record one result that the group does not have yet.

    Attributes:
        first_sent_s: When the result was first sent, in monotonic seconds.
        count: Commands that were sent with it.
    """

    __slots__ = ("count", "first_sent_s")

    def __init__(self, first_sent_s: float) -> None:
        self.first_sent_s = first_sent_s
        self.count = 0


class RecordTrace:
    """Tracks the commands that record results and progress. It belongs to one event loop.

    Args:
        now_s: Returns the time in monotonic seconds.
        lines: Receives a line for each result that took several attempts; None for no lines.

    Attributes:
        accepted_s: When the group last accepted a command.
        sent_s: When the command was sent whose reply is pending, None if there is none.
        last_failure: Why the last command was not accepted, empty if it was.
    """

    __slots__ = (
        "_attempts",
        "_command",
        "_lines",
        "_now_s",
        "accepted_s",
        "last_failure",
        "sent_s",
    )

    def __init__(
        self, now_s: Callable[[], float] = steady_s, lines: ItemLineWriter | None = None
    ) -> None:
        self._now_s = now_s
        self._lines = lines
        self._attempts: dict[ItemKey, ResultAttempts] = {}
        self._command: RecordRuns | None = None
        self.sent_s: float | None = None
        self.accepted_s = float("-inf")
        self.last_failure = ""

    def clear(self) -> None:
        """Forget the results, since another store leads; a pending command remains pending."""
        self._attempts.clear()
        self.last_failure = ""

    def attempts(self, key: ItemKey) -> ResultAttempts | None:
        """Return the attempts to record a result, None if it was not sent yet."""
        return self._attempts.get(key)

    @suppress_errors
    def begin(self, command: RecordRuns) -> None:
        """Note that a command is sent; a previous one without a reply has raised an error."""
        if self._command is not None:
            metrics.RECORDS.labels("raised").inc()
            self.last_failure = "the command raised an error; see its traceback in the log"
        self._command = command
        now_s = self.sent_s = self._now_s()
        for result in command.results:
            key = (result.lot_id, result.item_id)
            self._attempts.setdefault(key, ResultAttempts(now_s)).count += 1

    @suppress_errors
    def returned(self, reply: Recorded | Failure) -> None:
        """Note the reply to the pending command."""
        command, self._command, self.sent_s = self._command, None, None
        if command is None:
            return
        if isinstance(reply, Failure):
            metrics.RECORDS.labels(reply.kind.value).inc()
            self.last_failure = reply.reason
            return
        metrics.RECORDS.labels("taken").inc()
        self.last_failure = ""
        self.accepted_s = self._now_s()
        for key in reply.rejected:
            metrics.RECORDS.labels("item_refused").inc()
            self._log("record_refused", key, "its events do not continue those that the group has")
        for result in command.results:
            self._result_accepted((result.lot_id, result.item_id), result.state.value)

    def _result_accepted(self, key: ItemKey, state: str) -> None:
        attempts = self._attempts.pop(key, None)
        if attempts is not None and attempts.count > 1:
            self._log("recorded", key, state, attempts)

    def _log(
        self, event: str, key: ItemKey, detail: str, attempts: ResultAttempts | None = None
    ) -> None:
        if self._lines is None:
            return
        lot, item = key
        line = ItemLine(event=event, lot=lot, item=item, detail=detail)
        if attempts is not None:
            line.tries = attempts.count
            line.since_ms = ms(self._now_s() - attempts.first_sent_s)
        self._lines.write(line)
