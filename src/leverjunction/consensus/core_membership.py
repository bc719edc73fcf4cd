"""Membership changes, one voter at a time, driven by the leader (Ongaro, chapter 4).

The configuration names target addresses. The leader adds the replica that runs at each of them as
a learner, promotes it once it holds every committed entry, and only then removes the voter that it
replaces. A voter that lost its disk is replaced in the same way, since the replica at its address
replies with another id.
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
    """Membership changes and leadership transfer, on the side of the leader."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.live_ids: dict[str, str] = {}
        self.transfer_deadline_s = 0.0
        self.transfer_sent = False

    def _become_leader(self) -> None:
        self.live_ids = {}
        self.transfer_deadline_s = 0.0
        super()._become_leader()

    def _on_identity_reply(self, message: IdentityReply) -> None:
        """Record which replica runs at an address, and act on it."""
        if message.header.founding_id in ("", self.founding_id):
            self._on_repaired_identity(message.header)
        if self.role is not Role.LEADER:
            self._on_identity_reply_as_non_leader(message)
            return
        header = message.header
        if header.founding_id not in ("", self.founding_id):
            return
        self.live_ids[header.from_address] = header.from_id
        progress = self.progress.get(header.from_id)
        if progress is not None and header.founding_id == "":
            self._on_blank_member(header, progress)
        self._drive_membership()

    def _on_blank_member(self, header: Header, progress: Progress) -> None:
        """Handle the reply of a blank member, which needs the founding record or a snapshot."""
        progress.last_received_s = self._now_s
        # A member that has matched an entry is no longer blank, so the message is outdated.
        if progress.match_index == 0 and progress.state is not ProgressState.SNAPSHOT:
            progress.blank = True
            self._offer_founding(header.from_address, header.from_id)

    def _on_identity_reply_as_non_leader(self, message: IdentityReply) -> None:
        if self.blank:
            self._on_founding_identity(message)
        elif message.header.founding_id == "":
            self._offer_founding(message.header.from_address, message.header.from_id)

    def _query_missing_targets(self) -> None:
        """Query the identity of the replicas at target addresses that have no member yet."""
        self._query_repaired()
        held = {member.address for member in self.configuration.members}
        for address in self.configuration.target:
            if address not in held:
                self._send(address, IdentityQuery(header=self.header(""), nonce=0))

    def _may_change(self) -> bool:
        """Return whether this leader may change the configuration.

        The last configuration and an entry of the leader's term must be committed first.
        """
        return (
            self.role is Role.LEADER
            and self.has_committed_in_term()
            and self.log.configuration_index <= self.commit_index
        )

    def _drive_membership(self) -> None:
        """Append the next single change towards the target, if one is due."""
        if not self._may_change():
            return
        change = (
            self._remove_replaced_voter()
            or self._promote()
            or self._remove_untargeted_voter()
            or self._remove_dead_learner()
            or self._add_learner()
        )
        if change is not None:
            self._append_configuration(change, 0)

    def _append_configuration(self, configuration: Configuration, wall_ms: int) -> LogPosition:
        payload = encode_configuration(configuration)
        return self._append_own(EntryKind.CONFIGURATION, payload, wall_ms)

    def _with_members(self, members: list[Member]) -> Configuration:
        return Configuration(members=tuple(sorted(members)), target=self.configuration.target)

    def _without(self, removed: Member) -> Configuration:
        return self._with_members([item for item in self.configuration.members if item != removed])

    def _contact_s(self, member: Member) -> float:
        if member.replica_id == self.replica_id:
            return self._now_s
        return self.progress[member.replica_id].contact_s

    def _remove_replaced_voter(self) -> Configuration | None:
        """Remove a lost voter once its successor at the same address has replied."""
        voters = [member for member in self.configuration.members if member.voter]
        by_address: dict[str, list[Member]] = {}
        for member in voters:
            by_address.setdefault(member.address, []).append(member)
        for same_address in by_address.values():
            silent = min(same_address, key=self._contact_s)
            # Equal contact times decide nothing: a new leader has heard from neither.
            if any(self._contact_s(member) > self._contact_s(silent) for member in same_address):
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

    def _remove_untargeted_voter(self) -> Configuration | None:
        """Remove a voter that is not in the target, once every target address has a voter."""
        target = set(self.configuration.target)
        voters = [member for member in self.configuration.members if member.voter]
        if not target <= {member.address for member in voters}:
            return None
        unwanted = [member for member in voters if member.address not in target]
        unwanted.sort(key=lambda member: member.replica_id == self.replica_id)
        return self._without(unwanted[0]) if unwanted else None

    def _remove_dead_learner(self) -> Configuration | None:
        """Remove a learner whose address is not in the target or now holds another replica."""
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
        """Return whether a voter at the address replies; another id seen there is then outdated."""
        return any(
            self._now_s - self._contact_s(member) <= self.lease_s
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
        """Return whether a leadership transfer is in progress; proposals are refused meanwhile."""
        return self.role is Role.LEADER and self._now_s < self.transfer_deadline_s

    def _start_transfer(self) -> None:
        if self.role is Role.LEADER:
            self.transfer_deadline_s = self._now_s + self.timeout_max_s
            self.transfer_sent = False

    def _transfer(self) -> None:
        """Ask the most up-to-date other voter to campaign, once it holds the entire log."""
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
