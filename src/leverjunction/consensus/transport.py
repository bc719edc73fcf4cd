"""Transport interface between group replicas, and the threads that send to a peer."""

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
CHUNK_CALLS = 4
"""Snapshot chunks that are sent to a peer at the same time: a call lasts until the peer has handled
the chunk, so a single one would leave the link unused meanwhile."""
LARGE_BYTES = 64 * 1024
"""Messages of this size or more use a thread of their own: over a link of 1 MB/s they take about
60 ms or longer, of a leader lease of 360 ms."""


class RaftTransport(Protocol):
    """Delivers encoded messages. Messages may be lost, delayed or duplicated."""

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure | None:
        """Call a peer's ``GroupReplica.receive`` and return the body of its reply.

        The call may block, which delays only the sender thread that makes it.

        Args:
            peer_address: RPC address of the peer.
            group: Name of the group.
            body: Encoded messages.

        Returns:
            Encoded replies. With an empty body or None, the peer sends its replies in calls of
            its own. A failure of kind ``NOT_LISTENING`` means that the peer's process has ended.
        """
        ...


class SenderThread:
    """A thread that sends queued messages to one peer; each call carries all that are waiting.

    A call carries at most ``MAX_MESSAGES_PER_CALL`` messages and ends after a large one.

    Args:
        name: Name of the thread.
        send: Makes one call with a batch of messages.
    """

    def __init__(self, name: str, send: Callable[[list[Message]], None]) -> None:
        self._send = send
        self._queue: deque[Message] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._changed = threading.Condition()
        self._sending = False
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def put(self, message: Message) -> None:
        """Queue a message; a full queue drops its oldest message."""
        with self._changed:
            self._queue.append(message)
            self._changed.notify()

    def replace(self, message: Message, is_superseded: Callable[[Message], bool]) -> None:
        """Queue a message and remove the queued messages for which ``is_superseded`` is true."""
        with self._changed:
            kept = [queued for queued in self._queue if not is_superseded(queued)]
            self._queue.clear()
            self._queue.extend([*kept, message])
            self._changed.notify()

    def drop(self, is_obsolete: Callable[[Message], bool]) -> None:
        """Remove the queued messages for which ``is_obsolete`` is true."""
        with self._changed:
            kept = [queued for queued in self._queue if not is_obsolete(queued)]
            self._queue.clear()
            self._queue.extend(kept)

    def is_busy(self) -> bool:
        """Return whether a message is queued or being sent."""
        with self._changed:
            return self._sending or bool(self._queue)

    def load(self) -> int:
        """Return the number of messages queued, and one more while a call is in progress."""
        with self._changed:
            return len(self._queue) + self._sending

    def stop(self) -> None:
        """Ask the thread to end once its queue is empty."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def join(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for the thread to end."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            batch = self._take()
            if not batch:
                return
            self._send(batch)

    def _take(self) -> list[Message]:
        """Wait for messages and return a batch; return an empty list when the thread should end."""
        with self._changed:
            self._sending = False
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
            self._sending = True
            return batch


class PeerSender:
    """Sends messages to one peer.

    Large messages are sent by a thread of their own. When heartbeats waited behind an entry of
    0.8 MB on a link of 1 MB/s, each leader lost its lease before its first entry arrived, and no
    entry was ever committed. Large snapshot chunks are sent by several threads, in any order.
    """

    def __init__(
        self,
        transport: RaftTransport,
        group: str,
        address: str,
        deliver: Callable[[list[Message]], None],
        on_peer_down: Callable[[PeerDown], None],
    ) -> None:
        """Start the thread for small messages; the other one starts with the first large message.

        Args:
            transport: Makes the calls.
            group: Name of the group.
            address: RPC address of the peer.
            deliver: Receives the messages contained in the reply to a call.
            on_peer_down: Called when the peer's process has ended.
        """
        self._transport = transport
        self._group = group
        self._address = address
        self._deliver = deliver
        self._on_peer_down = on_peer_down
        self._small_thread = SenderThread(f"raft-{group}-to-{address}", self._send)
        self._large_thread: SenderThread | None = None
        self._chunk_threads: list[SenderThread] = []

    def put(self, message: Message) -> None:
        """Queue a message; a full queue drops its oldest message."""
        large_thread = self._large_thread
        large_pending = large_thread is not None and large_thread.is_busy()
        if isinstance(message, AppendRequest) and message.entries:
            if large_pending or _is_large(message):
                self._put_entries(message)
                return
        elif isinstance(message, AppendRequest) and large_pending:
            # A heartbeat that overtakes the entries would be rejected as if they were lost.
            self._small_thread.put(ContactRequest(header=message.header, sequence=message.sequence))
            return
        elif _is_large(message):
            self._put_chunk(message)
            return
        self._small_thread.put(message)

    def stop(self) -> None:
        """Ask the threads to end once their queues are empty."""
        for thread in self._threads():
            thread.stop()

    def join(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for each thread to end."""
        for thread in self._threads():
            thread.join(timeout_s)

    def _threads(self) -> list[SenderThread]:
        large = [] if self._large_thread is None else [self._large_thread]
        return [self._small_thread, *large, *self._chunk_threads]

    def _get_large_thread(self) -> SenderThread:
        if self._large_thread is None:
            self._large_thread = SenderThread(
                f"raft-{self._group}-large-to-{self._address}", self._send
            )
        return self._large_thread

    def _put_chunk(self, message: Message) -> None:
        """Queue a chunk at an idle thread, or else at the one with the fewest messages."""
        threads = self._chunk_threads
        if len(threads) < CHUNK_CALLS and all(thread.load() for thread in threads):
            name = f"raft-{self._group}-chunk-{len(threads)}-to-{self._address}"
            threads.append(SenderThread(name, self._send))
        min(threads, key=lambda thread: thread.load()).put(message)

    def _put_entries(self, message: AppendRequest) -> None:
        """Queue entries, replacing queued requests whose entries this request contains.

        A leader may resend the same entries with each heartbeat.
        """
        self._get_large_thread().replace(message, lambda queued: _covers(message, queued))

    def _send(self, batch: list[Message]) -> None:
        try:
            reply = self._transport.send(self._address, self._group, encode_messages(batch))
        except Exception:
            # Messages may be lost, but an ended thread would never send to this peer again.
            logger.exception("group {}: failed to send messages to {}", self._group, self._address)
            return
        if isinstance(reply, Failure) and reply.kind is FailureKind.NOT_LISTENING:
            self._on_peer_down(PeerDown(address=self._address, term=batch[-1].header.term))
        if not isinstance(reply, bytes) or not reply:
            return
        answers = decode_messages(reply)
        if isinstance(answers, Failure):
            return
        for answer in answers:
            self._drop_acknowledged(answer)
        self._deliver(answers)

    def _drop_acknowledged(self, answer: Message) -> None:
        """Drop queued requests whose entries the peer has just acknowledged."""
        if isinstance(answer, AppendReply) and answer.accepted and self._large_thread is not None:
            self._large_thread.drop(lambda queued: _is_acknowledged(answer, queued))


def _is_large(message: Message) -> bool:
    if isinstance(message, AppendRequest):
        return sum(len(entry.payload) for entry in message.entries) >= LARGE_BYTES
    return isinstance(message, SnapshotChunk) and len(message.data) >= LARGE_BYTES


def _last_index(message: AppendRequest) -> int:
    return message.previous.index + len(message.entries)


def _covers(message: AppendRequest, queued: Message) -> bool:
    """Return whether a request contains all entries of a queued one for the same replica."""
    return (
        isinstance(queued, AppendRequest)
        and queued.header.to_id == message.header.to_id
        and queued.header.term <= message.header.term
        and message.previous.index <= queued.previous.index
        and _last_index(queued) <= _last_index(message)
    )


def _is_acknowledged(answer: AppendReply, queued: Message) -> bool:
    """Return whether a replica's answer acknowledges the entries of a queued request."""
    return (
        isinstance(queued, AppendRequest)
        and queued.header.to_id == answer.header.from_id
        and queued.header.term == answer.header.term
        and _last_index(queued) <= answer.index
    )
