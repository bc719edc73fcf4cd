"""Property tests: the registry ends with the latest start of a runner.

Its messages may be lost, duplicated or delivered in any order.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.test_registry_state_machine import Registry

from leverjunction.registry import ExpireRunners, PutRunner, RemoveRunner, RunnerRecord, RunnerState

EXAMPLES = settings(max_examples=400, deadline=None, database=None)
STARTS = 4
MESSAGES_PER_START = 4


def message(born: int, number: int, *, leaving: bool = False) -> PutRunner:
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


HEARTBEATS = [
    message(born, number)
    for born in range(1, STARTS + 1)
    for number in range(1, MESSAGES_PER_START)
]
LEAVES = [
    command
    for born in range(1, STARTS)
    for command in (message(born, MESSAGES_PER_START, leaving=True), RemoveRunner("i-1", born))
]
EXPIRIES = [ExpireRunners((f"i-1@{born}",)) for born in range(1, STARTS)]
LAST = message(STARTS, MESSAGES_PER_START)


@EXAMPLES
@given(st.lists(st.sampled_from([*HEARTBEATS, *LEAVES, *EXPIRIES]), max_size=40))
def test_the_latest_start_is_known_whatever_came_before(
    commands: list[PutRunner | RemoveRunner | ExpireRunners],
) -> None:
    registry = Registry()
    for command in commands:
        registry.apply(command)
    registry.apply(LAST)
    [known] = registry.view().runners
    assert (known.address, known.state) == (f"a:{STARTS}", RunnerState.READY)
    # Messages of earlier starts that arrive after it change nothing.
    for command in [*LEAVES, *EXPIRIES, *HEARTBEATS[: -MESSAGES_PER_START + 1]]:
        registry.apply(command)
    assert registry.view().runners == (known,)


@EXAMPLES
@given(st.lists(st.sampled_from([*HEARTBEATS, *LEAVES, *EXPIRIES]), max_size=30))
def test_duplicated_messages_change_nothing(
    commands: list[PutRunner | RemoveRunner | ExpireRunners],
) -> None:
    registry = Registry()
    for command in commands:
        registry.apply(command)
        once = registry.view()
        registry.apply(command)
        assert registry.view() == once
