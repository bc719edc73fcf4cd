"""The ``leverjunction items`` commands: why open batch items do not run.

They apply only to seeded deployments, whose stores run the items.
"""

from __future__ import annotations

from leverjunction.cli.command import command
from leverjunction.cli.options import Options
from leverjunction.cli.output import (
    ExitCode,
    print_failure,
    print_json,
    print_progress,
    print_table,
)
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.item_lines import ItemLine
from leverjunction.lots.item_report import ItemsReport, ReadItems
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

CALL_TIMEOUT_S = 3.0
COLUMNS = (
    "LOT",
    "ITEM",
    "REASON",
    "SINCE S",
    "QUIET S",
    "RUNS",
    "BACK END",
    "ENDS IN S",
    "UNTIL",
    "DETAIL",
)


class ItemsCommands:
    """Show why open batch items do not run, as the store that leads sees it.

    --control takes the internal RPC addresses of stores, as in the settings of the deployment's
    processes; one that does not lead names the one that does. No operator token is needed there.
    """

    def __init__(self, options: Options) -> None:
        """Store the options that all commands share."""
        self._options = options

    @command
    def open(self) -> int:
        """List the open items and what ends each wait, those longest without an event first."""
        return self._show("")

    @command
    def why(self, item_id: str) -> int:
        """Show why an item does not run, for how long, and what ends that.

        Args:
            item_id: Id of the item, as in the stores' log lines.
        """
        return self._show(item_id)

    def _show(self, item_id: str) -> int:
        addresses = self._options.addresses()
        report = addresses if isinstance(addresses, Failure) else _ask_stores(addresses, item_id)
        if isinstance(report, Failure):
            return print_failure(report)
        if self._options.as_json:
            print_json(report)
        else:
            _print_report(report)
        if report.no_leader_s is not None:
            return print_failure(_no_leader(report))
        if item_id and not report.items:
            return print_failure(_not_open(item_id))
        return ExitCode.OK


def _ask_stores(addresses: list[str], item_id: str) -> ItemsReport | Failure:
    """Return the report of the leader; else of a store that knows none, or the last failure."""
    rpc = RpcClient(CLUSTER_KEY, SystemClock().wall_ms())
    waiting = list(addresses)
    asked: set[str] = set()
    leaderless: ItemsReport | None = None
    failure: Failure | None = None
    try:
        while waiting:
            address = waiting.pop(0)
            if address in asked:
                continue
            asked.add(address)
            reply = rpc.call(
                address,
                MessageKind.OPEN_ITEMS,
                ReadItems(item_id=item_id),
                ItemsReport,
                timeout_s=CALL_TIMEOUT_S,
            )
            if isinstance(reply, Failure):
                print_progress(f"{address}: {reply.reason}")
                failure = reply
                if reply.kind is FailureKind.NOT_LEADER and reply.detail:
                    waiting.insert(0, reply.detail)
            elif reply.no_leader_s is None:
                print_progress(f"{address} leads {reply.group} in term {reply.term}")
                return reply
            else:
                print_progress(f"{address} knows no leader of {reply.group}, is {reply.role}")
                leaderless = _fuller(leaderless, reply)
    finally:
        rpc.close()
    assert failure is not None or leaderless is not None
    return leaderless or failure  # type: ignore[return-value]


def _fuller(known: ItemsReport | None, report: ItemsReport) -> ItemsReport:
    """Return the report with more open items: a store may be behind, or lack its state."""
    if known is None or (known.open_items or 0) < (report.open_items or 0):
        return report
    return known


def _print_report(report: ItemsReport) -> None:
    if report.summary:
        print_progress(report.summary)
    shown = len(report.items)
    total = "an unknown number" if report.open_items is None else report.open_items
    print_table(
        f"open items ({shown} shown, {total} in all)", COLUMNS, map(_item_row, report.items)
    )


def _item_row(line: ItemLine) -> tuple[object, ...]:
    return (
        line.lot,
        line.item,
        line.reason,
        _seconds(line.since_ms),
        _seconds(line.quiet_ms),
        line.runs,
        line.runner_id or "-",
        _seconds(line.ends_in_ms),
        line.ends,
        _detail(line),
    )


def _detail(line: ItemLine) -> str:
    parts = [line.service, line.detail]
    if line.under_way_ms is not None:
        parts.append(f"command under way for {line.under_way_ms / 1000:.1f} s, try {line.tries}")
    return "; ".join(part for part in parts if part) or "-"


def _seconds(duration_ms: int | None) -> str:
    return "-" if duration_ms is None else f"{duration_ms / 1000:.1f}"


def _no_leader(report: ItemsReport) -> Failure:
    return Failure(
        kind=FailureKind.NO_QUORUM,
        reason=f"no store that answered knows a leader of {report.group}, for"
        f" {report.no_leader_s or 0.0:.1f} s: nothing runs",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )


def _not_open(item_id: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"item {item_id} is not open: it has a result, its job was ended, or it was never"
        " accepted",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )
