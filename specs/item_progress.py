"""Model of one item's progress: two stores that may both run it, and the group that keeps it.

Leadership is not modelled (``specs/election`` checks it): each store may believe that it leads at
any moment, read an old state of the group, and be deposed; its commands are committed late or
never. A run that was asked to continue after event n gives events n + 1, n + 2 and so on.
"""

from __future__ import annotations

import time
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

STORES = (0, 1)
MAX_STATES = 2_000_000


class SeededBug(StrEnum):
    """A rule that the model breaks on purpose, so that the check shows that it can fail."""

    NONE = "none"
    ANY_PROGRESS = "progress is not compared with what the group has"
    ANY_RESULT = "a result is not compared with what the group has"
    ANY_REPEAT = "repeated events are not compared with those that the group has"
    RUN_GOES_ON = "a rejected store goes on with its run from what the group has"
    REJECTED_COUNTS = "a rejected command counts as recorded"


class Bounds(NamedTuple):
    """How far the model is explored: events of the item, runs, commands sent in all."""

    events: int
    runs: int
    commands: int


BOUNDS = Bounds(events=2, runs=2, commands=2)
WIDE_BOUNDS = (Bounds(events=3, runs=2, commands=2), Bounds(events=2, runs=3, commands=3))
"""For ``python -m specs.item_progress``."""


class Piece(NamedTuple):
    """An event as a run gave it.

    Attributes:
        run: Number of the run.
        asked_after: Event after which the run was asked to continue.
        event: Number of the event.
    """

    run: int
    asked_after: int
    event: int


class Store(NamedTuple):
    """One store's view of the item.

    Attributes:
        follows: It has read what the group has.
        recorded: Events that the group has, as far as it knows.
        new: Pieces that the group does not have yet.
        run: Number of its run, 0 when there is none.
        asked_after: Event after which that run was asked to continue.
    """

    follows: bool = False
    recorded: int = 0
    new: tuple[Piece, ...] = ()
    run: int = 0
    asked_after: int = 0

    @property
    def count(self) -> int:
        """Events that it has or knows the group to have."""
        return self.recorded + len(self.new)


class Command(NamedTuple):
    """Progress or a result on its way.

    Attributes:
        store: Who sent it.
        ends: True for a result.
        start: Events that the group is to have.
        pieces: Those that follow.
        awaited: The sender still waits for the answer.
        outcome: None before it is committed, then whether it was taken.
    """

    store: int
    ends: bool
    start: int
    pieces: tuple[Piece, ...]
    awaited: bool = True
    outcome: bool | None = None


class State(NamedTuple):
    """The whole system."""

    parts: tuple[Piece, ...]
    result: tuple[Piece, ...] | None
    stores: tuple[Store, ...]
    commands: tuple[Command, ...]
    runs: int


INITIAL = State(parts=(), result=None, stores=tuple(Store() for _ in STORES), commands=(), runs=0)


class ItemProgressModel:
    """Transitions and invariants, with one rule broken or none."""

    def __init__(self, bounds: Bounds = BOUNDS, bug: SeededBug = SeededBug.NONE) -> None:
        """Explore up to the bounds, with the given rule broken."""
        self.bounds = bounds
        self._bug = bug

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name=f"item progress ({self._bug})",
            candidate=False,
            fields=State._fields,
            initial=INITIAL,
            transitions=lambda state: self.transitions(State(*state)),
            invariants={
                "pieces_of_two_runs_are_never_joined": lambda d: _is_joined_well(State(**d)),
                "a_result_is_whole": lambda d: self._is_whole(State(**d)),
            },
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may follow, each with its label."""
        steps: list[tuple[str, State]] = []
        for number in STORES:
            steps += self._run_steps(state, number)
            steps += self._send_steps(state, number)
        for number, command in enumerate(state.commands):
            if command.outcome is None:
                steps.append((f"commit {number}", self._committed(state, number)))
            if command.awaited:
                steps += self._answer_steps(state, number)
        return steps

    def _run_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        store = state.stores[number]
        steps: list[tuple[str, State]] = []
        if not store.follows and state.result is None:
            for known in range(len(state.parts) + 1):
                # What is applied at a store may lag behind what is committed.
                read = Store(follows=True, recorded=known)
                steps.append((f"read {number} {known}", _with_store(state, number, read)))
        may_run = store.follows and not store.run and store.count < self.bounds.events
        if may_run and state.runs < self.bounds.runs:
            begun = store._replace(run=state.runs + 1, asked_after=store.count)
            after = _with_store(state, number, begun)._replace(runs=state.runs + 1)
            steps.append((f"run {number}", after))
        if store.run:
            if store.count < self.bounds.events:
                piece = Piece(store.run, store.asked_after, store.count + 1)
                given = store._replace(new=(*store.new, piece))
                steps.append((f"event {number}", _with_store(state, number, given)))
            broken = store._replace(run=0)
            steps.append((f"break {number}", _with_store(state, number, broken)))
        if store != Store():
            steps.append((f"depose {number}", self._deposed(state, number)))
        return steps

    def _deposed(self, state: State, number: int) -> State:
        commands = tuple(
            command._replace(awaited=False) if command.store == number else command
            for command in state.commands
        )
        return _with_store(state, number, Store())._replace(commands=commands)

    def _send_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        store = state.stores[number]
        waits = any(command.store == number and command.awaited for command in state.commands)
        ends = store.count == self.bounds.events
        if not store.follows or waits or len(state.commands) >= self.bounds.commands:
            return []
        if not store.new and not ends:
            return []
        command = Command(number, ends, store.recorded, store.new)
        return [(f"send {number}", state._replace(commands=(*state.commands, command)))]

    def _committed(self, state: State, number: int) -> State:
        command = state.commands[number]
        if state.result is not None:
            # Nothing is recorded of what is listed; the answer rejects nothing either.
            return _with_command(state, number, command._replace(outcome=True))
        bug = SeededBug.ANY_RESULT if command.ends else SeededBug.ANY_PROGRESS
        whole = command.ends and command.start == 0
        follows = whole or self._follows_on(state.parts, command)
        taken = follows or self._bug == bug
        after = _with_command(state, number, command._replace(outcome=taken))
        if not taken:
            return after
        parts = state.parts[: command.start] if follows else state.parts
        if command.ends:
            return after._replace(parts=(), result=(*parts, *command.pieces))
        return after._replace(parts=(*parts, *command.pieces))

    def _follows_on(self, parts: tuple[Piece, ...], command: Command) -> bool:
        """Return whether a command goes on from what the group has, perhaps repeating some."""
        repeated = parts[command.start :]
        begins = command.pieces[: len(repeated)]
        if self._bug == SeededBug.ANY_REPEAT:
            return command.start <= len(parts) and len(begins) == len(repeated)
        return command.start <= len(parts) and begins == repeated

    def _answer_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        command = state.commands[number]
        heard = _with_command(state, number, command._replace(awaited=False))
        steps = [(f"lose {number}", heard)]
        if command.outcome is None:
            return steps
        store = state.stores[command.store]
        taken = command.outcome or self._bug == SeededBug.REJECTED_COUNTS
        if taken:
            rest = store.new[len(command.pieces) :]
            settled = store._replace(recorded=command.start + len(command.pieces), new=rest)
        elif self._bug == SeededBug.RUN_GOES_ON:
            kept = tuple(piece for piece in store.new if piece.event > len(state.parts))
            settled = store._replace(recorded=len(state.parts), new=kept)
        else:
            settled = Store()
        steps.append((f"answer {number}", _with_store(heard, command.store, settled)))
        return steps

    def _is_whole(self, state: State) -> bool:
        if state.result is None:
            return True
        events = [piece.event for piece in state.result]
        return events == list(range(1, self.bounds.events + 1))


def _is_joined_well(state: State) -> bool:
    """Return whether each piece follows the one before, in its run or as that run was asked."""
    return all(_follow_on(pieces) for pieces in (state.parts, state.result or ()))


def _follow_on(pieces: tuple[Piece, ...]) -> bool:
    previous = Piece(0, 0, 0)
    for piece in pieces:
        same_run = piece.run == previous.run or piece.asked_after == previous.event
        if piece.event != previous.event + 1 or not same_run:
            return False
        previous = piece
    return True


def _with_store(state: State, number: int, store: Store) -> State:
    stores = list(state.stores)
    stores[number] = store
    return state._replace(stores=tuple(stores))


def _with_command(state: State, number: int, command: Command) -> State:
    commands = list(state.commands)
    commands[number] = command
    return state._replace(commands=tuple(commands))


def check(
    bounds: Bounds = BOUNDS, bug: SeededBug = SeededBug.NONE, max_states: int = MAX_STATES
) -> dict[str, Any]:
    """Explore the state space and return the checker's result with the time taken."""
    started_s = time.perf_counter()
    result = check_safety(ItemProgressModel(bounds, bug).protocol(), max_states)
    result["seconds"] = time.perf_counter() - started_s
    return result


def failed_invariants(result: dict[str, Any]) -> list[str]:
    """Return the names of the invariants with a counterexample."""
    properties = result["properties"]
    return [name for name, verdict in properties.items() if verdict["holds"] is False]


def main() -> None:
    """Check the wide bounds and each seeded bug; ``python -m specs.item_progress``."""
    for bounds in (BOUNDS, *WIDE_BOUNDS):
        _print(bounds, check(bounds))
    for bug in SeededBug:
        if bug is not SeededBug.NONE:
            _print(bug.value, check(BOUNDS, bug))


def _print(name: object, result: dict[str, Any]) -> None:
    print(
        f"{name}: {result['reachable_states']} states, {result['seconds']:.1f} s, "
        f"whole: {result['exhaustive']}, violated: {failed_invariants(result)}"
    )


if __name__ == "__main__":
    main()
