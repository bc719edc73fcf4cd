"""Model of the lease, result, cancel and removal protocol, checked over its whole state space.

Two gateways lease the items of one job one by one, run them and send outcomes. What is left out
is time: a lease may be ended at any moment, whatever any clock says. That covers a frozen holder
that wakes up late, a leader that was replaced, and leaders whose clocks differ; so safety does
not hang on clocks, which only decide how soon a lost item runs again. For the same reason a final
job may be removed at any moment, not only after its retention.

Messages are never consumed: each may be applied late, in any order and again, as resends through
another leader are. A grant's answer may be lost. A gateway may crash and forget all.

A broken rule (``Rule``) is seeded into the model to show that the invariants can fail.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

GATEWAYS = ("a", "b")
MAX_STATES = 2_000_000


class Rule(StrEnum):
    """A rule that can be broken, and what breaking it does."""

    NONE = "none"
    SECOND_RESULT = "accept a second result"
    RERUN_UNREPEATABLE = "return an item that may not repeat when its lease ends"
    STALE_RETURN = "accept the return of an earlier attempt"
    RESULT_AFTER_CANCEL = "accept a result after the cancel"
    GRANT_AFTER_CANCEL = "grant items of a cancelled job"
    START_AFTER_RETURN = "start an item that was given back"
    REMOVE_UNFINISHED = "remove a job while its items are not final"
    RESULT_AFTER_REMOVAL = "accept a result of a removed item"


class Item(NamedTuple):
    """An item in the replicated state: ``status`` is pending, leased, done or unknown."""

    status: str
    attempt: int
    holder: str


class Held(NamedTuple):
    """An item at a gateway: ``phase`` is none, asked, held, running, ran or returned.

    ``asked`` means that the grant's answer was lost; the gateway may send the grant again.
    """

    phase: str
    attempt: int


class Message(NamedTuple):
    """A command that was sent and may be applied any number of times."""

    kind: str
    gateway: str
    item: int
    attempt: int


class State(NamedTuple):
    """A state of the model; the last three fields only record what happened."""

    cancelled: bool
    removed: bool
    items: tuple[Item, ...]
    held: tuple[tuple[Held, ...], ...]
    sent: frozenset[Message]
    runs: tuple[int, ...]
    outcomes: tuple[int, ...]
    broken_cancel: bool


_NOT_HELD = Held("none", 0)
_FINAL = ("done", "unknown")


class LeaseModel:
    """The transitions of the protocol.

    Args:
        items: Number of items of the job.
        attempts: Most grants of one item.
        may_repeat: Whether its items may run more than once.
        rule: Rule to break.
    """

    def __init__(self, items: int, attempts: int, may_repeat: bool, rule: Rule = Rule.NONE) -> None:
        self.items = items
        self.attempts = attempts
        self.may_repeat = may_repeat
        self.rule = rule

    def initial(self) -> State:
        """Return the state after the job was accepted."""
        return State(
            cancelled=False,
            removed=False,
            items=(Item("pending", 0, ""),) * self.items,
            held=((_NOT_HELD,) * self.items,) * len(GATEWAYS),
            sent=frozenset(),
            runs=(0,) * self.items,
            outcomes=(0,) * self.items,
            broken_cancel=False,
        )

    def protocol(self) -> Protocol:
        """Return the model in the checker's terms, with its invariants."""
        return Protocol(
            name="lease",
            candidate=False,
            fields=State._fields,
            initial=tuple(self.initial()),
            transitions=lambda state: [
                (label, tuple(after)) for label, after in self.transitions(State(*state))
            ],
            invariants={
                "one_outcome_per_item": lambda s: max(s["outcomes"]) <= 1,
                "at_most_one_run": lambda s: self.may_repeat or max(s["runs"]) <= 1,
                "cancel_is_final": lambda s: not s["broken_cancel"],
                "removed_job_is_final": lambda s: (
                    not s["removed"]
                    or s["cancelled"]
                    or all(item[0] in _FINAL for item in s["items"])
                ),
                "final_items_have_an_outcome": lambda s: all(
                    (item[0] in _FINAL) == (count >= 1)
                    for item, count in zip(s["items"], s["outcomes"], strict=True)
                ),
            },
        )

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every possible step with its label."""
        if not state.cancelled and not state.removed:
            yield "cancel", self._cancel(state)
        if not state.removed and self._may_remove(state):
            yield "remove", state._replace(removed=True)
        for number, gateway in enumerate(GATEWAYS):
            yield from self._grants(state, number, gateway)
            yield from self._gateway_steps(state, number, gateway)
        for message in sorted(state.sent):
            label = f"{message.kind} {message.gateway} {message.item} {message.attempt}"
            after = self.deliver(state, message)
            if after != state:
                yield label, after
        for index, item in enumerate(state.items):
            if item.status == "leased" and not state.removed:
                yield f"expire {item.holder} {index} {item.attempt}", self._expire(state, index)

    def _may_remove(self, state: State) -> bool:
        is_final = state.cancelled or all(item.status in _FINAL for item in state.items)
        return is_final or self.rule is Rule.REMOVE_UNFINISHED

    def _cancel(self, state: State) -> State:
        return state._replace(cancelled=True)

    def _grants(self, state: State, number: int, gateway: str) -> Iterator[tuple[str, State]]:
        """Grant the first pending item; the answer arrives or is lost."""
        closed = state.removed or (state.cancelled and self.rule is not Rule.GRANT_AFTER_CANCEL)
        pending = [i for i, item in enumerate(state.items) if item.status == "pending"]
        if closed or not pending:
            return
        index = pending[0]
        attempt = state.items[index].attempt + 1
        if attempt > self.attempts:
            return
        granted = _with_item(state, index, Item("leased", attempt, gateway))
        if state.cancelled:
            granted = granted._replace(broken_cancel=True)
        asked = _with_held(granted, number, index, Held("asked", attempt))
        yield f"grant {gateway} {index} {attempt} lost", asked
        arrived = _with_held(granted, number, index, Held("held", attempt))
        yield f"grant {gateway} {index} {attempt}", arrived

    def _gateway_steps(
        self, state: State, number: int, gateway: str
    ) -> Iterator[tuple[str, State]]:
        for index, held in enumerate(state.held[number]):
            name = f"{gateway} {index} {held.attempt}"
            if held.phase == "asked":
                yield f"regrant {name}", self._regrant(state, number, index)
            if held.phase == "held":
                yield f"local start {name}", self._start(state, number, index)
                back = Message("return", gateway, index, held.attempt)
                returned = _with_held(state, number, index, held._replace(phase="returned"))
                yield f"local return {name}", returned._replace(sent=state.sent | {back})
            if held.phase == "returned" and self.rule is Rule.START_AFTER_RETURN:
                yield f"local start {name}", self._start(state, number, index)
            if held.phase == "running":
                done = Message("done", gateway, index, held.attempt)
                ran = _with_held(state, number, index, held._replace(phase="ran"))
                yield f"local finish {name}", ran._replace(sent=state.sent | {done})
        if any(held != _NOT_HELD for held in state.held[number]):
            forgotten = list(state.held)
            forgotten[number] = (_NOT_HELD,) * self.items
            yield f"local crash {gateway}", state._replace(held=tuple(forgotten))

    def _regrant(self, state: State, number: int, index: int) -> State:
        """Send a grant again whose answer was lost: it is repeated while the lease is open."""
        held = state.held[number][index]
        item = state.items[index]
        is_open = item == Item("leased", held.attempt, GATEWAYS[number]) and not (
            state.cancelled or state.removed
        )
        phase = Held("held", held.attempt) if is_open else _NOT_HELD
        return _with_held(state, number, index, phase)

    def _start(self, state: State, number: int, index: int) -> State:
        held = state.held[number][index]
        runs = list(state.runs)
        # Two runs tell all that the invariants ask.
        runs[index] = min(runs[index] + 1, 2)
        started = _with_held(state, number, index, held._replace(phase="running"))
        return started._replace(runs=tuple(runs))

    def deliver(self, state: State, message: Message) -> State:
        """Apply a message that was sent; it may be late, and applied before."""
        if state.removed:
            return self._deliver_removed(state, message)
        if message.kind == "done":
            return self._complete(state, message)
        return self._return(state, message)

    def _deliver_removed(self, state: State, message: Message) -> State:
        """Nothing of a removed item is left that a message could change."""
        if self.rule is Rule.RESULT_AFTER_REMOVAL and message.kind == "done":
            return _with_outcome(state, message.item, Item("done", message.attempt, ""))
        return state

    def _complete(self, state: State, message: Message) -> State:
        item = state.items[message.item]
        if item.status in _FINAL and self.rule is not Rule.SECOND_RESULT:
            return state
        if state.cancelled and self.rule is not Rule.RESULT_AFTER_CANCEL:
            return state
        after = _with_outcome(state, message.item, Item("done", item.attempt, ""))
        return after._replace(broken_cancel=state.broken_cancel or state.cancelled)

    def _return(self, state: State, message: Message) -> State:
        item = state.items[message.item]
        holds = item == Item("leased", message.attempt, message.gateway)
        if self.rule is Rule.STALE_RETURN:
            holds = item.status == "leased"
        if state.cancelled or not holds:
            return state
        return _with_item(state, message.item, Item("pending", item.attempt, ""))

    def _expire(self, state: State, index: int) -> State:
        item = state.items[index]
        if self.may_repeat or state.cancelled or self.rule is Rule.RERUN_UNREPEATABLE:
            return _with_item(state, index, Item("pending", item.attempt, ""))
        return _with_outcome(state, index, Item("unknown", item.attempt, ""))


def _with_item(state: State, index: int, item: Item) -> State:
    items = list(state.items)
    items[index] = item
    return state._replace(items=tuple(items))


def _with_held(state: State, number: int, index: int, held: Held) -> State:
    gateways = list(state.held)
    row = list(gateways[number])
    row[index] = held
    gateways[number] = tuple(row)
    return state._replace(held=tuple(gateways))


def _with_outcome(state: State, index: int, item: Item) -> State:
    outcomes = list(state.outcomes)
    outcomes[index] = min(outcomes[index] + 1, 2)
    return _with_item(state, index, item)._replace(outcomes=tuple(outcomes))


def check(model: LeaseModel) -> dict[str, Any]:
    """Explore a model's whole state space; returns the checker's verdicts."""
    return dict(check_safety(model.protocol(), max_states=MAX_STATES))


def main() -> None:
    """Check all bounds and print states and times; ``python -m specs.lease``."""
    for items, attempts in ((1, 3), (2, 2)):
        for may_repeat in (True, False):
            started_s = time.monotonic()
            report = check(LeaseModel(items, attempts, may_repeat))
            holds = all(verdict["holds"] for verdict in report["properties"].values())
            print(
                f"items={items} attempts={attempts} may_repeat={may_repeat}: "
                f"states={report['reachable_states']} whole={report['exhaustive']} "
                f"holds={holds} seconds={time.monotonic() - started_s:.1f}"
            )


if __name__ == "__main__":
    main()
