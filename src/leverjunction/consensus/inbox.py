"""Queue of requests and messages for a replica's driver, and handles on which callers wait."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from leverjunction.consensus.events import Event, Propose, Read
from leverjunction.consensus.messages import Message
from leverjunction.errors import Failure

MAX_WAIT_S = 1.0
MAX_BATCH_PROPOSAL_BYTES = 4 * 1024 * 1024
"""Limit of the proposals in one batch, which keeps its sync far shorter than a leader's lease. The
last proposal of a batch may exceed it."""


class PendingResult:
    """The result of one request, on which its caller waits."""

    def __init__(self) -> None:
        self._resolved = threading.Event()
        self._result: bytes | Failure | None = None

    def resolve(self, result: bytes | Failure) -> None:
        """Set the result and wake the caller."""
        self._result = result
        self._resolved.set()

    def wait(self, timeout_s: float) -> bytes | Failure | None:
        """Return the result, or None when it is not set within ``timeout_s`` seconds."""
        self._resolved.wait(timeout_s)
        return self._result


class PeerCall:
    """A call from a peer, which waits for the replies to its messages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._done = threading.Event()
        self._replies: list[Message] = []

    def add(self, message: Message) -> None:
        """Add a reply (driver thread)."""
        self._replies.append(message)

    def done(self) -> None:
        """Mark all messages as handled, so that the call returns (driver thread)."""
        self._done.set()

    def wait(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds until the messages are handled."""
        self._done.wait(timeout_s)

    def replies(self) -> list[Message]:
        """Return the replies, or an empty list while the messages are still being handled."""
        return self._replies if self._done.is_set() else []


@dataclass
class InboxBatch:
    """Events, reads and calls that arrived since the previous batch.

    Attributes:
        events: Events for the core, in order of arrival.
        reads: Request id and query of each read in ``events``.
        calls: Calls from peers whose messages are in ``events``.
    """

    events: list[Event] = field(default_factory=list)
    reads: list[tuple[int, bytes]] = field(default_factory=list)
    calls: list[PeerCall] = field(default_factory=list)

    @property
    def has_events(self) -> bool:
        """True when the batch contains events; another batch is then likely to follow soon."""
        return bool(self.events)


class Inbox:
    """Thread-safe queue from which the driver takes all events and a limited size of proposals."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._batch = InboxBatch()
        self._proposals: deque[Propose] = deque()
        self._woken = False

    def put(self, event: Event) -> None:
        """Add an event."""
        self.put_all([event])

    def put_proposal(self, proposal: Propose) -> None:
        """Add a proposal; it may be taken in a later batch than events that are added after it."""
        with self._changed:
            self._proposals.append(proposal)
            self._changed.notify()

    def put_all(self, events: Sequence[Event]) -> None:
        """Add several events that are taken in the same batch."""
        with self._changed:
            self._batch.events.extend(events)
            self._changed.notify()

    def put_read(self, read: Read, query: bytes) -> None:
        """Add a read with its query."""
        with self._changed:
            self._batch.events.append(read)
            self._batch.reads.append((read.request_id, query))
            self._changed.notify()

    def put_call(self, events: Sequence[Event], call: PeerCall) -> None:
        """Add a peer's messages and the call that waits for the replies."""
        with self._changed:
            self._batch.events.extend(events)
            self._batch.calls.append(call)
            self._changed.notify()

    def wake(self) -> None:
        """Make the current or next call of ``take`` return without waiting."""
        with self._changed:
            self._woken = True
            self._changed.notify()

    def take(self, wait_s: float) -> InboxBatch:
        """Wait up to ``wait_s`` seconds for input and return it, with proposals up to the limit."""
        with self._changed:
            idle = not self._batch.events and not self._proposals and not self._woken
            if idle and wait_s > 0:
                self._changed.wait(min(wait_s, MAX_WAIT_S))
            batch, self._batch = self._batch, InboxBatch()
            batch.events.extend(self._take_proposals())
            self._woken = False
            return batch

    def _take_proposals(self) -> list[Propose]:
        taken: list[Propose] = []
        taken_bytes = 0
        while self._proposals and taken_bytes < MAX_BATCH_PROPOSAL_BYTES:
            taken.append(self._proposals.popleft())
            taken_bytes += len(taken[-1].payload)
        return taken
