"""Contract between the consensus groups and the state machines and callers that use them."""

from __future__ import annotations

import sqlite3
from typing import Protocol

import msgspec

from leverjunction.errors import Failure


class ApplyContext(msgspec.Struct, frozen=True, kw_only=True):
    """What a state machine may know about the entry that it applies.

    Attributes:
        index: Log index of the entry.
        term: Term of the leader that proposed it.
        wall_ms: The leader's wall clock when it proposed, in milliseconds; the same everywhere.
    """

    index: int
    term: int
    wall_ms: int


class StateMachine(Protocol):
    """A deterministic state machine that keeps its state in SQLite tables.

    The group replica owns the connection and the transaction: the log entry's application and the
    applied index are committed together. ``apply`` neither commits nor rolls back, reads no clock
    and draws no random number; it calls nobody, since whatever is raised meanwhile undoes the
    command on this replica alone (see ``notice``). Simulator and processes run the same code; the
    simulator's connection is an in-memory database.
    """

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables if they are missing (table names start with ``sm_``)."""
        ...

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply (``codec.encode_reply``)."""
        ...

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer a read and return its encoded reply. Changes nothing."""
        ...


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica knows of its group.

    Attributes:
        group: Name of the group.
        replica_id: Durable random id of this replica.
        role: ``leader``, ``follower``, ``candidate``, ``learner`` or ``blank``.
        term: Current term.
        leader_address: RPC address of the leader, empty when none is known.
        commit_index: Highest index known to be committed.
        applied_index: Highest index applied here.
        voters: RPC addresses of the voters.
        learners: RPC addresses of the learners.
        leader_contact_age_s: Seconds since a leader's message showed that this replica holds all
            that is committed, or, on a leader, since a quorum was heard. A leader that is heard
            during a repair does not count: what is applied here may be old, or nothing at all.
        majority_lost: True when so many voters lost their disks that no leader can be elected.
    """

    group: str
    replica_id: str
    role: str
    term: int
    leader_address: str
    commit_index: int
    applied_index: int
    voters: list[str]
    learners: list[str]
    leader_contact_age_s: float
    majority_lost: bool = False


class ReplicatedGroup(Protocol):
    """One group as its local replica offers it. Safe to call from any thread."""

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Replicate a command and return its reply once it is applied here.

        Returns:
            The state machine's encoded reply; or NOT_LEADER with the leader's address in
            ``detail`` (not run); or NO_QUORUM / TIMEOUT with execution UNKNOWN when the entry was
            appended and its fate is not known.
        """
        ...

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Answer a linearizable read on the leader, else return NOT_LEADER or NO_QUORUM."""
        ...

    def query_local(self, query: bytes) -> bytes:
        """Answer from this replica's applied state, which may lag."""
        ...

    def status(self) -> GroupStatus:
        """Return what this replica knows of its group."""
        ...
