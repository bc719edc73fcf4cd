"""What a gateway tells a leader of batch work, and when."""

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


def test_nothing_is_told_that_nobody_wants() -> None:
    reporter = LoadReporter("g")
    reporter.runner_changed("i1", 1)
    assert reporter.change_due_s(NOW_S) is None


def test_a_change_is_told_at_once_and_those_that_come_together_in_one_word(
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


def test_words_ahead_of_their_time_are_made_up_for(reporter: LoadReporter) -> None:
    """Of 165 gateways each may tell six times a second; a change waited 80 ms for its turn."""
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


def test_what_others_have_is_what_all_have_less_what_was_told(reporter: LoadReporter) -> None:
    reporter.runner_changed("i1", 2)
    assert reporter.other_loads({"i1": 5, "i2": 1}) == {"i1": 5, "i2": 1}, "not told yet"
    reporter.change_report(NOW_S)
    assert reporter.other_loads({"i1": 5, "i2": 1}) == {"i1": 3, "i2": 1}
    assert reporter.other_loads({"i1": 1}) == {"i1": 0}, "a word was lost"


def test_nothing_is_told_any_more_once_the_leader_is_silent(reporter: LoadReporter) -> None:
    reporter.runner_changed("i1", 1)
    assert reporter.change_due_s(NOW_S + 1.6) is None


def test_all_counts_are_told_now_and_then_without_those_that_are_zero(
    reporter: LoadReporter,
) -> None:
    reporter.runner_changed("i1", 1)
    reporter.runner_changed("i2", 2)
    reporter.runner_changed("i1", 0)
    message = reporter.full_report(NOW_S)
    assert message is not None
    assert (message.gateway, message.whole, message.runners) == ("g", True, {"i2": 2})
    assert reporter.change_due_s(NOW_S) is None, "told already"
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S / 2) is None
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S) is not None


def test_stores_that_want_nothing_are_told_less_often() -> None:
    reporter = LoadReporter("g")
    assert reporter.full_report(NOW_S) is not None
    assert reporter.full_report(NOW_S + FULL_REPORT_INTERVAL_S) is None
    assert reporter.full_report(NOW_S + DISCOVERY_INTERVAL_S) is not None


def test_no_leader_makes_a_gateway_tell_without_a_pause(reporter: LoadReporter) -> None:
    reporter.apply_request(LoadsWanted(interval_s=0.0, for_s=1.5), NOW_S)
    reporter.runner_changed("i1", 1)
    reporter.change_report(NOW_S)
    reporter.runner_changed("i1", 2)
    assert reporter.change_due_s(NOW_S) == pytest.approx(MIN_REPORT_INTERVAL_S)
