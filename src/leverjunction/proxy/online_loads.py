"""Load reports of a gateway to the leader of batch work: its online requests at each back end.

Batch work yields according to the load that a back end reports, which is a tenth of a second old.
A gateway knows at once which requests it sends where. With its reports, the leader parks a batch
run before an online request has to wait, so that only a few slots must stay free for new arrivals.

Reports are datagrams: a lost one is made up for by the next full report.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from leverjunction.rates.rate_exchange import RateNews

FULL_REPORT_INTERVAL_S = 0.5
"""Interval of full reports: the longest time for which a lost change stays unknown."""

DISCOVERY_INTERVAL_S = 1.0
"""Interval of full reports to stores that have requested none: how soon a new leader gets one."""

MIN_REPORT_INTERVAL_S = 0.005
"""Minimum interval between reports; changes within it are reported together."""

MAX_REPORTS_AHEAD = 3
"""Number of reports that may be sent early, as long as their average rate stays within what the
leader accepts: at one gateway among hundreds a few requests start and finish per second, mostly
one at a time.
"""


class OnlineLoads(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Load report of a gateway to a store.

    Attributes:
        gateway: Name of the gateway.
        whole: True in a full report: back ends that are not listed have none of its requests.
        runners: Number of the gateway's requests by start of the back end.
        held: Number of requests held at the gateway, by service.
        rates: What the gateway has seen of the rates of back ends since its last report, by start.
    """

    gateway: str
    whole: bool
    runners: dict[str, int]
    held: dict[str, int]
    rates: dict[str, RateNews] = {}


class LoadsWanted(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Request for load reports, from a leader that runs batch work.

    Attributes:
        interval_s: Minimum average interval between two reports of one gateway, in seconds.
        for_s: For how many seconds the leader wants reports of changes.
        order: Key of the order of ``row``.
        row: Number of online requests of all gateways at each back end. Batch work is not counted,
            since it yields to online requests.
        speeds: Speeds of the back ends in the same order; empty if they don't differ.
        paces: Their paces, likewise.
    """

    interval_s: float
    for_s: float
    order: int = 0
    row: bytes = b""
    speeds: bytes = b""
    paces: bytes = b""


class LoadReporter:
    """Decides what a gateway has to report, and when.

    Args:
        gateway: Name of this gateway.
    """

    __slots__ = (
        "_changed_held",
        "_changed_runners",
        "_full_report_s",
        "_gateway",
        "_held",
        "_interval_s",
        "_next_due_s",
        "_reported_runners",
        "_reported_s",
        "_runners",
        "_wanted_until_s",
    )

    def __init__(self, gateway: str) -> None:
        self._gateway = gateway
        self._runners: dict[str, int] = {}
        self._held: dict[str, int] = {}
        self._changed_runners: dict[str, int] = {}
        self._changed_held: dict[str, int] = {}
        self._reported_runners: dict[str, int] = {}
        self._interval_s = MIN_REPORT_INTERVAL_S
        self._wanted_until_s = float("-inf")
        self._next_due_s = float("-inf")
        self._reported_s = float("-inf")
        self._full_report_s = float("-inf")

    def runner_changed(self, start: str, count: int) -> None:
        """Set the number of this gateway's requests at a back end."""
        self._changed_runners[start] = count
        _set(self._runners, start, count)

    def held_changed(self, service: str, count: int) -> None:
        """Set the number of requests of a service that this gateway holds."""
        self._changed_held[service] = count
        _set(self._held, service, count)

    def apply_request(self, message: LoadsWanted, now_s: float) -> None:
        """Apply a leader's request for reports."""
        self._interval_s = max(MIN_REPORT_INTERVAL_S, message.interval_s)
        self._wanted_until_s = now_s + message.for_s

    def is_requested(self, now_s: float) -> bool:
        """Return whether a leader currently wants reports of changes."""
        return now_s < self._wanted_until_s

    def change_due_s(self, now_s: float) -> float | None:
        """Return the seconds until changes are due to be reported; None without any."""
        if not self.is_requested(now_s) or not (self._changed_runners or self._changed_held):
            return None
        ahead_s = self._next_due_s - MAX_REPORTS_AHEAD * self._interval_s
        return max(0.0, max(ahead_s, self._reported_s + MIN_REPORT_INTERVAL_S) - now_s)

    def change_report(self, now_s: float) -> OnlineLoads:
        """Return a report of the changes since the last report."""
        message = self._make_report(False, self._changed_runners, self._changed_held)
        self._forget_changes(now_s)
        return message

    def full_report(self, now_s: float) -> OnlineLoads | None:
        """Return a report of all counts if one is due, otherwise None."""
        pause_s = FULL_REPORT_INTERVAL_S if self.is_requested(now_s) else DISCOVERY_INTERVAL_S
        if now_s - self._full_report_s < pause_s:
            return None
        self._full_report_s = now_s
        message = self._make_report(True, self._runners, self._held)
        self._forget_changes(now_s)
        return message

    def other_loads(self, totals: Mapping[str, int]) -> dict[str, int]:
        """Return the other gateways' share of the totals that the leader sent."""
        reported = self._reported_runners
        return {key: max(0, total - reported.get(key, 0)) for key, total in totals.items()}

    def _make_report(
        self, whole: bool, runners: dict[str, int], held: dict[str, int]
    ) -> OnlineLoads:
        return OnlineLoads(
            gateway=self._gateway, whole=whole, runners=dict(runners), held=dict(held)
        )

    def _forget_changes(self, now_s: float) -> None:
        self._reported_runners = dict(self._runners)
        self._changed_runners.clear()
        self._changed_held.clear()
        self._reported_s = now_s
        self._next_due_s = max(now_s, self._next_due_s) + self._interval_s


def _set(counts: dict[str, int], key: str, count: int) -> None:
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)
