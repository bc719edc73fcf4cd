"""Binary encoding of the messages between replicas, with compiled ``construct`` structures.

A frame is a sequence of messages, each with its kind, the lengths of body and tail, the body and
the tail. Log entries are encoded separately and joined, so that a small entry that is sent to
several peers is encoded once.

Entry payloads and snapshot rows are in the tail and not in the body. A parsed structure contains a
reference cycle and refers to its input, and would keep megabytes in memory until the cyclic
garbage collector runs.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from functools import cache, lru_cache
from typing import Any

from construct import (
    Const,
    ConstructError,
    Flag,
    GreedyBytes,
    Int8ub,
    Int32sb,
    Int32ub,
    Int64ub,
    PascalString,
    Prefixed,
    Struct,
)
from msgspec import MsgspecError

from leverjunction.consensus import messages
from leverjunction.consensus.log_view import decode_configuration, encode_configuration
from leverjunction.consensus.messages import Header, Message
from leverjunction.consensus.types import (
    Configuration,
    EntryKind,
    LogEntry,
    LogPosition,
)
from leverjunction.errors import Execution, Failure, FailureKind, Step

ENTRY_CACHE_SIZE = 4_096
ENTRY_CACHE_PAYLOAD_BYTES = 1_024
"""Larger entries are not cached: they are cheap to encode, and a cache would hold much memory."""

_NAME = PascalString(Int8ub, "utf8")
_BLOB = Prefixed(Int32ub, GreedyBytes)
_HEADER_FIELDS = (
    "founding_id" / _NAME,
    "from_id" / _NAME,
    "from_address" / _NAME,
    "to_id" / _NAME,
    "header_term" / Int64ub,
)
_FRAME_HEAD = Struct("kind" / Int8ub, "body_bytes" / Int32ub, "tail_bytes" / Int32ub).compile()
_FRAME_HEAD_BYTES = 9
_ENTRY_HEAD = Struct(
    "index" / Int64ub,
    "term" / Int64ub,
    "kind" / Int8ub,
    "wall_ms" / Int64ub,
    "payload_bytes" / Int32ub,
).compile()
_ENTRY_HEAD_BYTES = 29
_LAYOUTS = {
    messages.VoteRequest: Struct(
        *_HEADER_FIELDS,
        "last_term" / Int64ub,
        "last_index" / Int64ub,
        "pre" / Flag,
        "transfer" / Flag,
    ),
    messages.VoteReply: Struct(
        *_HEADER_FIELDS, "campaign_term" / Int64ub, "granted" / Flag, "pre" / Flag
    ),
    messages.AppendRequest: Struct(
        *_HEADER_FIELDS,
        "previous_term" / Int64ub,
        "previous_index" / Int64ub,
        "commit_index" / Int64ub,
        "sequence" / Int64ub,
    ),
    messages.AppendReply: Struct(
        *_HEADER_FIELDS, "sequence" / Int64ub, "accepted" / Flag, "index" / Int64ub
    ),
    messages.SnapshotChunk: Struct(
        *_HEADER_FIELDS,
        "stream_id" / _NAME,
        "number" / Int32ub,
        "start_term" / Int64ub,
        "start_index" / Int64ub,
        "is_final" / Flag,
        "final_term" / Int64ub,
        "final_index" / Int64ub,
        "configuration" / _BLOB,
    ),
    messages.SnapshotReply: Struct(
        *_HEADER_FIELDS,
        "stream_id" / _NAME,
        "next_number" / Int32sb,
        "matched_index" / Int64ub,
    ),
    messages.TimeoutNow: Struct(*_HEADER_FIELDS, "marker" / Const(b"T")),
    messages.IdentityQuery: Struct(*_HEADER_FIELDS, "nonce" / Int64ub),
    messages.IdentityReply: Struct(*_HEADER_FIELDS, "nonce" / Int64ub),
    messages.FoundRequest: Struct(*_HEADER_FIELDS, "configuration" / _BLOB),
    messages.FoundReply: Struct(*_HEADER_FIELDS, "marker" / Const(b"F")),
    messages.ContactRequest: Struct(*_HEADER_FIELDS, "sequence" / Int64ub),
    messages.ContactReply: Struct(*_HEADER_FIELDS, "sequence" / Int64ub),
}
_KINDS = list(_LAYOUTS)
_KIND_OF = {message_type: number for number, message_type in enumerate(_KINDS)}


@cache
def _compiled(kind: int) -> Any:
    """Return the structure of a message kind.

    Structures are compiled on first use: compiling all of them would delay the process start.
    """
    return _LAYOUTS[_KINDS[kind]].compile()


# Compiled construct structures also raise the errors of the functions that they call.
_MALFORMED = (ConstructError, MsgspecError, struct.error, ValueError, LookupError)


def encode_messages(batch: Iterable[Message]) -> bytes:
    """Return a frame that contains the messages in order."""
    parts: list[bytes] = []
    for message in batch:
        kind = _KIND_OF[type(message)]
        tail = _encode_tail(message)
        body = _compiled(kind).build(_body_fields(message))
        head = _FRAME_HEAD.build({"kind": kind, "body_bytes": len(body), "tail_bytes": len(tail)})
        parts += [head, body, tail]
    return b"".join(parts)


def _encode_tail(message: Message) -> bytes:
    """Return the bytes that follow the body of a message."""
    match message:
        case messages.AppendRequest():
            return b"".join(_encode_entry(entry) for entry in message.entries)
        case messages.SnapshotChunk():
            return message.data
        case messages.SnapshotReply() if message.window != 1:
            # In the tail, which builds that know no window ignore.
            window: bytes = Int32ub.build(message.window)
            return window
        case _:
            return b""


def decode_messages(frame: bytes) -> list[Message] | Failure:
    """Return the messages of a frame, or a CORRUPT failure if the frame is malformed."""
    try:
        return [_decode(kind, body, tail) for kind, body, tail in _split_frame(frame)]
    except _MALFORMED as error:
        return Failure(
            kind=FailureKind.CORRUPT,
            reason=f"malformed consensus message: {error}",
            step=Step.DECODING,
            execution=Execution.NOT_RUN,
        )


def _encode_entry(entry: LogEntry) -> bytes:
    if len(entry.payload) <= ENTRY_CACHE_PAYLOAD_BYTES:
        return _encode_entry_cached(entry)
    return _encode_entry_uncached(entry)


@lru_cache(maxsize=ENTRY_CACHE_SIZE)
def _encode_entry_cached(entry: LogEntry) -> bytes:
    return _encode_entry_uncached(entry)


def _encode_entry_uncached(entry: LogEntry) -> bytes:
    head = _ENTRY_HEAD.build(
        {
            "index": entry.index,
            "term": entry.term,
            "kind": int(entry.kind),
            "wall_ms": entry.wall_ms,
            "payload_bytes": len(entry.payload),
        }
    )
    return bytes(head) + entry.payload


def _split_frame(frame: bytes) -> Iterator[tuple[int, bytes, bytes]]:
    """Yield the kind, body and tail of each message in a frame."""
    offset = 0
    while offset < len(frame):
        head = _FRAME_HEAD.parse(frame[offset : offset + _FRAME_HEAD_BYTES])
        offset += _FRAME_HEAD_BYTES
        body = _read_bytes(frame, offset, head.body_bytes)
        offset += head.body_bytes
        yield head.kind, body, _read_bytes(frame, offset, head.tail_bytes)
        offset += head.tail_bytes


def _read_bytes(data: bytes, offset: int, size: int) -> bytes:
    part = data[offset : offset + size]
    if len(part) < size:
        raise ValueError(f"expected {size} bytes, found {len(part)}")
    return part


def _decode_entries(blob: bytes) -> tuple[LogEntry, ...]:
    entries: list[LogEntry] = []
    offset = 0
    while offset < len(blob):
        head = _ENTRY_HEAD.parse(blob[offset : offset + _ENTRY_HEAD_BYTES])
        offset += _ENTRY_HEAD_BYTES
        entry = LogEntry(
            index=head.index,
            term=head.term,
            kind=EntryKind(head.kind),
            wall_ms=head.wall_ms,
            payload=_read_bytes(blob, offset, head.payload_bytes),
        )
        entries.append(entry)
        offset += head.payload_bytes
    return tuple(entries)


def _header_fields(header: Header) -> dict[str, Any]:
    return {
        "founding_id": header.founding_id,
        "from_id": header.from_id,
        "from_address": header.from_address,
        "to_id": header.to_id,
        "header_term": header.term,
    }


def _body_fields(message: Message) -> dict[str, Any]:
    """Return the body fields of a message by their names in its layout."""
    fields = _header_fields(message.header)
    match message:
        case messages.AppendRequest():
            fields |= {
                "previous_term": message.previous.term,
                "previous_index": message.previous.index,
                "commit_index": message.commit_index,
                "sequence": message.sequence,
            }
        case messages.VoteRequest():
            fields |= {
                "last_term": message.last.term,
                "last_index": message.last.index,
                "pre": message.pre,
                "transfer": message.transfer,
            }
        case messages.SnapshotChunk():
            fields |= _chunk_fields(message)
        case messages.FoundRequest():
            fields["configuration"] = encode_configuration(message.configuration)
        case _:
            names = (name for name in message.__struct_fields__ if name != "header")
            fields |= {name: getattr(message, name) for name in names}
    return fields


def _chunk_fields(chunk: messages.SnapshotChunk) -> dict[str, Any]:
    final = chunk.final or LogPosition()
    return {
        "stream_id": chunk.stream_id,
        "number": chunk.number,
        "start_term": chunk.start.term,
        "start_index": chunk.start.index,
        "is_final": chunk.final is not None,
        "final_term": final.term,
        "final_index": final.index,
        "configuration": encode_configuration(chunk.configuration),
    }


def _decode(kind: int, body: bytes, tail: bytes) -> Message:
    message_type = _KINDS[kind]
    parsed = _compiled(kind).parse(body)
    header = Header(
        founding_id=parsed.founding_id,
        from_id=parsed.from_id,
        from_address=parsed.from_address,
        to_id=parsed.to_id,
        term=parsed.header_term,
    )
    special = _SPECIAL_DECODERS.get(message_type)
    if special is not None:
        return special(header, parsed, tail)
    names = (name for name in message_type.__struct_fields__ if name != "header")
    message: Message = message_type(header=header, **{name: parsed[name] for name in names})
    return message


def _decode_append(header: Header, parsed: Any, tail: bytes) -> Message:
    return messages.AppendRequest(
        header=header,
        previous=LogPosition(term=parsed.previous_term, index=parsed.previous_index),
        commit_index=parsed.commit_index,
        sequence=parsed.sequence,
        entries=_decode_entries(tail),
    )


def _decode_vote_request(header: Header, parsed: Any, _tail: bytes) -> Message:
    return messages.VoteRequest(
        header=header,
        last=LogPosition(term=parsed.last_term, index=parsed.last_index),
        pre=parsed.pre,
        transfer=parsed.transfer,
    )


def _decode_chunk(header: Header, parsed: Any, tail: bytes) -> Message:
    final = LogPosition(term=parsed.final_term, index=parsed.final_index)
    configuration: Configuration = decode_configuration(parsed.configuration)
    return messages.SnapshotChunk(
        header=header,
        stream_id=parsed.stream_id,
        number=parsed.number,
        start=LogPosition(term=parsed.start_term, index=parsed.start_index),
        data=tail,
        final=final if parsed.is_final else None,
        configuration=configuration,
    )


def _decode_snapshot_reply(header: Header, parsed: Any, tail: bytes) -> Message:
    return messages.SnapshotReply(
        header=header,
        stream_id=parsed.stream_id,
        next_number=parsed.next_number,
        matched_index=parsed.matched_index,
        window=Int32ub.parse(tail) if tail else 1,
    )


def _decode_found_request(header: Header, parsed: Any, _tail: bytes) -> Message:
    return messages.FoundRequest(
        header=header, configuration=decode_configuration(parsed.configuration)
    )


_SPECIAL_DECODERS: dict[type, Callable[[Header, Any, bytes], Message]] = {
    messages.AppendRequest: _decode_append,
    messages.VoteRequest: _decode_vote_request,
    messages.SnapshotChunk: _decode_chunk,
    messages.SnapshotReply: _decode_snapshot_reply,
    messages.FoundRequest: _decode_found_request,
}
