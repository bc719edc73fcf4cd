"""What callers and peers have brought since the driver's last batch, and how they wait."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from leverjunction.consensus.events import Event, Propose, Read
from leverjunction.consensus.messages import Message
from leverjunction.errors import Failure

LONGEST_PAUSE_S = 1.0
BATCH_PROPOSED_BYTES = 4 * 1024 * 1024
"""Bound of the proposals in one batch, so that its sync stays far below a leader's lease."""


class Ticket:
    """A caller's place to wait for one result."""

    def __init__(self) -> None:
        self._resolved = threading.Event()
        self._result: bytes | Failure | None = None

    def resolve(self, result: bytes | Failure) -> None:
        """Set the result and wake the caller."""
        self._result = result
        self._resolved.set()

    def wait(self, timeout_s: float) -> bytes | Failure | None:
        """Return the result, or None after ``timeout_s``."""
        self._resolved.wait(timeout_s)
        return self._result


class PeerCall:
    """A peer's call that waits for the replies to its messages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._done = threading.Event()
        self._replies: list[Message] = []

    def add(self, message: Message) -> None:
        """Add a reply (driver thread)."""
        self._replies.append(message)

    def done(self) -> None:
        """Let the call return (driver thread)."""
        self._done.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until the messages are handled."""
        self._done.wait(timeout_s)

    def replies(self) -> list[Message]:
        """Return the replies, none while the messages are still being handled."""
        return self._replies if self._done.is_set() else []


@dataclass
class InboxBatch:
    """All that came in since the last batch.

    Attributes:
        events: Events for the core, in order of arrival.
        reads: Request id and query of each read among them.
        calls: Peers' calls whose messages are among them.
    """

    events: list[Event] = field(default_factory=list)
    reads: list[tuple[int, bytes]] = field(default_factory=list)
    calls: list[PeerCall] = field(default_factory=list)

    @property
    def requests_work(self) -> bool:
        """True when something came in, so the next batch is probably close."""
        return bool(self.events)


class Inbox:
    """Thread-safe queue that the driver empties as a whole."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._batch = InboxBatch()
        self._proposals: deque[Propose] = deque()
        self._woken = False

    def put(self, event: Event) -> None:
        """Add an event."""
        self.put_all([event])

    def put_proposal(self, proposal: Propose) -> None:
        """Add a proposal; it may wait for a later batch than what comes after it."""
        with self._changed:
            self._proposals.append(proposal)
            self._changed.notify()

    def put_all(self, events: Sequence[Event]) -> None:
        """Add events that belong together."""
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
        """Let ``take`` return at once."""
        with self._changed:
            self._woken = True
            self._changed.notify()

    def take(self, pause_s: float) -> InboxBatch:
        """Wait up to ``pause_s`` for something to come in; return it, proposals up to a bound."""
        with self._changed:
            idle = not self._batch.events and not self._proposals and not self._woken
            if idle and pause_s > 0:
                self._changed.wait(min(pause_s, LONGEST_PAUSE_S))
            batch, self._batch = self._batch, InboxBatch()
            batch.events.extend(self._take_proposals())
            self._woken = False
            return batch

    def _take_proposals(self) -> list[Propose]:
        taken: list[Propose] = []
        taken_bytes = 0
        while self._proposals and taken_bytes < BATCH_PROPOSED_BYTES:
            taken.append(self._proposals.popleft())
            taken_bytes += len(taken[-1].payload)
        return taken
