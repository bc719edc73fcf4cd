"""What the registry's leader does on its own: expiry, and where the groups' voters shall be. Pure.

The leader hears, through all control processes, which runners and machines are alive. A new leader
has heard nobody yet, so it gives everybody the whole time before it acts.
"""

from __future__ import annotations

import msgspec

from leverjunction.quarantine.records import SuspectList
from leverjunction.registry.commands import (
    DropMember,
    ExpireRunners,
    Heard,
    PutGroup,
    RegistryCommand,
)
from leverjunction.registry.records import (
    JOBS_GROUP,
    FleetView,
    MemberRecord,
    MemberRole,
    RunnerState,
)
from leverjunction.registry.suspect_review import SuspectReview


class StewardLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times and sizes.

    Attributes:
        losses: Machines whose disks may be lost at once.
        runner_silence_s: Silence after which a runner gets no new work.
        replace_after_s: Silence after which a machine's replica moves to a spare machine.
        drop_after_s: Silence after which a machine is taken for gone, if others are enough.
        settle_s: Time without a new machine after which a group is founded.
        settle_most_s: Time after which it is founded in any case.
    """

    losses: int
    runner_silence_s: float = 6.0
    replace_after_s: float = 2.5
    drop_after_s: float = 10.0
    settle_s: float = 1.0
    settle_most_s: float = 5.0

    @property
    def voters(self) -> int:
        """Voters of a group: a majority is left when the tolerated losses strike."""
        return 2 * self.losses + 1


class Steward:
    """Follows who is alive and says what to change. Not safe between threads."""

    __slots__ = ("_heard_s", "_limits", "_members_since_s", "_names", "_review", "_started_s")

    def __init__(self, limits: StewardLimits, now_s: float) -> None:
        self._limits = limits
        self._started_s = now_s
        self._heard_s: dict[str, float] = {}
        self._names: frozenset[str] = frozenset()
        self._members_since_s = now_s
        self._review = SuspectReview()

    def heard(self, word: Heard, now_s: float) -> None:
        """Note who was heard lately."""
        for name in (*word.runner_ids, *word.members):
            self._heard_s[name] = now_s

    def step(
        self,
        view: FleetView,
        control_voters: tuple[str, ...],
        now_s: float,
        suspects: SuspectList | None = None,
    ) -> list[RegistryCommand]:
        """Return the commands that are due.

        Args:
            view: The registry as applied on the leader.
            control_voters: Target addresses of the registry group itself.
            now_s: Monotonic time.
            suspects: The suspect requests, None when they are not known.
        """
        self._meet(view, now_s)
        due: list[RegistryCommand] = []
        silent = self._silent_runners(view, now_s)
        if silent:
            due.append(ExpireRunners(silent))
        due.extend(self._jobs_group(view, now_s))
        due.extend(self._gone_members(view, control_voters, now_s))
        if suspects is not None:
            due.extend(self._review.due(suspects, now_s))
        return due

    def control_voters(
        self, view: FleetView, current: tuple[str, ...], now_s: float
    ) -> tuple[str, ...]:
        """Return where the registry's own voters shall be: on every control machine.

        A new machine takes the place of a silent one. A silent one without successor is dropped
        after a longer time, as long as enough are left.
        """
        controls = [item for item in view.members if item.role is MemberRole.CONTROL]
        addresses = {item.address: item for item in controls}
        voters = list(current)
        fresh = [
            item.address
            for item in controls
            if item.address not in current and self._silence_s(item.name, now_s) < 1.0
        ]
        for address in fresh:
            voters.append(address)
            dead = self._longest_silent(voters, addresses, self._limits.replace_after_s, now_s)
            if dead:
                voters.remove(dead)
        while len(voters) > max(3, self._limits.voters):
            dead = self._longest_silent(voters, addresses, self._limits.drop_after_s, now_s)
            if not dead:
                break
            voters.remove(dead)
        return tuple(sorted(voters))

    def _longest_silent(
        self,
        voters: list[str],
        members: dict[str, MemberRecord],
        silence_s: float,
        now_s: float,
    ) -> str:
        """Return the voter that has been silent longest, and for so long; else nothing."""
        silences = [
            (self._silence_s(members[address].name, now_s), address)
            for address in voters
            if address in members
        ]
        longest = max(silences, default=(0.0, ""))
        return longest[1] if longest[0] >= silence_s else ""

    def silence_s(self, name: str, now_s: float) -> float | None:
        """Return since when a machine or runner was not heard, None if it is not known."""
        return self._silence_s(name, now_s) if name in self._heard_s else None

    def _silence_s(self, name: str, now_s: float) -> float:
        return now_s - self._heard_s.get(name, now_s)

    def _meet(self, view: FleetView, now_s: float) -> None:
        """Count the silence of those that are new from now on; forget those that are gone."""
        known = {item.start for item in view.runners} | {item.name for item in view.members}
        for name in known:
            self._heard_s.setdefault(name, now_s)
        for name in [name for name in self._heard_s if name not in known]:
            del self._heard_s[name]

    def _silent_runners(self, view: FleetView, now_s: float) -> tuple[str, ...]:
        return tuple(
            item.start
            for item in view.runners
            if item.state is not RunnerState.SILENT
            and self._silence_s(item.start, now_s) >= self._limits.runner_silence_s
        )

    def _jobs_group(self, view: FleetView, now_s: float) -> list[RegistryCommand]:
        stores = [item for item in view.members if item.role is MemberRole.STORE]
        names = frozenset(item.name for item in stores)
        if names != self._names:
            self._names = names
            self._members_since_s = now_s
        group = view.group(JOBS_GROUP)
        if group is None:
            return self._found(stores, now_s)
        voters = self._moved(group.voters, stores, now_s)
        return [PutGroup(JOBS_GROUP, voters)] if voters != group.voters else []

    def _found(self, stores: list[MemberRecord], now_s: float) -> list[RegistryCommand]:
        enough = len(stores) >= self._limits.voters
        settled = now_s - self._members_since_s >= self._limits.settle_s
        overdue = now_s - self._started_s >= self._limits.settle_most_s
        if not stores or not (overdue or (enough and settled)):
            return []
        chosen: list[MemberRecord] = []
        for _ in range(min(self._limits.voters, len(stores))):
            chosen.append(_best_spread(chosen, [item for item in stores if item not in chosen]))
        return [PutGroup(JOBS_GROUP, tuple(sorted(item.address for item in chosen)))]

    def _moved(
        self, voters: tuple[str, ...], stores: list[MemberRecord], now_s: float
    ) -> tuple[str, ...]:
        """Return the voters after moves away from machines that are silent or retire."""
        by_address = {item.address: item for item in stores}
        spares = [
            item
            for item in stores
            if item.address not in voters
            and not item.retiring
            and self._silence_s(item.name, now_s) < self._limits.replace_after_s
        ]
        kept = list(voters)
        if len(kept) < self._limits.voters and spares:
            chosen = _best_spread([by_address[a] for a in kept if a in by_address], spares)
            return tuple(sorted([*kept, chosen.address]))
        # The one that is silent longest first: another may only seem silent for a moment.
        for address in sorted(voters, key=lambda item: -self._voter_silence_s(item, stores, now_s)):
            member = by_address.get(address)
            must_move = member is None or member.retiring
            silent = member is None or (
                self._silence_s(member.name, now_s) >= self._limits.replace_after_s
            )
            if not (must_move or silent) or not spares:
                continue
            kept.remove(address)
            # One at a time: the next waits until this one is in force.
            chosen = _best_spread([by_address[a] for a in kept if a in by_address], spares)
            return tuple(sorted([*kept, chosen.address]))
        return voters

    def _voter_silence_s(self, address: str, stores: list[MemberRecord], now_s: float) -> float:
        """Return since when a voter was not heard; without end for one that is dropped."""
        names = [item.name for item in stores if item.address == address]
        return self._silence_s(names[0], now_s) if names else float("inf")

    def _gone_members(
        self, view: FleetView, control_voters: tuple[str, ...], now_s: float
    ) -> list[RegistryCommand]:
        """Drop machines that are silent for long and hold no voter."""
        group = view.group(JOBS_GROUP)
        held = set(control_voters) | set(group.voters if group is not None else ())
        return [
            DropMember(item.name)
            for item in view.members
            if item.address not in held
            and self._silence_s(item.name, now_s) >= self._limits.drop_after_s
        ]


def _best_spread(chosen: list[MemberRecord], candidates: list[MemberRecord]) -> MemberRecord:
    """Return the candidate whose zone holds the fewest of those chosen."""
    zones = [item.zone for item in chosen]
    return min(candidates, key=lambda item: (zones.count(item.zone), item.name))
