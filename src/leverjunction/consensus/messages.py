"""Messages between the replicas of a group.

Every message names its sender by replica id and address, and its receiver by replica id (empty
when the sender does not know it). ``founding_id`` ties the message to one founding (bootstrap) of
the group, and a replica drops messages of another founding. Replies are counted by ``from_id``,
never by address, so a machine that lost its disk does not count as the voter that it used to hold.
"""

from __future__ import annotations

import msgspec

from leverjunction.consensus.types import Configuration, LogEntry, LogPosition


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """Fields common to all messages.

    Attributes:
        founding_id: Founding that the sender belongs to; empty when the sender is blank.
        from_id: Replica id of the sender.
        from_address: RPC address of the sender.
        to_id: Replica id of the receiver; empty when any replica at the address may reply.
        term: Sender's term.
    """

    founding_id: str
    from_id: str
    from_address: str
    to_id: str
    term: int


class VoteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a vote or, with ``pre``, for a pre-vote.

    Attributes:
        header: Sender and receiver; ``term`` is the term campaigned for.
        last: Position of the candidate's last entry.
        pre: True for a pre-vote, which only asks if a vote would be granted and changes no state.
        transfer: True when the leader requested this election (leadership transfer).
    """

    header: Header
    last: LogPosition
    pre: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a ``VoteRequest``; ``campaign_term`` repeats the term campaigned for."""

    header: Header
    campaign_term: int
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Entries to append, or a heartbeat when ``entries`` is empty.

    Attributes:
        header: Sender and receiver.
        previous: Position right before the first entry; the receiver must hold it.
        commit_index: Leader's commit index.
        sequence: Number of the leader's message round. The reply repeats it, which confirms
            leadership as of the time the round was sent.
        entries: Consecutive entries after ``previous``.
    """

    header: Header
    previous: LogPosition
    commit_index: int
    sequence: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an ``AppendRequest``, sent once its entries are synced.

    Attributes:
        header: Sender and receiver.
        sequence: Round that is acknowledged.
        accepted: True when the sender of the reply holds every entry up to ``index``.
        index: Matched index if accepted, else the highest index to try as ``previous``.
    """

    header: Header
    sequence: int
    accepted: bool
    index: int


class SnapshotChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One chunk of a snapshot.

    Attributes:
        header: Sender and receiver.
        stream_id: Random id of the transfer.
        number: Number of the chunk in the transfer, from 0.
        start: Sender's applied position when the transfer began.
        data: Encoded rows (see ``consensus.snapshot``).
        final: Log position of the complete snapshot; set on the last chunk only.
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
    """Reply to a ``SnapshotChunk``.

    It acknowledges all chunks before ``next_number``. They need not be durable: a receiver that
    restarts discards an unfinished transfer, and only ``matched_index`` counts as held.

    Attributes:
        header: Sender and receiver.
        stream_id: Id of the transfer.
        next_number: Number of the chunk expected next; -1 when no more chunks are needed.
        matched_index: Highest index held by the sender of the reply; set with ``next_number`` -1.
        window: Number of chunks from ``next_number`` on that the sender of the reply accepts in any
            order; 1 when it accepts only the next one.
    """

    header: Header
    stream_id: str
    next_number: int
    matched_index: int = 0
    window: int = 1


class TimeoutNow(msgspec.Struct, frozen=True, kw_only=True):
    """Leadership transfer: tells the receiver to campaign at once."""

    header: Header


class IdentityQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which replica runs at an address, and whether it is blank.

    Attributes:
        header: Sender; the receiver's id may be unknown.
        nonce: Number that the reply repeats; 0 outside of a founding attempt.
    """

    header: Header
    nonce: int


class IdentityReply(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies the sender by its header, where an empty ``founding_id`` means blank.

    Also sent without a query (with nonce 0) to a peer whose message was for another replica id.

    Attributes:
        header: Sender and receiver.
        nonce: Number of the query that is answered.
    """

    header: Header
    nonce: int


class FoundRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Founding record; a blank replica that it lists becomes a voter with an empty log.

    Attributes:
        header: Sender and receiver; ``founding_id`` is the id of the new founding.
        configuration: First configuration of the group.
    """

    header: Header
    configuration: Configuration


class FoundReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a ``FoundRequest``, sent once the record is synced.

    Its header names the founding that the sender belongs to.
    """

    header: Header


class ContactRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Heartbeat without a log position, which may overtake entries in flight.

    Attributes:
        header: Sender and receiver.
        sequence: Number of the leader's message round, as in ``AppendRequest``.
    """

    header: Header
    sequence: int


class ContactReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a ``ContactRequest``: its sender acknowledges the receiver as leader of the term."""

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
