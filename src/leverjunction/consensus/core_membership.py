"""Membership changes, one voter at a time, driven by the leader (Ongaro, chapter 4).

The configuration names target addresses. The leader adds the replica that lives at each as a
learner, promotes it once it holds every committed entry, and only then drops the voter that it
replaces. A voter whose disk was lost is replaced in just this way: the replica at its address
answers with another id.
"""

from __future__ import annotations

from random import Random

from leverjunction.consensus.core_replication import ReplicationCore
from leverjunction.consensus.events import Appended, ChangeTarget, Refused
from leverjunction.consensus.log_view import encode_configuration
from leverjunction.consensus.messages import Header, IdentityQuery, IdentityReply, TimeoutNow
from leverjunction.consensus.progress import Progress, ProgressState
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    EntryKind,
    GroupConfig,
    LogPosition,
    Member,
    Role,
)


class MembershipCore(ReplicationCore):
    """Membership as the leader sees it."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.live_ids: dict[str, str] = {}
        self.transfer_deadline_s = 0.0
        self.transfer_sent = False

    def _lead(self) -> None:
        self.live_ids = {}
        self.transfer_deadline_s = 0.0
        super()._lead()

    def _on_identity_reply(self, message: IdentityReply) -> None:
        """Learn which replica lives at an address."""
        if message.header.founding_id in ("", self.founding_id):
            self._repaired_answered(message.header)
        if self.role is not Role.LEADER:
            self._identity_heard_by_other(message)
            return
        header = message.header
        if header.founding_id not in ("", self.founding_id):
            return
        self.live_ids[header.from_address] = header.from_id
        progress = self.progress.get(header.from_id)
        if progress is not None and header.founding_id == "":
            self._member_is_blank(header, progress)
        self._drive_membership()

    def _member_is_blank(self, header: Header, progress: Progress) -> None:
        """A member has no data yet: it needs the founding record or a snapshot."""
        progress.heard_s = self._now_s
        # One that has matched anything is not blank any more: the message is an old one.
        if progress.match_index == 0 and progress.state is not ProgressState.SNAPSHOT:
            progress.blank = True
            self._offer_founding(header.from_address, header.from_id)

    def _identity_heard_by_other(self, message: IdentityReply) -> None:
        if self.blank:
            self._on_founding_answer(message)
        elif message.header.founding_id == "":
            self._offer_founding(message.header.from_address, message.header.from_id)

    def _ask_missing(self) -> None:
        """Ask target addresses that hold no member yet which replica lives there."""
        self._ask_repaired()
        held = {member.address for member in self.configuration.members}
        for address in self.configuration.target:
            if address not in held:
                self._send(address, IdentityQuery(header=self.header(""), nonce=0))

    def _may_change(self) -> bool:
        """Return whether the last change is committed, and an entry of this term too."""
        return (
            self.role is Role.LEADER
            and self.knows_commits()
            and self.log.configuration_index <= self.commit_index
        )

    def _drive_membership(self) -> None:
        """Make the next single change towards the target, if one is due."""
        if not self._may_change():
            return
        change = (
            self._drop_replaced()
            or self._promote()
            or self._drop_untargeted()
            or self._drop_dead_learner()
            or self._add_learner()
        )
        if change is not None:
            self._append_configuration(change, 0)

    def _append_configuration(self, configuration: Configuration, wall_ms: int) -> LogPosition:
        payload = encode_configuration(configuration)
        return self._append_own(EntryKind.CONFIGURATION, payload, wall_ms)

    def _with_members(self, members: list[Member]) -> Configuration:
        return Configuration(members=tuple(sorted(members)), target=self.configuration.target)

    def _without(self, gone: Member) -> Configuration:
        return self._with_members([item for item in self.configuration.members if item != gone])

    def _contact_of(self, member: Member) -> float:
        if member.replica_id == self.replica_id:
            return self._now_s
        return self.progress[member.replica_id].contact_s

    def _drop_replaced(self) -> Configuration | None:
        """Drop the lost one of two voters at one address, when its successor is heard."""
        voters = [member for member in self.configuration.members if member.voter]
        by_address: dict[str, list[Member]] = {}
        for member in voters:
            by_address.setdefault(member.address, []).append(member)
        for same in by_address.values():
            silent = min(same, key=self._contact_of)
            # Equal contacts tell nothing yet: a new leader has heard neither of them.
            if any(self._contact_of(member) > self._contact_of(silent) for member in same):
                return self._without(silent)
        return None

    def _caught_up(self, member: Member) -> bool:
        """Return whether a learner holds every committed entry."""
        progress = self.progress.get(member.replica_id)
        if progress is None or progress.state is not ProgressState.REPLICATE:
            return False
        alive = self._now_s - progress.contact_s <= self.lease_s
        return alive and progress.match_index >= self.commit_index

    def _promote(self) -> Configuration | None:
        for member in self.configuration.members:
            if not member.voter and self._caught_up(member):
                promoted = Member(replica_id=member.replica_id, address=member.address)
                others = [item for item in self.configuration.members if item != member]
                return self._with_members([*others, promoted])
        return None

    def _drop_untargeted(self) -> Configuration | None:
        """Drop a voter whose address is no longer wanted, once all wanted ones are voters."""
        target = set(self.configuration.target)
        voters = [member for member in self.configuration.members if member.voter]
        if not target <= {member.address for member in voters}:
            return None
        unwanted = [member for member in voters if member.address not in target]
        unwanted.sort(key=lambda member: member.replica_id == self.replica_id)
        return self._without(unwanted[0]) if unwanted else None

    def _drop_dead_learner(self) -> Configuration | None:
        """Drop a learner whose address is unwanted or now holds another replica."""
        for member in self.configuration.members:
            if member.voter:
                continue
            live_id = self.live_ids.get(member.address, member.replica_id)
            if live_id != member.replica_id or member.address not in self.configuration.target:
                return self._without(member)
        return None

    def _add_learner(self) -> Configuration | None:
        for address in self.configuration.target:
            live_id = self.live_ids.get(address)
            if live_id is None or self.configuration.find(live_id) is not None:
                continue
            if self._has_live_voter(address):
                continue
            learner = Member(replica_id=live_id, address=address, voter=False)
            return self._with_members([*self.configuration.members, learner])
        return None

    def _has_live_voter(self, address: str) -> bool:
        """Return whether a voter at the address answers; then another id there is old news."""
        return any(
            self._now_s - self._contact_of(member) <= self.lease_s
            for member in self.configuration.members
            if member.voter and member.address == address
        )

    def _change_target(self, event: ChangeTarget) -> None:
        if not self._may_change():
            self._emit(Refused(request_id=event.request_id, leader_address=self.leader_address))
            return
        changed = Configuration(
            members=self.configuration.members, target=tuple(sorted(set(event.addresses)))
        )
        position = self._append_configuration(changed, event.wall_ms)
        self._emit(Appended(request_id=event.request_id, position=position))

    def transferring(self) -> bool:
        """Return whether this leader is handing over, so takes no proposals for a while."""
        return self.role is Role.LEADER and self._now_s < self.transfer_deadline_s

    def _start_transfer(self) -> None:
        if self.role is Role.LEADER:
            self.transfer_deadline_s = self._now_s + self.timeout_max_s
            self.transfer_sent = False

    def _transfer(self) -> None:
        """Ask the most up-to-date other voter to campaign, once it holds the whole log."""
        if self.transfer_sent:
            return
        voters = self.configuration.voter_ids()
        candidates = [
            (progress.match_index, replica_id)
            for replica_id, progress in self.progress.items()
            if replica_id in voters and self._now_s - progress.contact_s <= self.lease_s
        ]
        if not candidates or max(candidates)[0] < self.log.last_index:
            return
        member = self.configuration.find(max(candidates)[1])
        if member is not None:
            self.transfer_sent = True
            self._send(member.address, TimeoutNow(header=self.header(member.replica_id)))
