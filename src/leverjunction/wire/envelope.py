"""The binary envelope of every internal message, authenticated with the cluster key.

Layout (big-endian): magic ``LVJN``, protocol version, message kind, length-prefixed group name,
sender incarnation, length-prefixed body, HMAC-SHA256 of all that precedes it (RFC 2104).
"""

from __future__ import annotations

import hashlib
import hmac
from enum import IntEnum

import msgspec
from construct import (
    Const,
    ConstructError,
    Int8ub,
    Int16ub,
    Int32ub,
    Int64ub,
    PascalString,
    Struct,
)

from leverjunction.errors import Execution, Failure, FailureKind, Step

MAGIC = b"LVJN"
PROTOCOL_VERSION = 1
HMAC_BYTES = 32
MAX_ENVELOPE_BYTES = 64 * 1024 * 1024
"""Size limit of a message. Receivers reject larger ones unread, so senders do not send them."""


class MessageKind(IntEnum):
    """Kind of an internal message, which determines its handler."""

    REPLY = 0
    RAFT = 1
    SNAPSHOT_CHUNK = 2
    PROPOSE = 3
    QUERY = 4
    EXCHANGE = 5
    YIELD_NOTICE = 6
    STATUS = 7
    REPLICA_IDENTITY = 8
    FORWARDED_PROPOSE = 9
    FORWARDED_QUERY = 10
    HUB_SYNC = 11
    RENEW_LEASES = 12
    LOCAL_QUERY = 13
    MACHINE_LIST = 14
    REGISTRY_WATCH = 15
    REGISTRY_HEARD = 16
    RECENT_QUERY = 17
    ONLINE_LOADS = 18
    LOADS_WANTED = 19
    CRASH_EVIDENCE = 20
    REPORT_ORIGINS = 21
    FIND_ORIGIN = 22
    TENANT_USAGE = 23
    TENANT_LEVELS = 24
    FIND_ORIGINS = 25
    REGISTRY_VIEWS = 26
    OPEN_ITEMS = 27


_HEADER = Struct(
    "magic" / Const(MAGIC),
    "version" / Int8ub,
    "kind" / Int16ub,
    "group" / PascalString(Int8ub, "utf8"),
    "incarnation" / Int64ub,
    "body_bytes" / Int32ub,
).compile()
"""Layout of everything before the body. The body is not part of it: a parsed container refers to
itself and to its input stream, so it would keep the body in memory until the next run of the cyclic
garbage collector.
"""

_FIXED_HEADER_BYTES = len(
    _HEADER.build({"version": 0, "kind": 0, "group": "", "incarnation": 0, "body_bytes": 0})
)
_MAX_HEADER_BYTES = _FIXED_HEADER_BYTES + 255
"""Size with the longest group name, whose length field is one byte."""


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """One internal message before encoding.

    Attributes:
        kind: Kind of the message.
        group: Consensus group that the message belongs to, empty if it belongs to none.
        incarnation: Start time of the sending process, in milliseconds since the Unix epoch.
        body: Encoded message.
    """

    kind: MessageKind
    group: str = ""
    incarnation: int = 0
    body: bytes = b""


def encode_envelope(envelope: Envelope, cluster_key: bytes) -> bytes:
    """Return the authenticated bytes of ``envelope``."""
    unsigned = _HEADER.build(
        {
            "version": PROTOCOL_VERSION,
            "kind": int(envelope.kind),
            "group": envelope.group,
            "incarnation": envelope.incarnation,
            "body_bytes": len(envelope.body),
        }
    )
    unsigned += envelope.body
    return bytes(unsigned + hmac.digest(cluster_key, unsigned, hashlib.sha256))


def decode_envelope(data: bytes, cluster_key: bytes, peer: str) -> Envelope | Failure:
    """Verify the signature of an envelope and decode it.

    Args:
        data: Received bytes.
        cluster_key: Secret shared by all processes of the cluster.
        peer: Address of the sender, for the returned failure.

    Returns:
        The envelope, or a failure if it is not authentic or not well-formed.
    """
    if len(data) <= HMAC_BYTES or not data.startswith(MAGIC):
        return _malformed(f"{len(data)} bytes without a message header; is this a peer?", peer)
    unsigned, tag = data[:-HMAC_BYTES], data[-HMAC_BYTES:]
    if not hmac.compare_digest(hmac.digest(cluster_key, unsigned, hashlib.sha256), tag):
        return Failure(
            kind=FailureKind.UNAUTHENTICATED,
            reason="message is not signed with this cluster's key; compare cluster_key_file",
            step=Step.DECODING,
            peer=peer,
            execution=Execution.NOT_RUN,
        )
    try:
        parsed = _HEADER.parse(unsigned[:_MAX_HEADER_BYTES])
        kind = MessageKind(parsed.kind)
    except (ConstructError, ValueError) as error:
        return _malformed(str(error), peer)
    header_bytes = _FIXED_HEADER_BYTES + len(parsed.group.encode())
    if header_bytes + parsed.body_bytes != len(unsigned):
        return _malformed(
            f"body of {parsed.body_bytes} bytes in a message of {len(unsigned)}", peer
        )
    if parsed.version != PROTOCOL_VERSION:
        return _malformed(f"protocol version {parsed.version}, expected {PROTOCOL_VERSION}", peer)
    return Envelope(
        kind=kind, group=parsed.group, incarnation=parsed.incarnation, body=unsigned[header_bytes:]
    )


def _malformed(reason: str, peer: str) -> Failure:
    return Failure(
        kind=FailureKind.CORRUPT,
        reason=f"malformed message: {reason}",
        step=Step.DECODING,
        peer=peer,
        execution=Execution.NOT_RUN,
    )
