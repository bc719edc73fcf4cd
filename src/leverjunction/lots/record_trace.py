"""What is noted of the commands with results and progress. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.lots import metrics
from leverjunction.lots.commands import Recorded, RecordRuns
from leverjunction.lots.item_lines import ItemLine, ItemLines, ms
from leverjunction.lots.item_run import ItemKey
from leverjunction.lots.suppressed_errors import harmless


class Tries:
    """One result that the group does not have yet.

    Attributes:
        since_s: When it was first sent, monotonic seconds.
        count: Commands that were sent with it.
    """

    __slots__ = ("count", "since_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.count = 0


class RecordTrace:
    """Used by one event loop.

    Args:
        now_s: Tells monotonic seconds.
        lines: Where results are told of that took several tries; None for nowhere.

    Attributes:
        taken_s: When the group took a command last.
        begun_s: When the command was sent whose reply is not here, None if none is.
        last_failure: Why a command was not taken last, empty since one was.
    """

    __slots__ = ("_command", "_lines", "_now_s", "_tries", "begun_s", "last_failure", "taken_s")

    def __init__(
        self, now_s: Callable[[], float] = steady_s, lines: ItemLines | None = None
    ) -> None:
        self._now_s = now_s
        self._lines = lines
        self._tries: dict[ItemKey, Tries] = {}
        self._command: RecordRuns | None = None
        self.begun_s: float | None = None
        self.taken_s = float("-inf")
        self.last_failure = ""

    def clear(self) -> None:
        """Forget results: another store leads. A command that is under way still is."""
        self._tries.clear()
        self.last_failure = ""

    def tries(self, key: ItemKey) -> Tries | None:
        """Return what is known of a result, None if it was not sent yet."""
        return self._tries.get(key)

    @harmless
    def begin(self, command: RecordRuns) -> None:
        """Note a command that is sent now; one before it without a reply has raised."""
        if self._command is not None:
            metrics.RECORDS.labels("raised").inc()
            self.last_failure = "the command raised; its stack is in the log"
        self._command = command
        now_s = self.begun_s = self._now_s()
        for result in command.results:
            key = (result.lot_id, result.item_id)
            self._tries.setdefault(key, Tries(now_s)).count += 1

    @harmless
    def returned(self, reply: Recorded | Failure) -> None:
        """Note a command's reply."""
        command, self._command, self.begun_s = self._command, None, None
        if command is None:
            return
        if isinstance(reply, Failure):
            metrics.RECORDS.labels(reply.kind.value).inc()
            self.last_failure = reply.reason
            return
        metrics.RECORDS.labels("taken").inc()
        self.last_failure = ""
        self.taken_s = self._now_s()
        for key in reply.rejected:
            metrics.RECORDS.labels("item_refused").inc()
            self._tell("record_refused", key, "its events do not follow on what the group has")
        for result in command.results:
            self._took((result.lot_id, result.item_id), result.state.value)

    def _took(self, key: ItemKey, state: str) -> None:
        tries = self._tries.pop(key, None)
        if tries is not None and tries.count > 1:
            self._tell("recorded", key, state, tries)

    def _tell(self, event: str, key: ItemKey, detail: str, tries: Tries | None = None) -> None:
        if self._lines is None:
            return
        lot, item = key
        line = ItemLine(event=event, lot=lot, item=item, detail=detail)
        if tries is not None:
            line.tries = tries.count
            line.since_ms = ms(self._now_s() - tries.since_s)
        self._lines.put(line)
