"""How a group replica reaches its peers, and the threads that send to one of them."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from leverjunction.consensus.codec import decode_messages, encode_messages
from leverjunction.consensus.events import PeerDown
from leverjunction.consensus.messages import (
    AppendReply,
    AppendRequest,
    ContactRequest,
    Message,
    SnapshotChunk,
)
from leverjunction.errors import Failure, FailureKind

MAX_QUEUED_MESSAGES = 256
MAX_MESSAGES_PER_CALL = 64
LARGE_BYTES = 64 * 1024
"""From this size on a message takes a lane of its own: some 60 ms at 1 MB/s, of a lease of 360."""


class RaftTransport(Protocol):
    """Carries encoded messages; a lost, late or repeated one does no harm."""

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure | None:
        """Call a peer's ``GroupReplica.receive`` and return the body of its answer.

        Blocks the calling lane only. An empty answer or None is fine too: the peer
        then sends its replies by calls of its own. A failure of kind ``NOT_LISTENING`` says that
        the peer's process has ended.
        """
        ...


class Lane:
    """One thread that calls one peer; what queues up meanwhile goes in the next call.

    Args:
        name: Name of the thread.
        send: Makes a call.
    """

    def __init__(self, name: str, send: Callable[[list[Message]], None]) -> None:
        self._send = send
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._changed = threading.Condition()
        self._under_way = False
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def put(self, message: Message) -> None:
        """Queue a message; the oldest one is dropped when the peer does not keep up."""
        with self._changed:
            self._queue.append(message)
            self._changed.notify()

    def replace(self, message: Message, is_same: Callable[[Message], bool]) -> None:
        """Queue a message in the place of those that it makes needless."""
        with self._changed:
            kept = [queued for queued in self._queue if not is_same(queued)]
            self._queue.clear()
            self._queue.extend([*kept, message])
            self._changed.notify()

    def drop(self, is_needless: Callable[[Message], bool]) -> None:
        """Take messages out of the queue."""
        with self._changed:
            kept = [queued for queued in self._queue if not is_needless(queued)]
            self._queue.clear()
            self._queue.extend(kept)

    def is_busy(self) -> bool:
        """Return whether a message is on its way or waits to be."""
        with self._changed:
            return self._under_way or bool(self._queue)

    def stop(self) -> None:
        """Ask the thread to end after the call under way."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def join(self, timeout_s: float) -> None:
        """Wait for the thread to end."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            batch = self._take()
            if not batch:
                return
            self._send(batch)

    def _take(self) -> list[Message]:
        """Wait for messages; return none when the thread is to end."""
        with self._changed:
            self._under_way = False
            while not self._queue and not self._stopping:
                self._changed.wait()
            if self._stopping and not self._queue:
                return []
            batch: list[Message] = []
            while self._queue and len(batch) < MAX_MESSAGES_PER_CALL:
                message = self._queue.popleft()
                batch.append(message)
                if _is_large(message):
                    break
            self._under_way = True
            return batch


class PeerSender:
    """Sends to one peer.

    Large messages have a lane of their own. In one lane heartbeats waited behind an entry of
    0.8 MB; over a link of 1 MB/s each leader lost its lease before its first entry had arrived,
    and none was ever committed.
    """

    def __init__(
        self,
        transport: RaftTransport,
        group: str,
        address: str,
        deliver: Callable[[list[Message]], None],
        gone: Callable[[PeerDown], None],
    ) -> None:
        """Start the thread of small messages; that of large ones starts with the first.

        Args:
            transport: Carries the calls.
            group: Name of the group.
            address: RPC address of the peer.
            deliver: Takes the messages that a call's answer carries.
            gone: Told when the peer's process has ended.
        """
        self._transport = transport
        self._group = group
        self._address = address
        self._deliver = deliver
        self._gone = gone
        self._small = Lane(f"raft-{group}-to-{address}", self._send)
        self._large: Lane | None = None

    def put(self, message: Message) -> None:
        """Queue a message; the oldest one is dropped when the peer does not keep up."""
        large = self._large
        is_behind = large is not None and large.is_busy()
        if isinstance(message, AppendRequest) and message.entries:
            if is_behind or _is_large(message):
                self._put_entries(message)
                return
        elif isinstance(message, AppendRequest) and is_behind:
            # It would overtake the entries, and be answered as if they were lost.
            self._small.put(ContactRequest(header=message.header, sequence=message.sequence))
            return
        elif _is_large(message):
            self._large_lane().put(message)
            return
        self._small.put(message)

    def stop(self) -> None:
        """Ask the threads to end after the calls under way."""
        for lane in self._lanes():
            lane.stop()

    def join(self, timeout_s: float) -> None:
        """Wait for the threads to end."""
        for lane in self._lanes():
            lane.join(timeout_s)

    def _lanes(self) -> list[Lane]:
        return [self._small] if self._large is None else [self._small, self._large]

    def _large_lane(self) -> Lane:
        if self._large is None:
            self._large = Lane(f"raft-{self._group}-large-to-{self._address}", self._send)
        return self._large

    def _put_entries(self, message: AppendRequest) -> None:
        """Queue entries, in place of an older request for the same: it may come each heartbeat."""
        self._large_lane().replace(message, lambda queued: _covers(message, queued))

    def _send(self, batch: list[Message]) -> None:
        try:
            reply = self._transport.send(self._address, self._group, encode_messages(batch))
        except Exception:
            # A lost message does no harm; a sender that ended would cut the peer off for good.
            logger.exception("group {}: a message to {} is lost", self._group, self._address)
            return
        if isinstance(reply, Failure) and reply.kind is FailureKind.NOT_LISTENING:
            self._gone(PeerDown(address=self._address, term=batch[-1].header.term))
        if not isinstance(reply, bytes) or not reply:
            return
        answers = decode_messages(reply)
        if isinstance(answers, Failure):
            return
        for answer in answers:
            self._drop_held(answer)
        self._deliver(answers)

    def _drop_held(self, answer: Message) -> None:
        """Send no entries again that the peer has just said to hold."""
        if isinstance(answer, AppendReply) and answer.accepted and self._large is not None:
            self._large.drop(lambda queued: _is_held(answer, queued))


def _is_large(message: Message) -> bool:
    if isinstance(message, AppendRequest):
        return sum(len(entry.payload) for entry in message.entries) >= LARGE_BYTES
    return isinstance(message, SnapshotChunk) and len(message.data) >= LARGE_BYTES


def _last_index(message: AppendRequest) -> int:
    return message.previous.index + len(message.entries)


def _covers(message: AppendRequest, queued: Message) -> bool:
    """Return whether a request holds all entries of one that is queued for the same replica."""
    return (
        isinstance(queued, AppendRequest)
        and queued.header.to_id == message.header.to_id
        and queued.header.term <= message.header.term
        and message.previous.index <= queued.previous.index
        and _last_index(queued) <= _last_index(message)
    )


def _is_held(answer: AppendReply, queued: Message) -> bool:
    """Return whether a replica has just said that it holds the entries of a queued request."""
    return (
        isinstance(queued, AppendRequest)
        and queued.header.to_id == answer.header.from_id
        and queued.header.term == answer.header.term
        and _last_index(queued) <= answer.index
    )
