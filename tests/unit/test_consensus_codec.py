"""Encoding of the messages between replicas: round trips, and rejection of damaged frames."""

from __future__ import annotations

import gc
import random
import threading
import tracemalloc

from tests.unit.consensus_support import WAIT_S, wait_for

from leverjunction.consensus.codec import decode_messages, encode_messages
from leverjunction.consensus.messages import (
    AppendReply,
    AppendRequest,
    FoundReply,
    FoundRequest,
    Header,
    IdentityQuery,
    IdentityReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from leverjunction.consensus.transport import PeerSender
from leverjunction.consensus.types import Configuration, EntryKind, LogEntry, LogPosition, Member
from leverjunction.errors import Failure

DAMAGED_FRAMES = 4_000
HEADER = Header(founding_id="f", from_id="a", from_address="10.0.0.1:1", to_id="b", term=7)
POSITION = LogPosition(term=6, index=41)
CONFIGURATION = Configuration((Member("a", "10.0.0.1:1"), Member("b", "x", False)), ("x",))
ENTRY = LogEntry(index=42, term=7, kind=EntryKind.COMMAND, wall_ms=9, payload=b"k=v")
MESSAGES: list[Message] = [
    VoteRequest(header=HEADER, last=POSITION, pre=True, transfer=False),
    VoteReply(header=HEADER, campaign_term=8, granted=True, pre=False),
    AppendRequest(
        header=HEADER, previous=POSITION, commit_index=40, sequence=3, entries=(ENTRY, ENTRY)
    ),
    AppendReply(header=HEADER, sequence=3, accepted=True, index=42),
    SnapshotChunk(
        header=HEADER,
        stream_id="s",
        number=2,
        start=POSITION,
        data=b"rows",
        final=POSITION,
        configuration=CONFIGURATION,
    ),
    SnapshotChunk(header=HEADER, stream_id="s", number=0, start=POSITION, data=b""),
    SnapshotReply(header=HEADER, stream_id="s", next_number=-1, matched_index=41),
    SnapshotReply(header=HEADER, stream_id="s", next_number=3, window=8),
    TimeoutNow(header=HEADER),
    IdentityQuery(header=HEADER, nonce=1 << 62),
    IdentityReply(header=HEADER, nonce=0),
    FoundRequest(header=HEADER, configuration=CONFIGURATION),
    FoundReply(header=HEADER),
]


def test_decoded_messages_equal_the_encoded_ones() -> None:
    assert decode_messages(encode_messages(MESSAGES)) == MESSAGES


def test_damaged_frames_are_rejected_without_an_exception() -> None:
    generator = random.Random(3)
    encoded = encode_messages(MESSAGES)
    rejected = 0
    for _ in range(DAMAGED_FRAMES):
        damaged = bytearray(encoded)
        for _ in range(generator.randrange(1, 4)):
            damaged[generator.randrange(len(damaged))] = generator.randrange(256)
        decoded = decode_messages(bytes(damaged[: generator.randrange(1, len(damaged) + 1)]))
        rejected += isinstance(decoded, Failure)
    assert rejected


class FaultyTransport:
    """Raises on the first call and replies to later ones."""

    def __init__(self) -> None:
        self.calls = 0

    def send(self, peer_address: str, group: str, body: bytes) -> bytes:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("fault")
        return encode_messages(MESSAGES[:1])


def test_an_exception_of_the_transport_does_not_end_the_sender() -> None:
    delivered: list[list[Message]] = []
    arrived = threading.Event()

    def deliver(messages: list[Message]) -> None:
        delivered.append(messages)
        arrived.set()

    transport = FaultyTransport()
    sender = PeerSender(transport, "root", "x", deliver, lambda _gone: None)
    for _ in range(2):
        sender.put(MESSAGES[0])
        wait_for(lambda: transport.calls)
    assert arrived.wait(WAIT_S)
    sender.stop()
    sender.join(WAIT_S)
    assert transport.calls > 1
    assert delivered[0] == MESSAGES[:1]


def test_encoding_and_decoding_leave_no_garbage_that_holds_large_entries() -> None:
    entries = tuple(
        LogEntry(index=n, term=1, kind=EntryKind.COMMAND, wall_ms=0, payload=b"%d" % n * 100_000)
        for n in range(10, 30)
    )
    request = AppendRequest(
        header=HEADER, previous=POSITION, commit_index=0, sequence=1, entries=entries
    )
    gc.disable()
    tracemalloc.start()
    try:
        decode_messages(encode_messages([request]))
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held_bytes < len(entries[0].payload)
