"""Contents and timing of a gateway's load reports to the leader of batch work."""

from __future__ import annotations

import pytest

from leverjunction.proxy.online_loads import (
    DISCOVERY_INTERVAL_S,
    FULL_REPORT_INTERVAL_S,
    MAX_REPORTS_AHEAD,
    MIN_REPORT_INTERVAL_S,
    LoadReporter,
    LoadsWanted,
)

NOW_S = 50.0
INTERVAL_S = 0.02


@pytest.fixture
def reporter() -> LoadReporter:
    made = LoadReporter("g")
    made.apply_request(LoadsWanted(interval_s=INTERVAL_S, for_s=1.5), NOW_S)
    return made


def test_nothing_is_reported_without_a_request() -> None:
    reporter = LoadReporter("g")
    reporter.runner_changed("i1", 1)
    assert reporter.change_due_s(NOW_S) is None


def test_a_change_is_reported_at_once_and_simultaneous_changes_together(
    reporter: LoadReporter,
) -> None:
    reporter.runner_changed("i1", 1)
    assert reporter.change_due_s(NOW_S) == 0
    assert reporter.change_report(NOW_S).runners == {"i1": 1}
    assert reporter.change_due_s(NOW_S) is None
    reporter.runner_changed("i1", 0)
    reporter.held_changed("s", 3)
    assert reporter.change_due_s(NOW_S + 0.002) == pytest.approx(MIN_REPORT_INTERVAL_S - 0.002)
    message = reporter.change_report(NOW_S + MIN_REPORT_INTERVAL_S)
    assert (message.whole, message.runners, message.held) == (False, {"i1": 0}, {"s": 3})


def test_early_reports_do_not_raise_the_average_rate(reporter: LoadReporter) -> None:
    """Each of 165 gateways may report six times per second; without early reports, a change waited
    80 ms for its turn.
    """
    now_s = NOW_S
    for _ in range(MAX_REPORTS_AHEAD + 1):
        reporter.runner_changed("i1", 1)
        assert reporter.change_due_s(now_s) == pytest.approx(0.0)
        reporter.change_report(now_s)
        now_s += MIN_REPORT_INTERVAL_S
    reporter.runner_changed("i1", 2)
    due_s = reporter.change_due_s(now_s)
    assert due_s == pytest.approx(NOW_S + INTERVAL_S - now_s)
    reports = 0
    end_s = now_s + 100 * INTERVAL_S
    while now_s < end_s:
        reporter.apply_request(LoadsWanted(interval_s=INTERVAL_S, for_s=1.5), now_s)
        reporter.runner_changed("i1", reports)
        due_s = reporter.change_due_s(now_s)
        assert due_s is not None
        now_s += due_s
        reporter.change_report(now_s)
        reports += 1
    assert reports <= 101


def test_other_loads_are_the_totals_less_the_reported_own_loads(reporter: LoadReporter) -> None:
    reporter.runner_changed("i1", 2)
    assert reporter.other_loads({"i1": 5, "i2": 1}) == {"i1": 5, "i2": 1}, "not reported yet"
    reporter.change_report(NOW_S)
    assert reporter.other_loads({"i1": 5, "i2": 1}) == {"i1": 3, "i2": 1}
    assert reporter.other_loads({"i1": 1}) == {"i1": 0}, "a report was lost"


def test_changes_are_not_reported_after_the_request_has_expired(reporter: LoadReporter) -> None:
    reporter.runner_changed("i1", 1)
    assert reporter.change_due_s(NOW_S + 1.6) is None


def test_a_full_report_contains_all_counts_except_zeros(
    reporter: LoadReporter,
) -> None:
    reporter.runner_changed("i1", 1)
    reporter.runner_changed("i2", 2)
    reporter.runner_changed("i1", 0)
    message = reporter.full_report(NOW_S)
    assert message is not None
    assert (message.gateway, message.whole, message.runners) == ("g", True, {"i2": 2})
    assert reporter.change_due_s(NOW_S) is None, "already reported"
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S / 2) is None
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S) is not None


def test_full_reports_are_less_frequent_without_a_request() -> None:
    reporter = LoadReporter("g")
    assert reporter.full_report(NOW_S) is not None
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S) is None
    assert reporter.full_report(NOW_S + DISCOVERY_INTERVAL_S) is not None


def test_reports_keep_a_minimum_interval_whatever_the_leader_requests(
    reporter: LoadReporter,
) -> None:
    reporter.apply_request(LoadsWanted(interval_s=0.0, for_s=1.5), NOW_S)
    reporter.runner_changed("i1", 1)
    reporter.change_report(NOW_S)
    reporter.runner_changed("i1", 2)
    assert reporter.change_due_s(NOW_S) == pytest.approx(MIN_REPORT_INTERVAL_S)
