"""Model of settings change: two operators, resends, lagging hubs, a gateway that restarts.

Consensus is abstracted to one committed log (``specs/election*`` checks it): a leader change shows
as a proposal that is not committed yet, or as an answer that never comes, and so as resends. Hubs
apply the log with any lag. The gateway gets deltas from either hub, at once or late and twice, and
may stop at any moment; it then starts from its synced copy.

Operator 0's changes set leaf ``a``; operator 1's delete ``a`` and set ``b``. A leaf's value in the
model is the version that set it, 0 when it is absent.
"""

from __future__ import annotations

import time
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

OPERATORS = (0, 1)
HUBS = (0, 1)
MAX_STATES = 2_000_000
ABSENT = 0


class SeededBug(StrEnum):
    """A rule that the model breaks on purpose, so that the check shows that it can fail."""

    NONE = "none"
    RESEND_APPLIED_TWICE = "resend applied twice"
    RESEND_FORGOTTEN = "resend answered anew"
    NO_BASE_CHECK = "base version not compared"
    OLDER_APPLIED = "gateway applies older rows"
    NO_TOMBSTONES = "delta leaves deletions out"
    COPY_AFTER_FORCE = "in force before the copy is synced"


class Bounds(NamedTuple):
    """How far the model is explored: changes of each operator, entries of the log."""

    changes: int
    entries: int


BOUNDS = Bounds(changes=1, entries=3)
WIDE_BOUNDS = (Bounds(changes=1, entries=4), Bounds(changes=2, entries=3))
"""For ``python -m specs.settings_change``."""


class Entry(NamedTuple):
    """A committed ApplyChange: the operator's n-th change, made against a base version."""

    operator: int
    change: int
    base: int


class Operator(NamedTuple):
    """An operator: number of its current change, base of it, and whether it awaits an answer."""

    change: int
    base: int
    waiting: bool


class Leaves(NamedTuple):
    """Settings at some version; each leaf holds the version that set it."""

    version: int
    a: int
    b: int


class Delta(NamedTuple):
    """A hub's answer: the leaves changed after ``after``, up to ``version``.

    A leaf is None when it did not change, ABSENT when it was deleted.
    """

    after: int
    version: int
    a: int | None
    b: int | None


class Gateway(NamedTuple):
    """A gateway: settings in force, its synced copy, and the highest version ever in force."""

    in_force: Leaves
    copy: Leaves
    highest: int


class State(NamedTuple):
    """The whole system."""

    log: tuple[Entry, ...]
    operators: tuple[Operator, ...]
    hubs: tuple[int, ...]
    gateway: Gateway
    late: Delta | None


class Applied(NamedTuple):
    """What the log leads to: outcome told for each entry, and the settings at each version.

    An outcome is the version that the change made, 0 when it was refused.
    """

    outcomes: tuple[int, ...]
    settings: tuple[Leaves, ...]


EMPTY = Leaves(0, ABSENT, ABSENT)
INITIAL = State(
    log=(),
    operators=tuple(Operator(0, 0, False) for _ in OPERATORS),
    hubs=tuple(0 for _ in HUBS),
    gateway=Gateway(EMPTY, EMPTY, 0),
    late=None,
)


def apply_log(log: tuple[Entry, ...], bug: SeededBug) -> Applied:
    """Return what a log leads to, by the rules of the settings state machine."""
    first: dict[tuple[int, int], int] = {}
    outcomes: list[int] = []
    settings = [EMPTY]
    for entry in log:
        identity = (entry.operator, entry.change)
        current = settings[-1]
        known = first.get(identity)
        if bug == SeededBug.RESEND_FORGOTTEN:
            known = None
        if known is not None and bug == SeededBug.RESEND_APPLIED_TWICE and known > 0:
            settings.append(_changed(current, entry.operator))
            outcomes.append(settings[-1].version)
            continue
        if known is None:
            matches = entry.base == current.version or bug == SeededBug.NO_BASE_CHECK
            if matches:
                settings.append(_changed(current, entry.operator))
            known = settings[-1].version if matches else 0
        first.setdefault(identity, known)
        outcomes.append(known)
    return Applied(tuple(outcomes), tuple(settings))


def _changed(current: Leaves, operator: int) -> Leaves:
    version = current.version + 1
    if operator == 0:
        return Leaves(version, version, current.b)
    return Leaves(version, ABSENT, version)


class SettingsModel:
    """Transitions and invariants, with one rule broken or none."""

    def __init__(self, bounds: Bounds = BOUNDS, bug: SeededBug = SeededBug.NONE) -> None:
        """Explore up to the bounds, with the given rule broken."""
        self._bounds = bounds
        self._bug = bug
        self._applied: dict[tuple[Entry, ...], Applied] = {}

    def applied(self, log: tuple[Entry, ...]) -> Applied:
        """Return what a log leads to."""
        found = self._applied.get(log)
        if found is None:
            found = self._applied[log] = apply_log(log, self._bug)
        return found

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name=f"settings change ({self._bug})",
            candidate=False,
            fields=State._fields,
            initial=INITIAL,
            transitions=lambda state: self.transitions(State(*state)),
            invariants={
                "each_change_takes_effect_once": lambda d: self._once(State(**d)),
                "one_winner_for_each_base": lambda d: self._one_winner(State(**d)),
                "a_resend_gets_the_first_outcome": lambda d: self._same_outcome(State(**d)),
                "gateway_holds_the_tree_of_its_version": lambda d: self._true_tree(State(**d)),
                "gateway_never_goes_back": lambda d: _never_back(State(**d)),
            },
        )

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Return every step that may follow, each with its label."""
        steps: list[tuple[str, State]] = []
        for operator in OPERATORS:
            steps += self._operator_steps(state, operator)
        for hub in HUBS:
            steps += self._hub_steps(state, hub)
        steps += self._gateway_steps(state)
        return steps

    def _operator_steps(self, state: State, number: int) -> list[tuple[str, State]]:
        operator = state.operators[number]
        steps: list[tuple[str, State]] = []
        if not operator.waiting and operator.change < self._bounds.changes:
            for hub in HUBS:
                base = self._hub_settings(state, hub).version
                planned = Operator(operator.change + 1, base, True)
                steps.append((f"plan {number} {hub}", _with_operator(state, number, planned)))
        if operator.change and len(state.log) < self._bounds.entries:
            # Sent or sent again; a copy may even be committed after the answer was seen.
            entry = Entry(number, operator.change, operator.base)
            steps.append((f"commit {number}", state._replace(log=(*state.log, entry))))
        if operator.waiting and any(_is_change_of(entry, number, operator) for entry in state.log):
            answered = operator._replace(waiting=False)
            steps.append((f"answer {number}", _with_operator(state, number, answered)))
        return steps

    def _hub_steps(self, state: State, hub: int) -> list[tuple[str, State]]:
        steps: list[tuple[str, State]] = []
        if state.hubs[hub] < len(state.log):
            hubs = list(state.hubs)
            hubs[hub] += 1
            steps.append((f"catch-up {hub}", state._replace(hubs=tuple(hubs))))
        delta = self.delta(state, hub)
        received = self._received(state.gateway, delta)
        if received != state.gateway:
            steps.append((f"exchange {hub}", state._replace(gateway=received)))
        if delta.version and state.late is None:
            steps.append((f"delay {hub}", state._replace(late=delta)))
        return steps

    def _gateway_steps(self, state: State) -> list[tuple[str, State]]:
        gateway = state.gateway
        steps: list[tuple[str, State]] = []
        if state.late is not None:
            received = self._received(gateway, state.late)
            if received != gateway:
                steps.append(("late", state._replace(gateway=received)))
            steps.append(("drop", state._replace(late=None)))
        if gateway.copy != gateway.in_force:
            if self._bug == SeededBug.COPY_AFTER_FORCE:
                settled = gateway._replace(copy=gateway.in_force)
            else:
                settled = _put_in_force(gateway, gateway.copy)
            steps.append(("settle", state._replace(gateway=settled)))
            # Replies to the former process die with its connections.
            restarted = gateway._replace(in_force=gateway.copy)
            highest = max(gateway.highest, restarted.in_force.version)
            restarted = restarted._replace(highest=highest)
            steps.append(("restart", state._replace(gateway=restarted, late=None)))
        return steps

    def delta(self, state: State, hub: int) -> Delta:
        """Return what a hub answers to the gateway now."""
        after = state.gateway.in_force.version
        held = self._hub_settings(state, hub)
        settings = self.applied(state.log[: state.hubs[hub]]).settings
        changed_a = any(
            settings[version].a != settings[version - 1].a
            for version in range(after + 1, held.version + 1)
        )
        a = held.a if changed_a else None
        if a == ABSENT and self._bug == SeededBug.NO_TOMBSTONES:
            a = None
        return Delta(after, max(held.version, 0), a, held.b if held.b > after else None)

    def _received(self, gateway: Gateway, delta: Delta) -> Gateway:
        """Return the gateway after a delta: merged and synced, in force with the next step."""
        pending = gateway.copy if gateway.copy.version > gateway.in_force.version else None
        if pending is not None:
            return gateway
        current = gateway.in_force
        if delta.version <= current.version and self._bug != SeededBug.OLDER_APPLIED:
            return gateway
        if delta.version == current.version:
            return gateway
        merged = Leaves(
            delta.version,
            current.a if delta.a is None else delta.a,
            current.b if delta.b is None else delta.b,
        )
        if self._bug == SeededBug.COPY_AFTER_FORCE:
            return _put_in_force(gateway, merged)
        return gateway._replace(copy=merged)

    def _hub_settings(self, state: State, hub: int) -> Leaves:
        return self.applied(state.log[: state.hubs[hub]]).settings[-1]

    def _once(self, state: State) -> bool:
        applied = self.applied(state.log)
        changes = {(entry.operator, entry.change) for entry in state.log}
        return len(applied.settings) - 1 <= len(changes) and all(
            len(self._versions_of(state, identity)) <= 1 for identity in changes
        )

    def _versions_of(self, state: State, identity: tuple[int, int]) -> set[int]:
        applied = self.applied(state.log)
        return {
            outcome
            for entry, outcome in zip(state.log, applied.outcomes, strict=True)
            if (entry.operator, entry.change) == identity and outcome
        }

    def _one_winner(self, state: State) -> bool:
        winners: dict[int, set[tuple[int, int]]] = {}
        applied = self.applied(state.log)
        for entry, outcome in zip(state.log, applied.outcomes, strict=True):
            if outcome:
                winners.setdefault(entry.base, set()).add((entry.operator, entry.change))
        return all(len(changes) == 1 for changes in winners.values())

    def _same_outcome(self, state: State) -> bool:
        told: dict[tuple[int, int], int] = {}
        applied = self.applied(state.log)
        return all(
            told.setdefault((entry.operator, entry.change), outcome) == outcome
            for entry, outcome in zip(state.log, applied.outcomes, strict=True)
        )

    def _true_tree(self, state: State) -> bool:
        settings = self.applied(state.log).settings
        held = state.gateway.in_force
        return held.version < len(settings) and held == settings[held.version]


def _never_back(state: State) -> bool:
    return state.gateway.in_force.version >= state.gateway.highest


def _put_in_force(gateway: Gateway, settings: Leaves) -> Gateway:
    highest = max(gateway.highest, settings.version)
    return gateway._replace(in_force=settings, highest=highest)


def _with_operator(state: State, number: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[number] = operator
    return state._replace(operators=tuple(operators))


def _is_change_of(entry: Entry, number: int, operator: Operator) -> bool:
    return (entry.operator, entry.change) == (number, operator.change)


def check(
    bounds: Bounds = BOUNDS, bug: SeededBug = SeededBug.NONE, max_states: int = MAX_STATES
) -> dict[str, Any]:
    """Explore the state space and return the checker's result with the time taken.

    A counterexample stands even when ``max_states`` ended the search before the whole space.
    """
    started_s = time.perf_counter()
    result = check_safety(SettingsModel(bounds, bug).protocol(), max_states)
    result["seconds"] = time.perf_counter() - started_s
    return result


def failed_invariants(result: dict[str, Any]) -> list[str]:
    """Return the names of the invariants with a counterexample."""
    properties = result["properties"]
    return [name for name, verdict in properties.items() if verdict["holds"] is False]


def main() -> None:
    """Check the wide bounds and each seeded bug; ``python -m specs.settings_change``."""
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
