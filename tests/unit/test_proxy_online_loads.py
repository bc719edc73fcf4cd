"""What a gateway tells a leader of batch work, and when."""

from __future__ import annotations

import pytest

from leverjunction.proxy.online_loads import (
    HELLO_INTERVAL_S,
    LEAST_INTERVAL_S,
    WHOLE_INTERVAL_S,
    WORDS_AHEAD,
    LoadsWanted,
    LoadTeller,
)

NOW_S = 50.0
INTERVAL_S = 0.02


@pytest.fixture
def teller() -> LoadTeller:
    made = LoadTeller("g")
    made.wanted(LoadsWanted(interval_s=INTERVAL_S, for_s=1.5), NOW_S)
    return made


def test_nothing_is_told_that_nobody_wants() -> None:
    teller = LoadTeller("g")
    teller.runner_changed("i1", 1)
    assert teller.change_due_s(NOW_S) is None


def test_a_change_is_told_at_once_and_those_that_come_together_in_one_word(
    teller: LoadTeller,
) -> None:
    teller.runner_changed("i1", 1)
    assert teller.change_due_s(NOW_S) == 0
    assert teller.change(NOW_S).runners == {"i1": 1}
    assert teller.change_due_s(NOW_S) is None
    teller.runner_changed("i1", 0)
    teller.held_changed("s", 3)
    assert teller.change_due_s(NOW_S + 0.002) == pytest.approx(LEAST_INTERVAL_S - 0.002)
    word = teller.change(NOW_S + LEAST_INTERVAL_S)
    assert (word.whole, word.runners, word.held) == (False, {"i1": 0}, {"s": 3})


def test_words_ahead_of_their_time_are_made_up_for(teller: LoadTeller) -> None:
    """Of 165 gateways each may tell six times a second; a change waited 80 ms for its turn."""
    now_s = NOW_S
    for _ in range(WORDS_AHEAD + 1):
        teller.runner_changed("i1", 1)
        assert teller.change_due_s(now_s) == pytest.approx(0.0)
        teller.change(now_s)
        now_s += LEAST_INTERVAL_S
    teller.runner_changed("i1", 2)
    due_s = teller.change_due_s(now_s)
    assert due_s == pytest.approx(NOW_S + INTERVAL_S - now_s)
    words = 0
    end_s = now_s + 100 * INTERVAL_S
    while now_s < end_s:
        teller.wanted(LoadsWanted(interval_s=INTERVAL_S, for_s=1.5), now_s)
        teller.runner_changed("i1", words)
        due_s = teller.change_due_s(now_s)
        assert due_s is not None
        now_s += due_s
        teller.change(now_s)
        words += 1
    assert words <= 101


def test_what_others_have_is_what_all_have_less_what_was_told(teller: LoadTeller) -> None:
    teller.runner_changed("i1", 2)
    assert teller.others({"i1": 5, "i2": 1}) == {"i1": 5, "i2": 1}, "not told yet"
    teller.change(NOW_S)
    assert teller.others({"i1": 5, "i2": 1}) == {"i1": 3, "i2": 1}
    assert teller.others({"i1": 1}) == {"i1": 0}, "a word was lost"


def test_nothing_is_told_any_more_once_the_leader_is_silent(teller: LoadTeller) -> None:
    teller.runner_changed("i1", 1)
    assert teller.change_due_s(NOW_S + 1.6) is None


def test_all_counts_are_told_now_and_then_without_those_that_are_zero(teller: LoadTeller) -> None:
    teller.runner_changed("i1", 1)
    teller.runner_changed("i2", 2)
    teller.runner_changed("i1", 0)
    word = teller.whole(NOW_S)
    assert word is not None
    assert (word.gateway, word.whole, word.runners) == ("g", True, {"i2": 2})
    assert teller.change_due_s(NOW_S) is None, "told already"
    assert teller.whole(NOW_S + WHOLE_INTERVAL_S / 2) is None
    assert teller.whole(NOW_S + WHOLE_INTERVAL_S) is not None


def test_stores_that_want_nothing_are_told_less_often() -> None:
    teller = LoadTeller("g")
    assert teller.whole(NOW_S) is not None
    assert teller.whole(NOW_S + WHOLE_INTERVAL_S) is None
    assert teller.whole(NOW_S + HELLO_INTERVAL_S) is not None


def test_no_leader_makes_a_gateway_tell_without_a_pause(teller: LoadTeller) -> None:
    teller.wanted(LoadsWanted(interval_s=0.0, for_s=1.5), NOW_S)
    teller.runner_changed("i1", 1)
    teller.change(NOW_S)
    teller.runner_changed("i1", 2)
    assert teller.change_due_s(NOW_S) == pytest.approx(LEAST_INTERVAL_S)
