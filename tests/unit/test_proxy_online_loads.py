"""What a gateway tells a leader of batch work, and when."""

from __future__ import annotations

import pytest

from leverjunction.proxy.online_loads import (
    HELLO_INTERVAL_S,
    LEAST_INTERVAL_S,
    WHOLE_INTERVAL_S,
    LoadsWanted,
    LoadTeller,
)

NOW_S = 50.0


@pytest.fixture
def teller() -> LoadTeller:
    made = LoadTeller("g")
    made.wanted(LoadsWanted(interval_s=0.02, for_s=1.5, others={}), NOW_S)
    return made


def test_nothing_is_told_that_nobody_wants() -> None:
    teller = LoadTeller("g")
    teller.runner_changed("i1", 1)
    assert teller.change_due_s(NOW_S) is None


def test_a_change_is_told_at_once_and_the_next_after_the_pause(teller: LoadTeller) -> None:
    teller.runner_changed("i1", 1)
    assert teller.change_due_s(NOW_S) == 0
    assert teller.change(NOW_S).runners == {"i1": 1}
    assert teller.change_due_s(NOW_S) is None
    teller.runner_changed("i1", 0)
    teller.held_changed("s", 3)
    assert teller.change_due_s(NOW_S + 0.005) == pytest.approx(0.015)
    word = teller.change(NOW_S + 0.02)
    assert (word.whole, word.runners, word.held) == (False, {"i1": 0}, {"s": 3})


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
    teller.wanted(LoadsWanted(interval_s=0.0, for_s=1.5, others={}), NOW_S)
    teller.runner_changed("i1", 1)
    teller.change(NOW_S)
    teller.runner_changed("i1", 2)
    assert teller.change_due_s(NOW_S) == pytest.approx(LEAST_INTERVAL_S)
