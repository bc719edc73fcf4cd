"""Events that the pure core handles, and effects that it requests.

Rules for the code that carries out the effects (the engine, which the simulator also runs):

1. Effects are carried out in the order given.
2. ``PersistFounding``, ``PersistHardState``, ``TruncateLog``, ``AppendEntries``, ``CompactLog`` and
   ``StoreChunk`` change the durable state. They may be combined into one synced transaction.
3. A ``Send`` or ``SendEntries`` message is sent only after all effects before it are synced,
   unless it has ``after_sync=False`` and every ``PersistHardState`` before it is synced.
4. After a sync the core receives ``Persisted``. Only then does it count its own log entries as
   persisted.
5. ``Commit`` allows entries to be applied. A proposal is answered after its entry is applied, and
   a ``ReadReady`` read after its index is applied.
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
    """Timer event, sent at ``RaftCore.next_deadline_s()`` at the latest."""


class Received(msgspec.Struct, frozen=True):
    """A message from another replica has arrived."""

    message: Message


class Flush(msgspec.Struct, frozen=True):
    """End of a batch of events: replicate the entries it appended and start a round for its reads.

    The engine sends it after each batch, before the sync, so that proposals share messages.
    """


class Propose(msgspec.Struct, frozen=True):
    """A local caller proposes a command.

    Attributes:
        request_id: Identifies the proposal in ``Appended`` and ``Refused``.
        payload: Encoded command.
        wall_ms: Wall-clock time of this replica, in milliseconds.
    """

    request_id: int
    payload: bytes
    wall_ms: int


class Read(msgspec.Struct, frozen=True):
    """A local caller requests a linearizable read; answered by ``ReadReady`` or ``Refused``."""

    request_id: int


class Persisted(msgspec.Struct, frozen=True):
    """The log is synced up to and including ``last_index``."""

    last_index: int


class Applied(msgspec.Struct, frozen=True):
    """Entries up to and including ``index`` are applied to the tables."""

    index: int


class SnapshotInstalled(msgspec.Struct, frozen=True):
    """A received snapshot is installed and synced; the log starts after ``position``.

    Attributes:
        position: Log position of the snapshot.
        configuration: Configuration in force at ``position``.
        chunk: Final chunk of the transfer, which is still to be acknowledged.
    """

    position: LogPosition
    configuration: Configuration
    chunk: SnapshotChunk


class SnapshotDelivered(msgspec.Struct, frozen=True):
    """A snapshot transfer has ended.

    Attributes:
        replica_id: Receiver of the snapshot.
        matched_index: Highest index that the receiver holds; None when the transfer failed.
    """

    replica_id: str
    matched_index: int | None


class ChangeTarget(msgspec.Struct, frozen=True):
    """An operator sets the target addresses of the voters.

    Attributes:
        request_id: Identifies the request in ``Appended`` and ``Refused``.
        addresses: RPC addresses that shall each hold one voter.
        wall_ms: Wall-clock time of this replica, in milliseconds.
    """

    request_id: int
    addresses: tuple[str, ...]
    wall_ms: int


class TransferLeadership(msgspec.Struct, frozen=True):
    """Transfer leadership to the most up-to-date voter, before a planned stop."""


class PeerDown(msgspec.Struct, frozen=True):
    """The process at ``address`` has ended, since its port refuses connections.

    A timeout or an unreachable address does not prove this.

    Attributes:
        address: RPC address of the peer.
        term: Term of the message that could not be sent.
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
    """Store the founding record; this replica is no longer blank."""

    founding_id: str
    configuration: Configuration


class PersistHardState(msgspec.Struct, frozen=True):
    """Store the current term and vote."""

    hard_state: HardState


class TruncateLog(msgspec.Struct, frozen=True):
    """Remove the entries at and after ``from_index``, which conflict with the leader's log."""

    from_index: int


class AppendEntries(msgspec.Struct, frozen=True):
    """Append entries to the stored log."""

    entries: tuple[LogEntry, ...]


class CompactLog(msgspec.Struct, frozen=True):
    """Remove the applied entries up to ``base``; store the base and its configuration."""

    base: LogPosition
    configuration: Configuration


class StoreChunk(msgspec.Struct, frozen=True):
    """Stage a snapshot chunk; install the snapshot after the final chunk."""

    chunk: SnapshotChunk


class Send(msgspec.Struct, frozen=True):
    """Send a message to an address."""

    address: str
    message: Message
    after_sync: bool = True


class SendEntries(msgspec.Struct, frozen=True):
    """Send ``request`` with the stored entries ``first_index`` to ``last_index``, inclusive."""

    address: str
    request: AppendRequest
    first_index: int
    last_index: int
    after_sync: bool = False


class StartSnapshot(msgspec.Struct, frozen=True):
    """Start sending a snapshot to a replica; the transfer ends with ``SnapshotDelivered``."""

    replica_id: str
    address: str


class SnapshotAnswered(msgspec.Struct, frozen=True):
    """A peer has replied to a chunk of the current snapshot transfer."""

    replica_id: str
    stream_id: str
    next_number: int
    matched_index: int
    window: int = 1


class Commit(msgspec.Struct, frozen=True):
    """Entries up to and including ``index`` are committed and may be applied."""

    index: int


class Appended(msgspec.Struct, frozen=True):
    """A proposal was appended at ``position``; it takes effect only if that entry is committed."""

    request_id: int
    position: LogPosition


class Refused(msgspec.Struct, frozen=True):
    """A request was refused because this replica cannot take it; nothing was appended.

    Attributes:
        request_id: Request that is refused.
        leader_address: RPC address of the leader; empty when it is unknown.
    """

    request_id: int
    leader_address: str


class ReadReady(msgspec.Struct, frozen=True):
    """A read may be answered once ``index`` is applied."""

    request_id: int
    index: int


class BecameLeader(msgspec.Struct, frozen=True):
    """This replica became the leader of ``term``."""

    term: int


class SteppedDown(msgspec.Struct, frozen=True):
    """This replica no longer leads; the outcome of its uncommitted proposals is unknown."""

    term: int
    reason: str


class RepairDone(msgspec.Struct, frozen=True):
    """A lost replica was replaced by a voter that holds every committed entry.

    Each replica reports the repair once the change is committed and the new replica has replied.

    Attributes:
        old_id: Replica id of the lost replica.
        new_id: Replica id of its replacement.
        address: RPC address of both.
    """

    old_id: str
    new_id: str
    address: str


class MajorityLost(msgspec.Struct, frozen=True):
    """So many voters lost their disks that no leader can be elected.

    Attributes:
        lost: Addresses of the lost voters, which now hold other replicas.
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
