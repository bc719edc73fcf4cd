"""Values shared by the pure core, the store and the runtime of a consensus group."""

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


class Role(StrEnum):
    """What a replica is to its group at the moment."""

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class EntryKind(IntEnum):
    """What a log entry carries."""

    NO_OP = 0
    COMMAND = 1
    CONFIGURATION = 2


class Member(msgspec.Struct, frozen=True, order=True):
    """One replica in a configuration.

    Attributes:
        replica_id: Durable random id of the replica's data; votes and matches are counted by it.
        address: RPC address at which it is reached.
        voter: False for a learner, which receives entries but counts in no quorum.
    """

    replica_id: str
    address: str
    voter: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Membership of a group, in force on a replica from the moment it is in its log.

    Attributes:
        members: Voters and learners, at most one change of a voter apart from its predecessor.
        target: Addresses that shall each hold one voter; the leader works towards it one change
            at a time, which is also how a voter that lost its disk is replaced.
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
        """Return how many voters make a majority."""
        return len(self.voter_ids()) // 2 + 1


class LogEntry(msgspec.Struct, frozen=True):
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: What ``payload`` is.
        wall_ms: The leader's wall clock when it appended the entry, in milliseconds.
        payload: Command of the state machine, or an encoded ``Configuration``.
    """

    index: int
    term: int
    kind: EntryKind
    wall_ms: int
    payload: bytes


class HardState(msgspec.Struct, frozen=True):
    """Election state that is durable before any message of the same step leaves.

    Attributes:
        term: Highest term seen.
        voted_for: Replica id that got this replica's vote in ``term``, empty when none did.
    """

    term: int = 0
    voted_for: str = ""


class LogPosition(msgspec.Struct, frozen=True, order=True):
    """A place in the log; the order is Raft's "more up to date" (term first, then index)."""

    term: int = 0
    index: int = 0


class DurableState(msgspec.Struct, frozen=True, kw_only=True):
    """All that a replica's file holds when it is opened, except payloads and tables.

    Attributes:
        replica_id: Durable random id, created with the file.
        founding_id: Random id given to the group when it was founded; empty on a blank replica.
        hard_state: Election state.
        base: Position up to which the log was compacted into the tables.
        base_configuration: Configuration in force at ``base``.
        term_starts: First index of each run of entries with one term, in order, after ``base``.
        last_index: Index of the last entry (``base.index`` when there is none).
        entry_bytes: Payload size of each entry after ``base``, in order.
        configurations: Configuration entries after ``base``, by index.
        applied_index: Highest index applied to the tables.
        barred_from_founding: True when this data replaces a corrupt file: "blank" then does not
            mean that the group is new, so this replica takes no part in founding one.
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
    """Settings of one replica of one group.

    Attributes:
        group: Name of the group.
        address: RPC address of this replica.
        first_members: RPC addresses of the members that found the group, the same everywhere.
            The lowest one founds it, once every one of them has answered that it is blank.
        witnesses: RPC addresses of other processes that may hold a replica of the group, such as
            its voters before a change of the configuration. They are asked before a founding: one
            that answers with a founding of the group forbids another one.
        data_path: The replica's SQLite file; ``:memory:`` in the simulator.
        heartbeat_interval_s: Longest pause between two messages of a leader to a peer.
        election_timeout_min_s: Shortest silence after which a follower campaigns; a leader
            that hears no quorum for this long steps down (its lease).
        election_timeout_max_s: Longest silence after which a follower campaigns.
        max_batch_bytes: Payload bytes in one append message.
        max_batch_entries: Entries in one append message.
        max_inflight_batches: Append messages to a peer that may be unanswered.
        log_kept_entries: Applied entries kept in the log for peers that lag a little.
        log_kept_bytes: Payload bytes of applied entries kept at most.
        snapshot_chunk_bytes: Payload bytes in one snapshot chunk.
        rejoin_when_corrupt: Move a corrupt file aside and rejoin blank, instead of refusing to
            start.
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
