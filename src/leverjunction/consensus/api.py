"""Interfaces between the consensus groups and the state machines and callers that use them."""

from __future__ import annotations

import sqlite3
from typing import Protocol

import msgspec

from leverjunction.errors import Failure


class ApplyContext(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of the log entry that a state machine applies.

    Attributes:
        index: Log index of the entry.
        term: Term of the leader that appended the entry.
        wall_ms: Wall clock of the leader when the command was proposed, in milliseconds. It is
            part of the entry, so every replica sees the same value.
    """

    index: int
    term: int
    wall_ms: int


class StateMachine(Protocol):
    """A deterministic state machine that keeps its state in SQLite tables.

    The group replica owns the connection and the transaction, and commits the effect of an entry
    together with the applied index. ``apply`` must not commit or roll back, read a clock or draw
    random numbers. It must not call other components either: an exception raised by them would
    undo the command on this replica only (see ``notice``). The simulator runs the same code on an
    in-memory database.
    """

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create missing tables and indexes; table names start with ``sm_``."""
        ...

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply (``codec.encode_reply``)."""
        ...

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Run a read-only query and return its encoded reply."""
        ...


class GroupStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's view of its group.

    Attributes:
        group: Name of the group.
        replica_id: Random id of this replica, kept in its store.
        role: ``leader``, ``follower``, ``candidate``, ``learner`` or ``blank``.
        term: Current term.
        leader_address: RPC address of the leader, empty when none is known.
        commit_index: Highest index known to be committed.
        applied_index: Highest index applied on this replica.
        voters: RPC addresses of the voters.
        learners: RPC addresses of the learners.
        leader_contact_age_s: On a leader, seconds since a quorum of voters last responded. On any
            other replica, seconds since a leader's message last showed that this replica holds
            every committed entry. Messages received during a repair do not count, because the
            applied state may then be old or empty.
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
    """Access to a group through its local replica. Thread-safe."""

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Replicate a command and return its reply once it is applied on this replica.

        Args:
            command: Encoded command.
            timeout_s: Longest time to wait for the reply, in seconds.

        Returns:
            The state machine's encoded reply. Or a failure: NOT_LEADER with the leader's address
            in ``detail`` when the command was not run; NO_QUORUM or TIMEOUT with execution
            UNKNOWN when the entry was appended and may or may not be committed.
        """
        ...

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Run a linearizable query; only the leader answers it.

        Args:
            query: Encoded query.
            timeout_s: Longest time to wait for the reply, in seconds.

        Returns:
            The state machine's encoded reply, or a NOT_LEADER, NO_QUORUM or TIMEOUT failure.
        """
        ...

    def query_local(self, query: bytes) -> bytes:
        """Run a query on this replica's applied state, which may be stale."""
        ...

    def status(self) -> GroupStatus:
        """Return this replica's view of its group."""
        ...
