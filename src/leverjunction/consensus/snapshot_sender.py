"""Leader side of a snapshot transfer: sends a window of chunks and resends unanswered ones.

The window starts at one chunk and grows while answers are prompt, up to what the receiver accepts.
A link or receiver that is slow thus has few chunks waiting, and clients keep their share of it.
"""

from __future__ import annotations

import sqlite3
from collections import deque
from dataclasses import dataclass
from random import Random

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import SnapshotAnswered, SnapshotDelivered
from leverjunction.consensus.messages import SnapshotChunk
from leverjunction.consensus.snapshot import SnapshotSource
from leverjunction.consensus.types import SNAPSHOT_WINDOW_CHUNKS, Configuration, LogPosition

RESEND_INTERVAL_S = 1.0
RECEIVER_TIMEOUT_S = 10.0
PROMPT_ANSWER_S = RESEND_INTERVAL_S / 2
"""Longest time to an answer with which the window grows; slower answers shrink it before the
chunks that wait would be resent."""
STREAM_ID_BITS = 64
NO_CHUNK_WANTED = -1


@dataclass(frozen=True)
class AnswerAction:
    """Next step after a receiver's answer: send further chunks, end the transfer, or neither.

    Attributes:
        send_next: True when further chunks may be sent.
        ended: Event to pass to the core when the transfer has ended.
    """

    send_next: bool = False
    ended: SnapshotDelivered | None = None


@dataclass
class _SentChunk:
    """A chunk without an answer, and the monotonic time at which it was last sent, in seconds."""

    chunk: SnapshotChunk
    sent_s: float


class SnapshotSender:
    """Sends a snapshot of the tables to one peer. Called by the engine only."""

    def __init__(self, connection: sqlite3.Connection, chunk_bytes: int, random: Random) -> None:
        self._connection = connection
        self._chunk_bytes = chunk_bytes
        self._random = random
        self._source: SnapshotSource | None = None
        self._unanswered: deque[_SentChunk] = deque()
        self._next_number = 0
        self._read_all = False
        self._window = 1
        self._receiver_window = 1
        self._stream_id = ""
        self._start = LogPosition()
        self._answered_s = 0.0
        self._last_answered: _SentChunk | None = None
        self.replica_id = ""
        self.address = ""

    def start(self, replica_id: str, address: str, now_s: float) -> None:
        """Start a transfer and stop the previous one, if any."""
        self.stop()
        self.replica_id = replica_id
        self.address = address
        self._stream_id = f"{self._random.getrandbits(STREAM_ID_BITS):016x}"
        self._next_number = 0
        self._read_all = False
        self._window = 1
        self._receiver_window = 1
        self._answered_s = now_s
        self._source = SnapshotSource(self._connection, self._chunk_bytes)

    def stop(self) -> None:
        """Stop the transfer, if one is in progress."""
        if self._source is not None:
            self._source.close()
        self._source = None
        self._unanswered.clear()
        self._last_answered = None
        self.replica_id = ""

    def next_chunks(self, core: RaftCore, applied_index: int, now_s: float) -> list[SnapshotChunk]:
        """Return the chunks that the window allows to be sent now.

        Args:
            core: Core of this replica.
            applied_index: Index up to which the entries are applied to the tables.
            now_s: Monotonic time, in seconds.
        """
        self._adjust_window(now_s)
        chunks: list[SnapshotChunk] = []
        while not self._read_all and len(self._unanswered) < self._window:
            chunk = self._read_chunk(core, applied_index)
            self._unanswered.append(_SentChunk(chunk, now_s))
            chunks.append(chunk)
        return chunks

    def _read_chunk(self, core: RaftCore, applied_index: int) -> SnapshotChunk:
        """Return the next chunk, read from the tables in their state at ``applied_index``."""
        assert self._source is not None
        term = core.log.term_at(applied_index)
        assert term is not None
        position = LogPosition(term=term, index=applied_index)
        number = self._next_number
        self._next_number += 1
        if number == 0:
            self._start = position
        data, self._read_all = self._source.next_part()
        return SnapshotChunk(
            header=core.header(self.replica_id),
            stream_id=self._stream_id,
            number=number,
            start=self._start,
            data=data,
            final=position if self._read_all else None,
            configuration=(
                core.log.configuration_at(applied_index) if self._read_all else Configuration()
            ),
        )

    def _adjust_window(self, now_s: float) -> None:
        """Grow the window after a prompt answer, or shrink it after a slow one."""
        answered, self._last_answered = self._last_answered, None
        if answered is None:
            return
        self._answered_s = now_s
        step = 1 if now_s - answered.sent_s <= PROMPT_ANSWER_S else -1
        limit = min(self._receiver_window, SNAPSHOT_WINDOW_CHUNKS)
        self._window = max(1, min(self._window + step, limit))

    def handle_answer(self, answer: SnapshotAnswered) -> AnswerAction:
        """Handle the receiver's answer to a chunk; ignore answers to other transfers."""
        if not self._unanswered or answer.stream_id != self._stream_id:
            return AnswerAction()
        if answer.replica_id != self.replica_id:
            return AnswerAction()
        if answer.next_number == NO_CHUNK_WANTED:
            return AnswerAction(ended=SnapshotDelivered(self.replica_id, answer.matched_index))
        if self._is_restarted(answer):
            return AnswerAction(ended=SnapshotDelivered(self.replica_id, None))
        self._receiver_window = answer.window
        while self._unanswered and self._unanswered[0].chunk.number < answer.next_number:
            if self._unanswered[0].chunk.final is not None:
                break
            self._last_answered = self._unanswered.popleft()
        return AnswerAction(send_next=self._last_answered is not None)

    def _is_restarted(self, answer: SnapshotAnswered) -> bool:
        """Return whether the receiver has lost its stage tables since it acknowledged chunks.

        An answer that was overtaken by a later one also names an earlier chunk, but never the
        first, unless the receiver takes one chunk at a time: it then starts again at a repeated
        first chunk.
        """
        expected = self._unanswered[0].chunk.number
        if answer.window <= 1:
            return answer.next_number < expected
        return answer.next_number == 0 and expected > 0

    def overdue_chunk(self, now_s: float) -> SnapshotChunk | None:
        """Return the oldest unanswered chunk when it is due to be resent, else None."""
        if not self._unanswered or now_s - self._unanswered[0].sent_s < RESEND_INTERVAL_S:
            return None
        self._window = 1
        self._unanswered[0].sent_s = now_s
        return self._unanswered[0].chunk

    def expired(self, now_s: float) -> SnapshotDelivered | None:
        """Return the failed end of a transfer whose receiver timed out, else None."""
        if self._source is None or now_s - self._answered_s < RECEIVER_TIMEOUT_S:
            return None
        return SnapshotDelivered(self.replica_id, None)
