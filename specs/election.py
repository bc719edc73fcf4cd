"""Model of election, lost disks and membership change, checked over its whole state space.

Three machines hold one group. A disk may be lost at any moment after a reported repair; the
machine then comes back blank, under another replica id. The leader adds it as a learner, promotes
it and drops the lost id, one change of a voter at a time.

Time is left out: any replica may campaign at any moment, so safety does not hang on clocks. A
message that is lost is a step that does not happen. A vote and its reply are one step, and so are
an append of the leader's whole log and its answer; the leader commits as early as it may.

A broken rule (``Rule``) is seeded into the model to show that the invariants can fail.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from enum import StrEnum
from itertools import pairwise
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

MACHINES = (0, 1, 2)
MAX_STATES = 3_000_000

ReplicaId = tuple[int, int]
"""Machine and how many disks it has had."""


class Rule(StrEnum):
    """A rule that can be broken, and what breaking it does."""

    NONE = "none"
    BLANK_VOTES = "a blank replica votes, counted as the voter that lived at its address"
    REPORT_EARLY = "a repair is reported done once the learner is added"
    SWAP = "the lost voter is dropped in the same change that adds its successor, unfilled"
    CHANGE_EARLY = "a change starts before the last one is committed"
    KEEP_ID = "a machine that lost its disk comes back as the voter it was"
    VOTE_TWICE = "a replica forgets its vote"
    REPORT_AGAIN = "a repair is reported once more after its machine was lost again"


class Bounds(NamedTuple):
    """How far the model is explored."""

    terms: int
    entries: int
    losses: int


BOUNDS = Bounds(terms=2, entries=4, losses=2)
"""Enough for a repair (no-op, add, promote, drop) and a second loss right after it."""

WIDE_BOUNDS = Bounds(terms=2, entries=5, losses=2)
"""One more entry, for ``python -m specs.election``."""


LOST_AGAIN_BOUNDS = Bounds(terms=1, entries=4, losses=3)
"""A machine that is lost again after its repair, and a third loss; it takes no second election."""


class Entry(NamedTuple):
    """A log entry; ``voters`` and ``learners`` are empty for a command or a no-op."""

    term: int
    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()


class Machine(NamedTuple):
    """A machine: ``role`` is blank, follower, candidate or leader.

    ``acked`` tells how much of a leader's log each replica is known to hold.
    """

    life: int
    role: str
    term: int = 0
    vote: ReplicaId | None = None
    votes: tuple[ReplicaId, ...] = ()
    log: tuple[Entry, ...] = ()
    acked: tuple[tuple[ReplicaId, int], ...] = ()


class Group(NamedTuple):
    """The whole state; ``committed`` is what some leader has committed, ``lost`` awaits repair."""

    machines: tuple[Machine, ...]
    committed: tuple[Entry, ...] = ()
    losses: int = 0
    lost: ReplicaId | None = None
    leaders: tuple[tuple[int, ReplicaId], ...] = ()


FIRST = Entry(term=0, voters=tuple((machine, 1) for machine in MACHINES))
INITIAL = Group(machines=tuple(Machine(life=1, role="follower") for _ in MACHINES))


def configuration(log: tuple[Entry, ...]) -> Entry:
    """Return the configuration in force: the latest in the log."""
    return next((entry for entry in reversed(log) if entry.voters), FIRST)


def _configuration_length(log: tuple[Entry, ...]) -> int:
    return max((number for number, entry in enumerate(log, 1) if entry.voters), default=0)


def _common_length(one: tuple[Entry, ...], other: tuple[Entry, ...]) -> int:
    """Return how many first entries two logs share."""
    pairs = enumerate(zip(one, other, strict=False))
    shorter = min(len(one), len(other))
    return next((number for number, (left, right) in pairs if left != right), shorter)


def _position(log: tuple[Entry, ...]) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def _quorum(ids: set[ReplicaId], voters: tuple[ReplicaId, ...]) -> bool:
    return len(ids & set(voters)) > len(voters) // 2


def identity(group: Group, number: int) -> ReplicaId:
    """Return the id of the replica that lives on a machine now."""
    return (number, group.machines[number].life)


def _with(group: Group, number: int, **changes: Any) -> Group:
    machines = list(group.machines)
    machines[number] = machines[number]._replace(**changes)
    return group._replace(machines=tuple(machines))


class ElectionModel:
    """Transitions of the model with at most one broken rule."""

    def __init__(self, bounds: Bounds = BOUNDS, broken: Rule = Rule.NONE) -> None:
        self.bounds = bounds
        self.broken = broken

    def protocol(self) -> Protocol:
        """Return the model in the checker's form."""
        return Protocol(
            name="election",
            candidate=False,
            fields=Group._fields,
            initial=INITIAL,
            transitions=lambda state: list(self.steps(state)),
            invariants={
                "one_leader_a_term": _one_leader_a_term,
                "leaders_hold_committed": _leaders_hold_committed,
                "committed_survives": _committed_survives,
                "quorum_survives": _quorum_survives,
            },
        )

    def steps(self, group: Group) -> Iterator[tuple[str, Group]]:
        """Yield every step that is possible in ``group``."""
        for number in MACHINES:
            yield from self._campaign(group, number)
            yield from self._lose(group, number)
            yield from self._append(group, number)
            yield from self._change(group, number)
            yield from self._report_again(group, number)
            for other in MACHINES:
                if other != number:
                    yield from self._vote(group, number, other)
                    yield from self._replicate(group, number, other)

    def _campaign(self, group: Group, number: int) -> Iterator[tuple[str, Group]]:
        machine = group.machines[number]
        own = identity(group, number)
        if machine.role in ("blank", "leader") or machine.term >= self.bounds.terms:
            return
        if own not in configuration(machine.log).voters:
            return
        after = _with(
            group, number, role="candidate", term=machine.term + 1, vote=own, votes=(own,), acked=()
        )
        yield f"campaign {number}", self._count(after, number)

    def _vote(self, group: Group, number: int, other: int) -> Iterator[tuple[str, Group]]:
        """``other`` votes for the candidate ``number``, and the reply arrives."""
        candidate, voter = group.machines[number], group.machines[other]
        if candidate.role != "candidate" or voter.term > candidate.term:
            return
        if voter.role == "blank" and self.broken is not Rule.BLANK_VOTES:
            return
        counted = self._counted_as(group, number, other)
        if counted is None or counted in candidate.votes:
            return
        vote = voter.vote if voter.term == candidate.term else None
        if self.broken is Rule.VOTE_TWICE:
            vote = None
        own = identity(group, number)
        if vote not in (None, own) or _position(candidate.log) < _position(voter.log):
            return
        role = "blank" if voter.role == "blank" else "follower"
        after = _with(group, other, role=role, term=candidate.term, vote=own, votes=(), acked=())
        after = _with(after, number, votes=tuple(sorted((*candidate.votes, counted))))
        yield f"vote {number} {other}", self._count(after, number)

    def _counted_as(self, group: Group, number: int, other: int) -> ReplicaId | None:
        """Return the voter that a vote of ``other`` counts for: itself, by its id."""
        voters = configuration(group.machines[number].log).voters
        if identity(group, other) in voters:
            return identity(group, other)
        if self.broken is Rule.BLANK_VOTES and group.machines[other].role == "blank":
            return next((voter for voter in voters if voter[0] == other), None)
        return None

    def _count(self, group: Group, number: int) -> Group:
        """Lead once a quorum has voted: append the no-op of the term."""
        machine = group.machines[number]
        if not _quorum(set(machine.votes), configuration(machine.log).voters):
            return group
        log = (*machine.log, Entry(term=machine.term))
        after = _with(group, number, role="leader", votes=(), log=log)
        led = tuple(sorted({*group.leaders, (machine.term, identity(group, number))}))
        return self._commit(after._replace(leaders=led), number)

    def _append(self, group: Group, number: int) -> Iterator[tuple[str, Group]]:
        machine = group.machines[number]
        if machine.role == "leader" and len(machine.log) < self.bounds.entries:
            log = (*machine.log, Entry(term=machine.term))
            yield f"append {number}", _with(group, number, log=log)

    def _replicate(self, group: Group, number: int, other: int) -> Iterator[tuple[str, Group]]:
        """The leader brings a member's log up to its own; a blank one gets a snapshot."""
        leader, member = group.machines[number], group.machines[other]
        if leader.role != "leader" or member.term > leader.term:
            return
        current = configuration(leader.log)
        if identity(group, other) not in (*current.voters, *current.learners):
            return
        if member.log == leader.log and member.term == leader.term:
            return
        vote = member.vote if member.term == leader.term else None
        after = _with(
            group,
            other,
            role="follower",
            term=leader.term,
            vote=vote,
            votes=(),
            log=leader.log,
            acked=(),
        )
        acked = {**dict(leader.acked), identity(group, other): len(leader.log)}
        after = _with(after, number, acked=tuple(sorted(acked.items())))
        yield f"replicate {number} {other}", self._commit(after, number)

    def _holders(self, group: Group, number: int, length: int) -> set[ReplicaId]:
        """Return the replicas that have acknowledged the leader's first ``length`` entries."""
        acked = group.machines[number].acked
        return {identity(group, number), *(holder for holder, held in acked if held >= length)}

    def _commit(self, group: Group, number: int) -> Group:
        """Commit what a quorum holds, if its last entry is of the leader's term."""
        log = group.machines[number].log
        current = configuration(log)
        for length in range(len(log), len(group.committed), -1):
            if log[length - 1].term != group.machines[number].term:
                return group
            if _quorum(self._holders(group, number, length), current.voters):
                return self._repaired(group._replace(committed=log[:length]))
        return group

    def _repaired(self, group: Group) -> Group:
        """The repair is done once the configuration without the lost id is committed."""
        current = configuration(group.committed)
        early = self.broken is Rule.REPORT_EARLY and bool(current.learners)
        if group.lost is not None and (early or group.lost not in current.voters):
            return group._replace(lost=None)
        return group

    def _report_again(self, group: Group, number: int) -> Iterator[tuple[str, Group]]:
        """A replica that crashed in a sync learns once more that an old repair is committed.

        It is reported only while the replica that it names lives at its address. Otherwise it is
        taken for the repair of the present loss, and the next machine is touched.
        """
        lost_again = group.lost is not None and group.lost[0] == number and group.lost[1] > 1
        if lost_again and self.broken is Rule.REPORT_AGAIN:
            yield f"report {number}", group._replace(lost=None)

    def _change(self, group: Group, number: int) -> Iterator[tuple[str, Group]]:
        """The leader makes the next change of a repair."""
        leader = group.machines[number]
        if leader.role != "leader" or len(leader.log) >= self.bounds.entries:
            return
        if not self._may_change(group, number):
            return
        current = configuration(leader.log)
        for label, voters, learners in self._next_changes(group, number, current):
            entry = Entry(leader.term, tuple(sorted(voters)), tuple(sorted(learners)))
            after = _with(group, number, log=(*leader.log, entry))
            yield f"{label} {number}", self._commit(after, number)

    def _may_change(self, group: Group, number: int) -> bool:
        log = group.machines[number].log
        length = _configuration_length(log)
        if self.broken is not Rule.CHANGE_EARLY and log[:length] != group.committed[:length]:
            return False
        # An entry of the leader's own term must be committed first (Ongaro's fix of 2015).
        term = group.machines[number].term
        return any(entry.term == term for entry in group.committed)

    def _next_changes(
        self, group: Group, number: int, current: Entry
    ) -> Iterator[tuple[str, set[ReplicaId], set[ReplicaId]]]:
        voters, learners = set(current.voters), set(current.learners)
        for other in MACHINES:
            live = identity(group, other)
            same = {voter for voter in voters if voter[0] == other}
            if live in voters and len(same) > 1:
                yield "drop", voters - (same - {live}), learners
            elif live in learners and self._caught_up(group, number, other):
                yield "promote", voters | {live}, learners - {live}
            elif live not in voters | learners and self.broken is Rule.SWAP:
                yield "swap", voters - same | {live}, learners
            elif live not in voters | learners:
                kept = {learner for learner in learners if learner[0] != other}
                yield "add", voters, kept | {live}

    def _caught_up(self, group: Group, number: int, other: int) -> bool:
        """Return whether a learner holds every committed entry that the leader does."""
        leader = group.machines[number]
        held = dict(leader.acked).get(identity(group, other), 0)
        return held >= _common_length(leader.log, group.committed)

    def _lose(self, group: Group, number: int) -> Iterator[tuple[str, Group]]:
        """A disk is lost; a second one only after the repair of the first was reported."""
        if group.lost is not None or group.losses >= self.bounds.losses:
            return
        lost = identity(group, number)
        if lost not in configuration(group.committed).voters:
            return
        blank = Machine(life=lost[1] + 1, role="blank")
        if self.broken is Rule.KEEP_ID:
            blank = Machine(life=lost[1], role="follower")
        machines = tuple(blank if other == number else group.machines[other] for other in MACHINES)
        yield (
            f"lose {number}",
            group._replace(machines=machines, losses=group.losses + 1, lost=lost),
        )


def _one_leader_a_term(group: dict[str, Any]) -> bool:
    return all(before[0] != after[0] for before, after in pairwise(group["leaders"]))


def _leaders_hold_committed(group: dict[str, Any]) -> bool:
    """The leader of the newest term holds everything that was ever committed."""
    leaders = [machine for machine in group["machines"] if machine.role == "leader"]
    newest = max((machine.term for machine in leaders), default=0)
    committed = group["committed"]
    if not committed or newest < committed[-1].term:
        return True
    return all(
        machine.log[: len(committed)] == committed for machine in leaders if machine.term == newest
    )


def _committed_survives(group: dict[str, Any]) -> bool:
    """At least one machine holds all that was committed."""
    committed = group["committed"]
    return any(machine.log[: len(committed)] == committed for machine in group["machines"])


def _quorum_survives(group: dict[str, Any]) -> bool:
    """A quorum of the committed voters still has its data, so the group can go on."""
    alive = {
        (number, machine.life)
        for number, machine in enumerate(group["machines"])
        if machine.role != "blank"
    }
    return _quorum(alive, configuration(group["committed"]).voters)


def check(
    bounds: Bounds = BOUNDS, broken: Rule = Rule.NONE, max_states: int = MAX_STATES
) -> dict[str, Any]:
    """Explore the state space and return the checker's result with the time taken.

    A counterexample stands even when ``max_states`` ended the search before the whole space.
    """
    started_s = time.perf_counter()
    result = check_safety(ElectionModel(bounds, broken).protocol(), max_states=max_states)
    result["seconds"] = time.perf_counter() - started_s
    return result


def failed_invariants(result: dict[str, Any]) -> list[str]:
    """Return the names of the invariants with a counterexample."""
    properties = result["properties"]
    return [name for name, verdict in properties.items() if verdict["holds"] is False]


def main() -> None:
    """Check the wide bounds and each broken rule; ``python -m specs.election``."""
    for bounds in (BOUNDS, WIDE_BOUNDS, LOST_AGAIN_BOUNDS):
        _print(bounds, check(bounds))
    for broken in Rule:
        if broken is not Rule.NONE:
            again = broken is Rule.REPORT_AGAIN
            _print(broken.value, check(LOST_AGAIN_BOUNDS if again else WIDE_BOUNDS, broken))


def _print(name: object, result: dict[str, Any]) -> None:
    print(
        f"{name}: {result['reachable_states']} states, {result['seconds']:.1f} s, "
        f"whole: {result['exhaustive']}, violated: {failed_invariants(result)}"
    )


if __name__ == "__main__":
    main()
