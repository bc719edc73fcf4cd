"""Messages between the replicas of a group.

Every message names its sender by replica id and address, and its receiver by replica id (empty
when the sender does not know it). ``founding_id`` ties it to one founding of the group: a replica
drops what belongs to another. Replies are counted by ``from_id``, never by address, so a machine
that lost its disk does not stand in for the voter it used to hold.
"""

from __future__ import annotations

import msgspec

from leverjunction.consensus.types import Configuration, LogEntry, LogPosition


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """What all messages carry.

    Attributes:
        founding_id: Founding of the group that the sender belongs to; empty when it is blank.
        from_id: Replica id of the sender.
        from_address: RPC address of the sender.
        to_id: Replica id of the intended receiver; empty when any replica there may answer.
        term: Sender's term.
    """

    founding_id: str
    from_id: str
    from_address: str
    to_id: str
    term: int


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A candidate asks for a vote; ``pre`` asks only whether one would be given.

    Attributes:
        header: Sender and receiver; ``term`` is the term campaigned for.
        last: Position of the candidate's last entry.
        pre: True for a pre-vote, which changes no state.
        transfer: True when the leader itself asked for this election.
    """

    header: Header
    last: LogPosition
    pre: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ``VoteRequest``; ``campaign_term`` repeats the term that was asked about."""

    header: Header
    campaign_term: int
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Entries, or a heartbeat when ``entries`` is empty.

    Attributes:
        header: Sender and receiver.
        previous: Position right before the first entry; the receiver must hold it.
        commit_index: Leader's commit index.
        sequence: Leader's message round; the reply repeats it, which confirms leadership as of
            the time the round was sent.
        entries: Consecutive entries after ``previous``.
    """

    header: Header
    previous: LogPosition
    commit_index: int
    sequence: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an ``AppendRequest``, sent once its entries are synced.

    Attributes:
        header: Sender and receiver.
        sequence: Round that is answered.
        accepted: True when the receiver holds everything up to ``index``.
        index: Matched index if accepted, else the highest index worth trying as ``previous``.
    """

    header: Header
    sequence: int
    accepted: bool
    index: int


class SnapshotChunk(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a snapshot.

    Attributes:
        header: Sender and receiver.
        stream_id: Random id of this transfer.
        number: Position of the chunk in the transfer, from 0.
        start: Sender's applied position when the transfer began.
        data: Encoded rows (see ``consensus.snapshot``).
        final: Set on the last chunk: the position that the complete snapshot stands for.
        configuration: Configuration in force at ``final``; empty before the last chunk.
    """

    header: Header
    stream_id: str
    number: int
    start: LogPosition
    data: bytes
    final: LogPosition | None = None
    configuration: Configuration = Configuration()


class SnapshotReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ``SnapshotChunk``, sent once it is stored.

    Attributes:
        header: Sender and receiver.
        stream_id: Transfer that is answered.
        next_number: Chunk that the receiver wants next; -1 when it needs none of this transfer.
        matched_index: Highest index that the receiver then holds; set with ``next_number`` -1.
    """

    header: Header
    stream_id: str
    next_number: int
    matched_index: int = 0


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True):
    """The leader hands over: the receiver campaigns at once."""

    header: Header


class IdentityQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which replica lives at an address, and whether it is blank."""

    header: Header
    nonce: int


class IdentityReply(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the replica's id in the header; an empty ``founding_id`` there means blank.

    Also sent unasked (nonce 0) to a peer whose message was meant for another replica id.
    """

    header: Header
    nonce: int


class FoundRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The founding record: a blank replica named in it becomes a voter with an empty log."""

    header: Header
    configuration: Configuration


class FoundReply(msgspec.Struct, frozen=True, kw_only=True):
    """Tells in its header which founding the replica belongs to, once that is synced."""

    header: Header


class ContactRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat without a position: entries are on their way that it overtakes.

    Attributes:
        header: Sender and receiver.
        sequence: Leader's message round, as in ``AppendRequest``.
    """

    header: Header
    sequence: int


class ContactReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a ``ContactRequest``: the sender takes the receiver for the leader of its term."""

    header: Header
    sequence: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | IdentityQuery
    | IdentityReply
    | FoundRequest
    | FoundReply
    | ContactRequest
    | ContactReply
)
