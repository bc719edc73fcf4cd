"""When an event that a process sees after a pause may have happened."""

from __future__ import annotations

from leverjunction.pause_watch import BEAT_INTERVAL_S, PauseWatch

BEGAN_S = 100.0


def beaten(until_s: float) -> PauseWatch:
    watch = PauseWatch()
    now_s = BEGAN_S
    while now_s <= until_s:
        watch.beat(now_s)
        now_s += BEAT_INTERVAL_S
    return watch


def test_an_event_is_seen_as_it_comes_while_the_process_runs() -> None:
    assert beaten(110.0).earliest_s(110.2) == 110.2


def test_an_event_before_the_first_beat_is_seen_as_it_comes() -> None:
    assert PauseWatch().earliest_s(BEGAN_S) == BEGAN_S


def test_an_event_behind_a_pause_may_have_come_with_its_begin() -> None:
    assert beaten(110.0).earliest_s(112.0) == 110.0


def test_a_beat_right_before_the_event_does_not_hide_the_pause() -> None:
    watch = beaten(110.0)
    watch.beat(112.0)
    assert watch.earliest_s(112.01) == 110.0
    watch.beat(112.25)
    assert watch.earliest_s(112.3) == 112.3
