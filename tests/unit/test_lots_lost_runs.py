"""Runs that their back end no longer has are found, and live ones are left alone."""

from __future__ import annotations

import pytest

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.lost_runs import (
    CONFIRM_S,
    GONE_SILENCE_S,
    MAX_FIRST_SILENCE_S,
    MAX_SILENCE_S,
    MAX_TRUSTED_ENDS,
    SETTLE_S,
    LoadSample,
    LostRuns,
    silence_s,
)

NOW_S = 100.0
INTERVAL_S = 0.1


def make_run(name: str, sent_s: float, heard_s: float, runner_id: str = "i-1") -> ItemRun:
    item = OpenItem(
        lot_id="lot",
        item_id=name,
        host="h",
        path="/p",
        headers=(),
        tokens=1,
        max_attempts=3,
        failures=0,
        accepted_ms=0,
        due_ms=20_000.0,
        give_up_s=0.0,
    )
    run = ItemRun(item)
    run.assign_to(runner_id)
    run.mark_sent(sent_s)
    run.mark_heard(heard_s)
    return run


def make_samples(requests: int, from_s: float = NOW_S - 5.0, to_s: float = NOW_S) -> LostRuns:
    lost_runs = LostRuns()
    lost_runs.retain(frozenset({"i-1"}))
    for step in range(round((to_s - from_s) / INTERVAL_S) + 1):
        lost_runs.add_sample("i-1", LoadSample(from_s + step * INTERVAL_S, requests))
    return lost_runs


def names(runs: list[ItemRun]) -> list[str]:
    return [run.item.item_id for run in runs]


def make_silent_runs(count: int) -> list[ItemRun]:
    return [make_run(f"{n}", NOW_S - 9, NOW_S - 9 + n) for n in range(count)]


@pytest.mark.parametrize(("requests", "lost"), [(0, "012"), (1, "01"), (2, "0"), (3, ""), (9, "")])
def test_as_many_are_lost_as_the_samples_lack_the_longest_silent_first(
    requests: int, lost: str
) -> None:
    assert names(make_samples(requests).find(make_silent_runs(3), NOW_S)) == list(lost)


def test_one_sample_that_shows_all_runs_outweighs_the_others() -> None:
    lost_runs = make_samples(0, NOW_S - 5, NOW_S - 0.6)
    lost_runs.add_sample("i-1", LoadSample(NOW_S - 0.5, 3))
    for step in range(5):
        lost_runs.add_sample("i-1", LoadSample(NOW_S - 0.4 + step * INTERVAL_S, 0))
    assert lost_runs.find(make_silent_runs(3), NOW_S) == []


def test_a_run_is_lost_at_the_earliest_when_samples_must_show_it() -> None:
    samples = make_samples(0)
    soon_s = NOW_S - CONFIRM_S - SETTLE_S
    assert names(samples.find([make_run("a", soon_s - 0.2, soon_s - 0.2)], NOW_S)) == ["a"]
    assert samples.find([make_run("a", soon_s + 0.1, soon_s + 0.1)], NOW_S) == []


def test_a_run_that_is_heard_of_is_counted_but_never_lost() -> None:
    live = make_run("live", NOW_S - 9, NOW_S - 0.1)
    silent_runs = make_run("silent", NOW_S - 9, NOW_S - 8)
    assert names(make_samples(1).find([live, silent_runs], NOW_S)) == ["silent"]
    assert make_samples(2).find([live, silent_runs], NOW_S) == []
    assert make_samples(0).find([live], NOW_S) == []


def test_a_run_that_may_just_have_ended_makes_no_other_look_lost() -> None:
    """One run's last events are still in transmission, and the load sample shows only the other."""
    ending = make_run("ending", NOW_S - 9, NOW_S - SETTLE_S - 0.2)
    silent_runs = make_run("silent", NOW_S - 9, NOW_S - 8)
    assert make_samples(1).find([ending, silent_runs], NOW_S) == []


def test_requests_of_others_hide_a_lost_run() -> None:
    """Online requests come and go: detecting a lost run late is better than ending a live one."""
    assert make_samples(5).find(make_silent_runs(3), NOW_S) == []


def test_a_live_run_is_not_ended_because_of_a_gateways_report() -> None:
    """Guards against ending live runs because of a gateway's outdated report.

    A gateway reports a request that its back end no longer has, because the request hangs on a
    silent connection or the gateway was killed. The request was taken for present, so the load
    sample of one request seemed to lack a silent batch run beside it. Load samples therefore
    contain only what the back end itself reports.
    """
    live = make_run("live", NOW_S - 3, NOW_S - 3)
    assert LoadSample._fields == ("at_s", "requests")
    assert make_samples(1).find([live], NOW_S) == []


def test_few_or_old_samples_prove_nothing() -> None:
    assert make_samples(0, NOW_S - 0.8).find(make_silent_runs(2), NOW_S) == []
    rare = LostRuns()
    rare.retain(frozenset({"i-1"}))
    rare.add_sample("i-1", LoadSample(NOW_S - 4, 0))
    rare.add_sample("i-1", LoadSample(NOW_S, 0))
    assert rare.find(make_silent_runs(2), NOW_S) == []


def test_rare_samples_count_when_there_are_enough() -> None:
    rare = LostRuns()
    rare.retain(frozenset({"i-1"}))
    for ago_s in (4, 2, 0):
        rare.add_sample("i-1", LoadSample(NOW_S - ago_s, 0))
    assert names(rare.find(make_silent_runs(2), NOW_S)) == ["0", "1"]


def test_wrong_samples_end_few_runs_of_an_item() -> None:
    run = make_run("a", NOW_S - 9, NOW_S - 9)
    for _ in range(MAX_TRUSTED_ENDS):
        assert names(make_samples(0).find([run], NOW_S)) == ["a"]
        run.end_lost(NOW_S)
        # The run sends an event and goes silent again: a back end that does not report a run it has
        # preempted would otherwise have it ended at every pause.
        run.silent_runs = 0
        run.mark_sent(NOW_S - 9)
    assert make_samples(0).find([run], NOW_S) == []


def test_a_silent_run_at_a_back_end_that_has_left_is_lost() -> None:
    samples = make_samples(0)
    silent_s = NOW_S - GONE_SILENCE_S
    runs = [make_run("a", 0, silent_s, "i-2"), make_run("b", 0, silent_s + 0.1, "i-2")]
    assert names(samples.find(runs, NOW_S)) == ["a"]


def test_a_run_that_is_not_sent_yet_is_not_lost() -> None:
    run = make_run("a", NOW_S - 9, NOW_S - 9)
    run.assign_to("i-1")
    assert make_samples(0).find([run], NOW_S) == []


def test_two_silent_runs_and_a_third_fit_in_the_time_of_an_item() -> None:
    assert silence_s(20_000.0, 0) + silence_s(20_000.0, 1) <= 0.6 * 20
    assert [silence_s(0.0, 0), silence_s(86_400_000.0, 0)] == [MAX_FIRST_SILENCE_S] * 2
    assert silence_s(20_000.0, 1000) == MAX_SILENCE_S


def test_runs_that_load_samples_ended_do_not_prolong_the_next_silence() -> None:
    """Guards against one run that hangs for all the time in which an item is due.

    The answers to an item were lost four times in a row. Load samples ended three runs after 1.6 s
    each, and each doubled the silence that was accepted of the fourth: 32 s of an item due in 20 s,
    and 60 s without a due time, while its back ends were idle.
    """
    run = make_run("a", NOW_S - 9, NOW_S - 9)
    for _ in range(MAX_TRUSTED_ENDS):
        run.end_lost(NOW_S)
    assert silence_s(run.item.due_ms, run.silent_runs) == silence_s(run.item.due_ms, 0)
