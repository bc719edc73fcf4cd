"""Types and defaults shared by the pure core, the store and the runtime of a consensus group."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.6
ELECTION_TIMEOUT_MAX_S = 1.2
MAX_BATCH_BYTES = 512 * 1024
MAX_BATCH_ENTRIES = 2_000
MAX_INFLIGHT_BATCHES = 8
LOG_KEPT_ENTRIES = 10_000
LOG_KEPT_BYTES = 64 * 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 1024 * 1024
SNAPSHOT_WINDOW_CHUNKS = 8
"""Chunks of a transfer that may be under way; a receiver keeps so many in memory behind a gap."""


class Role(StrEnum):
    """Current role of a replica in its group.

    Values: ``BLANK`` is a replica that belongs to no founding of the group and does not vote,
    ``LEARNER`` a member that receives entries but does not vote. The others are Raft's roles.
    """

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(IntEnum):
    """Kind of a log entry."""

    NO_OP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Member(msgspec.Struct, frozen=True, order=True):
    """One replica in a configuration.

    Attributes:
        replica_id: Durable random id of the replica's data, by which votes and matched entries
            are counted.
        address: RPC address of the replica.
        voter: False for a learner, which receives entries but does not count towards a quorum.
    """

    replica_id: str
    address: str
    voter: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Membership of a group, in force on a replica as soon as it is in the replica's log.

    Attributes:
        members: Voters and learners; at most one voter differs from the previous configuration.
        target: Addresses that shall each hold one voter. The leader changes the members towards
            the target one at a time, which also replaces a voter that lost its disk.
    """

    members: tuple[Member, ...] = ()
    target: tuple[str, ...] = ()

    def voter_ids(self) -> frozenset[str]:
        """Return the ids of the voters."""
        return frozenset(member.replica_id for member in self.members if member.voter)

    def find(self, replica_id: str) -> Member | None:
        """Return the member with this id, or None."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def quorum(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.voter_ids()) // 2 + 1


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: Kind of ``payload``.
        wall_ms: Leader's wall-clock time when it appended the entry, in milliseconds.
        payload: Command of the state machine, or an encoded ``Configuration``.
    """

    index: int
    term: int
    kind: EntryKind
    wall_ms: int
    payload: bytes


class HardState(msgspec.Struct, frozen=True):
    """Election state, which is persisted before any message of the same step is sent.

    Attributes:
        term: Highest term seen.
        voted_for: Replica id that received this replica's vote in ``term``; empty when none did.
    """

    term: int = 0
    voted_for: str = ""


class LogPosition(msgspec.Struct, frozen=True, order=True):
    """Position in the log, ordered by term, then index: Raft's order of up-to-date logs."""

    term: int = 0
    index: int = 0


class DurableState(msgspec.Struct, frozen=True, kw_only=True):
    """Durable state of a replica, as loaded from its file, without payloads and tables.

    Attributes:
        replica_id: Durable random id, created with the file.
        founding_id: Random id of the group's founding (bootstrap); empty on a blank replica.
        hard_state: Term and vote.
        base: Position up to which the log was compacted into the tables.
        base_configuration: Configuration in force at ``base``.
        term_starts: First position of each run of entries with equal terms after ``base``, in
            order.
        last_index: Index of the last entry; ``base.index`` when the log is empty.
        entry_bytes: Payload size of each entry after ``base``, in order.
        configurations: Index and configuration of each configuration entry after ``base``.
        applied_index: Highest index applied to the tables.
        barred_from_founding: True when this data replaces a corrupt file. The replica is then
            blank although the group may not be new, so it takes no part in a founding.
    """

    replica_id: str
    founding_id: str = ""
    hard_state: HardState = HardState()
    base: LogPosition = LogPosition()
    base_configuration: Configuration = Configuration()
    term_starts: tuple[LogPosition, ...] = ()
    last_index: int = 0
    entry_bytes: tuple[int, ...] = ()
    configurations: tuple[tuple[int, Configuration], ...] = ()
    applied_index: int = 0
    barred_from_founding: bool = False


class GroupConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one replica of one group; durations are in seconds.

    Attributes:
        group: Name of the group.
        address: RPC address of this replica.
        first_members: RPC addresses of the members that found the group, the same on all of them.
            The member with the lowest address founds it, once all have replied that they are
            blank.
        witnesses: RPC addresses of other processes that may hold a replica of the group, such as
            its voters before a change of the configuration. They are queried before a founding. A
            witness that replies with a founding of the group prevents a second one.
        data_path: Path of the replica's SQLite file; ``:memory:`` in the simulator.
        heartbeat_interval_s: Longest interval between two messages of a leader to a peer.
        election_timeout_min_s: Shortest time without contact to a leader after which a follower
            campaigns. A leader without replies of a quorum steps down within it (its lease).
        election_timeout_max_s: Longest time without contact to a leader after which a follower
            campaigns.
        max_batch_bytes: Limit of the payload bytes in one append message.
        max_batch_entries: Limit of the entries in one append message.
        max_inflight_batches: Limit of unacknowledged append messages to a peer.
        log_kept_entries: Limit of the applied entries retained for peers that lag slightly.
        log_kept_bytes: Limit of the payload bytes of the applied entries retained.
        snapshot_chunk_bytes: Payload bytes in one snapshot chunk.
        rejoin_when_corrupt: Move a corrupt file aside and rejoin as a blank replica, instead of
            refusing to start.
    """

    group: str
    address: str
    first_members: tuple[str, ...]
    witnesses: tuple[str, ...] = ()
    data_path: str = ":memory:"
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    election_timeout_min_s: float = ELECTION_TIMEOUT_MIN_S
    election_timeout_max_s: float = ELECTION_TIMEOUT_MAX_S
    max_batch_bytes: int = MAX_BATCH_BYTES
    max_batch_entries: int = MAX_BATCH_ENTRIES
    max_inflight_batches: int = MAX_INFLIGHT_BATCHES
    log_kept_entries: int = LOG_KEPT_ENTRIES
    log_kept_bytes: int = LOG_KEPT_BYTES
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    rejoin_when_corrupt: bool = False
