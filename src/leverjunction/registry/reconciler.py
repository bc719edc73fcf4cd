"""Decides which runners and machines expire and where the voters of groups are placed.

The registry's leader runs these decisions. It learns from all control processes which runners and
machines are alive. A new leader has no record of earlier contacts, so it measures each silence from
the moment at which it first sees the runner or machine.

This module does no I/O; callers pass in the time.
"""

from __future__ import annotations

import msgspec

from leverjunction.quarantine.records import SuspectList
from leverjunction.registry.commands import (
    DropMember,
    ExpireRunners,
    LivenessReport,
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
from leverjunction.registry.version_review import VersionReview


class ReconcilerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and the number of failures that a group tolerates.

    Attributes:
        losses: Number of machines whose disks may be lost at the same time.
        runner_silence_s: Silence after which a runner gets no new work, in seconds.
        replace_after_s: Silence after which a machine's replica moves to a spare machine, in
            seconds.
        drop_after_s: Silence after which a machine is removed if enough others remain, in seconds.
        settle_s: Time without a change among the stores after which a group is founded, in seconds.
        settle_most_s: Time after the start of the leader's term at which a group is founded even
            with too few or changing stores, in seconds.
    """

    losses: int
    runner_silence_s: float = 6.0
    replace_after_s: float = 2.5
    drop_after_s: float = 10.0
    settle_s: float = 1.0
    settle_most_s: float = 5.0

    @property
    def voters(self) -> int:
        """Number of voters with which a group keeps a majority after ``losses`` failures."""
        return 2 * self.losses + 1


class Reconciler:
    """Tracks which runners and machines are alive and returns the changes due. Not thread-safe."""

    __slots__ = (
        "_contact_s",
        "_limits",
        "_review",
        "_started_s",
        "_store_names",
        "_stores_changed_s",
        "_version_review",
    )

    def __init__(self, limits: ReconcilerLimits, now_s: float) -> None:
        self._limits = limits
        self._started_s = now_s
        self._contact_s: dict[str, float] = {}
        self._store_names: frozenset[str] = frozenset()
        self._stores_changed_s = now_s
        self._review = SuspectReview()
        self._version_review = VersionReview()

    def record_contact(self, report: LivenessReport, now_s: float) -> None:
        """Record that the runners and machines of a report are alive.

        Args:
            report: Runners and machines that a control process had contact with.
            now_s: Monotonic time in seconds.
        """
        for name in (*report.runner_ids, *report.members):
            self._contact_s[name] = now_s

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
            control_voters: RPC addresses of the voters and learners of the registry group.
            now_s: Monotonic time in seconds.
            suspects: The suspect requests, None when they are not known.
        """
        self._update_known(view, now_s)
        due: list[RegistryCommand] = []
        silent = self._silent_runners(view, now_s)
        if silent:
            due.append(ExpireRunners(silent))
        due.extend(self._plan_jobs_group(view, now_s))
        due.extend(self._drop_silent_members(view, control_voters, now_s))
        if suspects is not None:
            due.extend(self._review.due(suspects, now_s))
        due.extend(self._version_review.due(view, now_s))
        return due

    def control_voters(
        self, view: FleetView, current: tuple[str, ...], now_s: float
    ) -> tuple[str, ...]:
        """Return the target voters of the registry group: one on every control machine.

        A new machine replaces a silent one. A silent machine without a replacement is removed after
        a longer timeout, as long as enough voters remain.

        Args:
            view: The registry as applied on the leader.
            current: RPC addresses of the present voters and learners.
            now_s: Monotonic time in seconds.

        Returns:
            Sorted RPC addresses.
        """
        controls = [item for item in view.members if item.role is MemberRole.CONTROL]
        addresses = {item.address: item for item in controls}
        voters = list(current)
        new_addresses = [
            item.address
            for item in controls
            if item.address not in current and self._silence_s(item.name, now_s) < 1.0
        ]
        for address in new_addresses:
            voters.append(address)
            silent = self._longest_silent(voters, addresses, self._limits.replace_after_s, now_s)
            if silent:
                voters.remove(silent)
        while len(voters) > max(3, self._limits.voters):
            silent = self._longest_silent(voters, addresses, self._limits.drop_after_s, now_s)
            if not silent:
                break
            voters.remove(silent)
        return tuple(sorted(voters))

    def _longest_silent(
        self,
        voters: list[str],
        members: dict[str, MemberRecord],
        silence_s: float,
        now_s: float,
    ) -> str:
        """Return the longest-silent voter, or ``""`` if its silence is below ``silence_s``."""
        silences = [
            (self._silence_s(members[address].name, now_s), address)
            for address in voters
            if address in members
        ]
        longest = max(silences, default=(0.0, ""))
        return longest[1] if longest[0] >= silence_s else ""

    def silence_s(self, name: str, now_s: float) -> float | None:
        """Return the seconds since the last contact with a machine or the start of a runner.

        None if the name is not known.
        """
        return self._silence_s(name, now_s) if name in self._contact_s else None

    def _silence_s(self, name: str, now_s: float) -> float:
        return now_s - self._contact_s.get(name, now_s)

    def _update_known(self, view: FleetView, now_s: float) -> None:
        """Start the silence timer of new runners and machines; drop timers of removed ones."""
        known = {item.start for item in view.runners} | {item.name for item in view.members}
        for name in known:
            self._contact_s.setdefault(name, now_s)
        for name in [name for name in self._contact_s if name not in known]:
            del self._contact_s[name]

    def _silent_runners(self, view: FleetView, now_s: float) -> tuple[str, ...]:
        return tuple(
            item.start
            for item in view.runners
            if item.state is not RunnerState.SILENT
            and self._silence_s(item.start, now_s) >= self._limits.runner_silence_s
        )

    def _plan_jobs_group(self, view: FleetView, now_s: float) -> list[RegistryCommand]:
        stores = [item for item in view.members if item.role is MemberRole.STORE]
        names = frozenset(item.name for item in stores)
        if names != self._store_names:
            self._store_names = names
            self._stores_changed_s = now_s
        group = view.group(JOBS_GROUP)
        if group is None:
            return self._plan_founding(stores, now_s)
        voters = self._plan_move(group.voters, stores, now_s)
        return [PutGroup(JOBS_GROUP, voters)] if voters != group.voters else []

    def _plan_founding(self, stores: list[MemberRecord], now_s: float) -> list[RegistryCommand]:
        has_enough = len(stores) >= self._limits.voters
        has_settled = now_s - self._stores_changed_s >= self._limits.settle_s
        is_overdue = now_s - self._started_s >= self._limits.settle_most_s
        if not stores or not (is_overdue or (has_enough and has_settled)):
            return []
        chosen: list[MemberRecord] = []
        for _ in range(min(self._limits.voters, len(stores))):
            chosen.append(_best_spread(chosen, [item for item in stores if item not in chosen]))
        return [PutGroup(JOBS_GROUP, tuple(sorted(item.address for item in chosen)))]

    def _plan_move(
        self, voters: tuple[str, ...], stores: list[MemberRecord], now_s: float
    ) -> tuple[str, ...]:
        """Return the voters after at most one move away from a silent or retiring machine."""
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
        # The longest-silent voter goes first: a shorter silence may be a momentary gap.
        for address in sorted(voters, key=lambda item: -self._voter_silence_s(item, stores, now_s)):
            member = by_address.get(address)
            must_move = member is None or member.retiring
            silent = member is None or (
                self._silence_s(member.name, now_s) >= self._limits.replace_after_s
            )
            if not (must_move or silent) or not spares:
                continue
            kept.remove(address)
            # One move at a time: the next is planned after this one is in force.
            chosen = _best_spread([by_address[a] for a in kept if a in by_address], spares)
            return tuple(sorted([*kept, chosen.address]))
        return voters

    def _voter_silence_s(self, address: str, stores: list[MemberRecord], now_s: float) -> float:
        """Return the silence of a voter in seconds; infinite if its machine was removed."""
        names = [item.name for item in stores if item.address == address]
        return self._silence_s(names[0], now_s) if names else float("inf")

    def _drop_silent_members(
        self, view: FleetView, control_voters: tuple[str, ...], now_s: float
    ) -> list[RegistryCommand]:
        """Return removals of machines that are silent for ``drop_after_s`` and hold no voter."""
        group = view.group(JOBS_GROUP)
        held = set(control_voters) | set(group.voters if group is not None else ())
        return [
            DropMember(item.name)
            for item in view.members
            if item.address not in held
            and self._silence_s(item.name, now_s) >= self._limits.drop_after_s
        ]


def _best_spread(chosen: list[MemberRecord], candidates: list[MemberRecord]) -> MemberRecord:
    """Return the candidate whose zone has the fewest machines among those chosen."""
    zones = [item.zone for item in chosen]
    return min(candidates, key=lambda item: (zones.count(item.zone), item.name))
