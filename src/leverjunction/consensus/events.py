"""Events that the pure core handles, and effects that it asks for.

Rules for whoever carries the effects out (the runtime's engine and the simulator alike):

1. Effects are carried out in the order given.
2. ``PersistFounding``, ``PersistHardState``, ``TruncateLog``, ``AppendEntries``, ``CompactLog`` and
   ``StoreChunk`` change the durable state. They may be gathered into one synced transaction.
3. A ``Send`` (or ``SendEntries``) leaves only after everything before it is synced, unless it has
   ``after_sync=False`` and no ``PersistHardState`` before it is still unsynced.
4. After a sync the core gets ``Persisted``; only then does it count its own log as held.
5. ``Commit`` lets entries be applied; proposals are answered after their entry is applied, and
   ``ReadReady`` reads are answered once its index is applied.
"""

from __future__ import annotations

import msgspec

from leverjunction.consensus.messages import (
    AppendRequest,
    Message,
    SnapshotChunk,
)
from leverjunction.consensus.types import Configuration, HardState, LogEntry, LogPosition


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; due at ``RaftCore.next_deadline_s()`` at the latest."""


class Received(msgspec.Struct, frozen=True):
    """A message has arrived."""

    message: Message


class Flush(msgspec.Struct, frozen=True):
    """A batch of events ends: replicate what it appended and start a round for its reads.

    Sent by the engine after each batch, before the sync, so that many proposals share a message.
    """


class Propose(msgspec.Struct, frozen=True):
    """A local caller proposes a command.

    Attributes:
        request_id: Names the proposal in ``Appended`` and ``Refused``.
        payload: Encoded command.
        wall_ms: Wall clock of this replica, in milliseconds.
    """

    request_id: int
    payload: bytes
    wall_ms: int


class Read(msgspec.Struct, frozen=True):
    """A local caller wants a linearizable read; answered by ``ReadReady`` or ``Refused``."""

    request_id: int


class Persisted(msgspec.Struct, frozen=True):
    """The log is synced up to and including ``last_index``."""

    last_index: int


class Applied(msgspec.Struct, frozen=True):
    """Entries up to ``index`` are applied to the tables."""

    index: int


class SnapshotInstalled(msgspec.Struct, frozen=True):
    """A received snapshot is in the tables and synced; the log starts after ``position``."""

    position: LogPosition
    configuration: Configuration
    chunk: SnapshotChunk


class SnapshotDelivered(msgspec.Struct, frozen=True):
    """The transfer to ``replica_id`` ended; it holds ``matched_index`` (None: it failed)."""

    replica_id: str
    matched_index: int | None


class ChangeTarget(msgspec.Struct, frozen=True):
    """An operator sets the addresses that shall hold the voters."""

    request_id: int
    addresses: tuple[str, ...]
    wall_ms: int


class TransferLeadership(msgspec.Struct, frozen=True):
    """Hand leadership to the most up-to-date voter, before a planned stop."""


class PeerDown(msgspec.Struct, frozen=True):
    """The process that served ``address`` in ``term`` has ended: its port refuses connections.

    Silence, or an address that cannot be reached, is no such proof.
    """

    address: str
    term: int


Event = (
    Tick
    | Flush
    | Received
    | Propose
    | Read
    | Persisted
    | Applied
    | SnapshotInstalled
    | SnapshotDelivered
    | ChangeTarget
    | TransferLeadership
    | PeerDown
)


class PersistFounding(msgspec.Struct, frozen=True):
    """Store the founding record: this replica is no longer blank."""

    founding_id: str
    configuration: Configuration


class PersistHardState(msgspec.Struct, frozen=True):
    """Store term and vote."""

    hard_state: HardState


class TruncateLog(msgspec.Struct, frozen=True):
    """Remove the entries from ``from_index`` on, which conflict with the leader's."""

    from_index: int


class AppendEntries(msgspec.Struct, frozen=True):
    """Store entries at the end of the log."""

    entries: tuple[LogEntry, ...]


class CompactLog(msgspec.Struct, frozen=True):
    """Remove the applied entries up to ``base``; record the base and its configuration."""

    base: LogPosition
    configuration: Configuration


class StoreChunk(msgspec.Struct, frozen=True):
    """Stage a snapshot chunk; install the snapshot after the final one."""

    chunk: SnapshotChunk


class Send(msgspec.Struct, frozen=True):
    """Send a message to an address."""

    address: str
    message: Message
    after_sync: bool = True


class SendEntries(msgspec.Struct, frozen=True):
    """Send ``request`` filled with the stored entries ``first_index`` to ``last_index``."""

    address: str
    request: AppendRequest
    first_index: int
    last_index: int
    after_sync: bool = False


class StartSnapshot(msgspec.Struct, frozen=True):
    """Start streaming a snapshot to a replica; ends with ``SnapshotDelivered``."""

    replica_id: str
    address: str


class SnapshotAnswered(msgspec.Struct, frozen=True):
    """A reply for the running snapshot transfer has come in from a peer."""

    replica_id: str
    stream_id: str
    next_number: int
    matched_index: int


class Commit(msgspec.Struct, frozen=True):
    """Entries up to ``index`` are committed and may be applied."""

    index: int


class Appended(msgspec.Struct, frozen=True):
    """A proposal now stands at ``position``; it counts only if that entry is committed."""

    request_id: int
    position: LogPosition


class Refused(msgspec.Struct, frozen=True):
    """A proposal or read was not taken: this replica does not lead; nothing was appended."""

    request_id: int
    leader_address: str


class ReadReady(msgspec.Struct, frozen=True):
    """A read may be answered once ``index`` is applied."""

    request_id: int
    index: int


class BecameLeader(msgspec.Struct, frozen=True):
    """This replica leads ``term``."""

    term: int


class SteppedDown(msgspec.Struct, frozen=True):
    """This replica no longer leads; proposals not yet committed have an unknown fate."""

    term: int
    reason: str


class RepairDone(msgspec.Struct, frozen=True):
    """A lost replica has been replaced: its successor holds every committed entry and votes.

    Each replica reports it when the change is committed and the successor has answered it.
    """

    old_id: str
    new_id: str
    address: str


class MajorityLost(msgspec.Struct, frozen=True):
    """So many voters lost their disks that no leader can be elected any more.

    Attributes:
        lost: Addresses of the voters at which other replicas live now.
    """

    lost: tuple[str, ...]


Effect = (
    PersistFounding
    | PersistHardState
    | TruncateLog
    | AppendEntries
    | CompactLog
    | StoreChunk
    | Send
    | SendEntries
    | StartSnapshot
    | SnapshotAnswered
    | Commit
    | Appended
    | Refused
    | ReadReady
    | BecameLeader
    | SteppedDown
    | RepairDone
    | MajorityLost
)
