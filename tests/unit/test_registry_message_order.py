"""Words of a back end's starts, lost, doubled and in any order: the registry ends at the latest."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.test_registry_state_machine import Registry

from leverjunction.registry import ExpireRunners, PutRunner, RemoveRunner, RunnerRecord, RunnerState

EXAMPLES = settings(max_examples=400, deadline=None, database=None)
STARTS = 4
WORDS_OF_START = 4


def word(born: int, number: int, *, leaving: bool = False) -> PutRunner:
    return PutRunner(
        RunnerRecord(
            runner_id="i-1",
            service="s",
            address=f"a:{born}",
            zone="z",
            slots=4,
            state=RunnerState.LEAVING if leaving else RunnerState.READY,
            sequence=number,
            born_ms=born,
        )
    )


ALL = [word(born, number) for born in range(1, STARTS + 1) for number in range(1, WORDS_OF_START)]
FAREWELLS = [
    command
    for born in range(1, STARTS)
    for command in (word(born, WORDS_OF_START, leaving=True), RemoveRunner("i-1", born))
]
EXPIRIES = [ExpireRunners((f"i-1@{born}",)) for born in range(1, STARTS)]
LAST = word(STARTS, WORDS_OF_START)


@EXAMPLES
@given(st.lists(st.sampled_from([*ALL, *FAREWELLS, *EXPIRIES]), max_size=40))
def test_the_latest_start_is_known_whatever_came_before(
    words: list[PutRunner | RemoveRunner | ExpireRunners],
) -> None:
    registry = Registry()
    for command in words:
        registry.apply(command)
    registry.apply(LAST)
    [known] = registry.view().runners
    assert (known.address, known.state) == (f"a:{STARTS}", RunnerState.READY)
    # Nothing of earlier starts that comes after it changes anything.
    for command in [*FAREWELLS, *EXPIRIES, *ALL[: -WORDS_OF_START + 1]]:
        registry.apply(command)
    assert registry.view().runners == (known,)


@EXAMPLES
@given(st.lists(st.sampled_from([*ALL, *FAREWELLS, *EXPIRIES]), max_size=30))
def test_doubled_words_change_nothing(
    words: list[PutRunner | RemoveRunner | ExpireRunners],
) -> None:
    registry = Registry()
    for command in words:
        registry.apply(command)
        once = registry.view()
        registry.apply(command)
        assert registry.view() == once
