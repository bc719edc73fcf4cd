"""Encodes and decodes the typed JSON bodies of internal messages, with type checks by msgspec."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import xxhash

from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")

_FAILURE_PREFIX = b'{"type":"failure"'
_ENCODER = msgspec.json.Encoder()


class FailureReply(msgspec.Struct, frozen=True, tag="failure"):
    """Body of a reply that carries a failure."""

    failure: Failure


class ResultReply(msgspec.Struct, frozen=True, tag="result"):
    """Body of a reply that carries an encoded result."""

    result: msgspec.Raw


_REPLY_DECODER = msgspec.json.Decoder(FailureReply | ResultReply)


def encode(message: object) -> bytes:
    """Return the JSON bytes of a typed message."""
    return _ENCODER.encode(message)


def digest_of(message: object) -> str:
    """Return the digest of a message's JSON bytes, which tells apart two states of a process."""
    return digest_bytes(encode(message))


def digest_bytes(encoded: bytes) -> str:
    """Return the digest of an encoded message."""
    return xxhash.xxh3_64_hexdigest(encoded)


def decode(body: bytes, message_type: type[T], peer: str = "") -> T | Failure:
    """Decode a typed message, or return a failure that names the invalid field."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        return Failure(
            kind=FailureKind.CORRUPT,
            reason=f"not a {getattr(message_type, '__name__', message_type)}: {error}",
            step=Step.DECODING,
            peer=peer,
            execution=Execution.NOT_RUN,
        )


def encode_reply(result: object) -> bytes:
    """Return the JSON bytes of a reply that carries a result or a failure."""
    if isinstance(result, Failure):
        return encode(FailureReply(failure=result))
    return encode(ResultReply(result=msgspec.Raw(encode(result))))


def is_failure_reply(body: bytes) -> bool:
    """Return whether an encoded reply carries a failure, without decoding it."""
    return body.startswith(_FAILURE_PREFIX)


def decode_reply(body: bytes, result_type: type[T], peer: str = "") -> T | Failure:
    """Return the decoded result of a reply, or the failure that it carries.

    A reply that cannot be read leaves open whether its call has run.
    """
    try:
        reply = _REPLY_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        return Failure(
            kind=FailureKind.CORRUPT,
            reason=str(error),
            step=Step.DECODING,
            peer=peer,
            execution=Execution.UNKNOWN,
        )
    if isinstance(reply, FailureReply):
        return reply.failure
    result = decode(bytes(reply.result), result_type, peer)
    return unknown_outcome(result) if isinstance(result, Failure) else result


def unknown_outcome(failure: Failure) -> Failure:
    """Return a failure of reading a reply as one of a call that may have run."""
    return msgspec.structs.replace(failure, execution=Execution.UNKNOWN)
