"""Tests that callers who name no attempt of the stream that they resume are noticed."""

from __future__ import annotations

import pytest

from leverjunction.proxy.unnamed_attempts import MIN_UNNAMED, WINDOW, UnnamedAttempts


def changes(watch: UnnamedAttempts, named: list[bool]) -> list[bool]:
    """Return the states that were reported, in order."""
    return [watch.is_reported for is_named in named if watch.note(is_named)]


def test_most_callers_without_an_attempt_are_reported_once() -> None:
    assert changes(UnnamedAttempts(), [False] * 200) == [True]


def test_callers_that_name_attempts_again_are_reported() -> None:
    assert changes(UnnamedAttempts(), [False] * WINDOW + [True] * WINDOW) == [True, False]


@pytest.mark.parametrize("named", [[], [True] * 100, ([False] + [True] * 3) * 50])
def test_a_few_callers_without_an_attempt_are_no_alarm(named: list[bool]) -> None:
    assert changes(UnnamedAttempts(), named) == []


def test_the_count_is_of_the_latest_requests() -> None:
    watch = UnnamedAttempts()
    changes(watch, [False] * 200)
    assert (watch.unnamed, watch.seen) == (WINDOW, WINDOW)
    assert watch.unnamed >= MIN_UNNAMED
