"""Replays the steps of the election model on real cores, for the model's conformance test.

Votes, appends, snapshots and membership changes go through ``RaftCore.handle``. The model has no
time, so the driver grants pre-votes, marks vote requests as leadership transfers (which bypasses
leader stickiness) and gives every core a lease that does not expire.
"""

from __future__ import annotations

import math
from random import Random

import msgspec
from specs.election import MACHINES, Entry, Group, Machine, ReplicaId

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import (
    AppendEntries,
    Applied,
    Commit,
    Effect,
    Event,
    Flush,
    Persisted,
    Propose,
    Received,
    Send,
    SendEntries,
    SnapshotDelivered,
    SnapshotInstalled,
    StartSnapshot,
    StoreChunk,
    Tick,
    TruncateLog,
)
from leverjunction.consensus.log_view import decode_configuration
from leverjunction.consensus.messages import (
    Header,
    IdentityReply,
    Message,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    EntryKind,
    GroupConfig,
    LogEntry,
    LogPosition,
    Member,
    Role,
)

LEASE_S = 1e6
HEARTBEAT_S = 0.1
MAX_EXCHANGES = 20
FOUNDING_ID = "f"
ADDRESSES = tuple(f"m{number}" for number in MACHINES)


class SteppedCore(RaftCore):
    """A real core that changes its membership only when the model does."""

    may_drive = False

    def _drive_membership(self) -> None:
        if self.may_drive:
            self.may_drive = False
            super()._drive_membership()


def replica_id(identity: ReplicaId) -> str:
    """Return the real replica id for a replica of the model."""
    return f"m{identity[0]}-{identity[1]}"


def identity_of(real_id: str) -> ReplicaId:
    """Return the model's replica for a real replica id."""
    number, _, life = real_id[1:].partition("-")
    return int(number), int(life)


class Node:
    """A machine with a real core, which also stores the payloads that the core does not hold."""

    def __init__(self, number: int, life: int) -> None:
        founded = life == 1
        members = tuple(Member(replica_id((other, 1)), ADDRESSES[other]) for other in MACHINES)
        self.number = number
        self.now_s = 0.0
        self.entries: list[LogEntry] = []
        self.changes = 0
        self.votes_asked: dict[str, VoteRequest] = {}
        config = GroupConfig(
            group="root",
            address=ADDRESSES[number],
            first_members=ADDRESSES,
            heartbeat_interval_s=HEARTBEAT_S,
            election_timeout_min_s=LEASE_S,
            election_timeout_max_s=LEASE_S + 1,
        )
        durable = DurableState(
            replica_id=replica_id((number, life)),
            founding_id=FOUNDING_ID if founded else "",
            base_configuration=Configuration(members, ADDRESSES) if founded else Configuration(),
        )
        self.core = SteppedCore(config, durable, Random(number), self.now_s)

    def handle(self, event: Event) -> list[Effect]:
        """Handle an event, sync and apply at once, and return all effects."""
        effects = list(self.core.handle(event, self.now_s))
        for effect in effects:
            if isinstance(effect, TruncateLog):
                self.entries = [item for item in self.entries if item.index < effect.from_index]
            elif isinstance(effect, AppendEntries):
                self.entries.extend(effect.entries)
                kinds = [entry.kind for entry in effect.entries]
                self.changes += kinds.count(EntryKind.CONFIGURATION)
                effects += self.handle(Persisted(effect.entries[-1].index))
            elif isinstance(effect, Commit):
                effects += self.handle(Applied(effect.index))
        return effects

    def handle_alone(self, event: Event) -> None:
        """Handle an event but drop its messages; a snapshot transfer that it starts fails."""
        for effect in self.handle(event):
            if isinstance(effect, StartSnapshot):
                self.handle_alone(SnapshotDelivered(effect.replica_id, None))

    def messages(self, effects: list[Effect]) -> list[tuple[str, Message]]:
        """Return the messages among the effects with their addresses, with entries filled in."""
        found: list[tuple[str, Message]] = []
        for effect in effects:
            if isinstance(effect, Send):
                found.append((effect.address, effect.message))
            elif isinstance(effect, SendEntries):
                entries = tuple(
                    item
                    for item in self.entries
                    if effect.first_index <= item.index <= effect.last_index
                )
                found.append(
                    (effect.address, msgspec.structs.replace(effect.request, entries=entries))
                )
        return found

    def as_model(self) -> Machine:
        """Return this machine's state in the model, without the votes and acks it collects."""
        roles = {Role.BLANK: "blank", Role.CANDIDATE: "candidate", Role.LEADER: "leader"}
        voted_for = self.core.hard_state.voted_for
        return Machine(
            life=identity_of(self.core.replica_id)[1],
            role=roles.get(self.core.role, "follower"),
            term=self.core.term,
            vote=identity_of(voted_for) if voted_for else None,
            log=tuple(_model_entry(entry) for entry in self.entries),
        )


def _model_entry(entry: LogEntry) -> Entry:
    if entry.kind is not EntryKind.CONFIGURATION:
        return Entry(entry.term)
    members = decode_configuration(entry.payload).members
    ids = [(identity_of(member.replica_id), member.voter) for member in members]
    return Entry(
        entry.term,
        tuple(sorted(found for found, voter in ids if voter)),
        tuple(sorted(found for found, voter in ids if not voter)),
    )


class RealGroup:
    """Three real cores, driven by the labels of the model's steps."""

    def __init__(self) -> None:
        self.nodes = [Node(number, 1) for number in MACHINES]
        self.committed: tuple[Entry, ...] = ()

    def follow(self, label: str) -> None:
        """Take the step on the real cores that a label of the model names."""
        kind, *numbers = label.split()
        number, *rest = map(int, numbers)
        if kind == "campaign":
            self._campaign(self.nodes[number])
        elif kind == "vote":
            self._vote(self.nodes[number], self.nodes[rest[0]])
        elif kind == "append":
            self.nodes[number].handle_alone(Propose(request_id=0, payload=b"", wall_ms=0))
        elif kind == "replicate":
            self._replicate(self.nodes[number], self.nodes[rest[0]])
        elif kind == "lose":
            life = identity_of(self.nodes[number].core.replica_id)[1]
            self.nodes[number] = Node(number, life + 1)
        else:
            self.change(number)
        self._note_commits()

    def compare(self, group: Group) -> None:
        """Check that the state of the real machines equals the model's."""
        expected = [machine._replace(votes=(), acked=()) for machine in group.machines]
        assert [node.as_model() for node in self.nodes] == expected
        assert self.committed == group.committed

    def change(self, number: int) -> int:
        """Have a leader make its next membership change; return the number of changes made."""
        leader = self.nodes[number]
        before = leader.changes
        alive = {node.core.replica_id for node in self.nodes}
        for known_id, progress in leader.core.progress.items():
            if known_id not in alive:
                progress.contact_s = -math.inf
        for node in self.nodes:
            if node is not leader:
                header = node.core.header(leader.core.replica_id)
                leader.handle_alone(Received(IdentityReply(header=header, nonce=0)))
        leader.core.may_drive = True
        leader.handle_alone(Flush())
        leader.core.may_drive = False
        return leader.changes - before

    def knows_committed(self, number: int) -> bool:
        """Return whether a leader's commit index covers every committed entry."""
        return self.nodes[number].core.commit_index >= len(self.committed)

    def blank_votes(self) -> list[Message]:
        """Send all known vote requests to the blank replicas; return the votes they granted."""
        requests = [request for node in self.nodes for request in node.votes_asked.values()]
        given: list[Message] = []
        for node in self.nodes:
            if not node.core.blank:
                continue
            for request in requests:
                for to_id in (request.header.to_id, node.core.replica_id):
                    header = msgspec.structs.replace(request.header, to_id=to_id)
                    asked = msgspec.structs.replace(request, header=header, transfer=True)
                    sent = node.messages(node.handle(Received(asked)))
                    given += [message for _, message in sent if isinstance(message, VoteReply)]
        return given

    def _campaign(self, node: Node) -> None:
        node.now_s += 2 * LEASE_S
        term = node.core.term + 1
        effects = node.handle(Tick())
        for member in node.core.configuration.members:
            if member.voter and node.core.term < term:
                header = Header(
                    founding_id=FOUNDING_ID,
                    from_id=member.replica_id,
                    from_address=member.address,
                    to_id=node.core.replica_id,
                    term=term - 1,
                )
                granted = VoteReply(header=header, campaign_term=term, granted=True, pre=True)
                effects += node.handle(Received(granted))
        node.votes_asked = {
            message.header.to_id: msgspec.structs.replace(message, transfer=True)
            for _, message in node.messages(effects)
            if isinstance(message, VoteRequest) and not message.pre
        }

    def _vote(self, candidate: Node, voter: Node) -> None:
        request = candidate.votes_asked[voter.core.replica_id]
        for _, message in voter.messages(voter.handle(Received(request))):
            candidate.handle(Received(message))

    def _replicate(self, leader: Node, member: Node) -> None:
        """Exchange messages between the two until the member holds the leader's log."""
        for _ in range(MAX_EXCHANGES):
            leader.now_s += HEARTBEAT_S
            self._exchange(leader, member, leader.handle(Tick()))
            if member.entries == leader.entries and member.core.term == leader.core.term:
                break

    def _exchange(self, leader: Node, member: Node, effects: list[Effect]) -> None:
        to_member = self._for(member, leader, effects)
        while to_member:
            replies: list[Message] = []
            for message in to_member:
                replies += self._answers(leader, member, message)
            to_member = []
            for reply in replies:
                to_member += self._for(member, leader, leader.handle(Received(reply)))

    def _answers(self, leader: Node, member: Node, message: Message) -> list[Message]:
        effects = member.handle(Received(message))
        for effect in list(effects):
            if isinstance(effect, StoreChunk) and effect.chunk.final is not None:
                chunk = effect.chunk
                assert chunk.final is not None
                member.entries = leader.entries[: chunk.final.index]
                effects += member.handle(SnapshotInstalled(chunk.final, chunk.configuration, chunk))
        address = leader.core.config.address
        return [reply for to, reply in member.messages(effects) if to == address]

    def _for(self, member: Node, leader: Node, effects: list[Effect]) -> list[Message]:
        """Return the messages for one member; snapshot transfers are run to completion."""
        address = member.core.config.address
        found = [message for to, message in leader.messages(effects) if to == address]
        for effect in effects:
            if isinstance(effect, StartSnapshot):
                if effect.address == address:
                    replies = self._answers(leader, member, _snapshot(leader, effect))
                    for reply in replies:
                        found += self._for(member, leader, leader.handle(Received(reply)))
                matched = leader.core.applied_index if effect.address == address else None
                delivered = leader.handle(SnapshotDelivered(effect.replica_id, matched))
                found += self._for(member, leader, delivered)
        return found

    def _note_commits(self) -> None:
        for node in self.nodes:
            length = node.core.commit_index
            if length > len(self.committed):
                self.committed = node.as_model().log[:length]
            assert node.as_model().log[:length] == self.committed[:length]


def _snapshot(leader: Node, effect: StartSnapshot) -> SnapshotChunk:
    """Return the leader's applied state as one chunk."""
    core = leader.core
    term = core.log.term_at(core.applied_index)
    assert term is not None
    position = LogPosition(term=term, index=core.applied_index)
    return SnapshotChunk(
        header=core.header(effect.replica_id),
        stream_id="s",
        number=0,
        start=position,
        data=b"",
        final=position,
        configuration=core.log.configuration_at(position.index),
    )
