"""Leader side of a snapshot transfer: sends one chunk at a time and resends unanswered chunks."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from random import Random

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import SnapshotAnswered, SnapshotDelivered
from leverjunction.consensus.messages import SnapshotChunk
from leverjunction.consensus.snapshot import SnapshotSource
from leverjunction.consensus.types import Configuration, LogPosition

RESEND_INTERVAL_S = 1.0
RECEIVER_TIMEOUT_S = 10.0
STREAM_ID_BITS = 64
NO_CHUNK_WANTED = -1


@dataclass(frozen=True)
class AnswerAction:
    """Next step after a receiver's answer: send another chunk, end the transfer, or neither.

    Attributes:
        send_next: True when the next chunk is to be sent.
        ended: Event to pass to the core when the transfer has ended.
    """

    send_next: bool = False
    ended: SnapshotDelivered | None = None


class SnapshotSender:
    """Sends a snapshot of the tables to one peer. Called by the engine only."""

    def __init__(self, connection: sqlite3.Connection, chunk_bytes: int, random: Random) -> None:
        self._connection = connection
        self._chunk_bytes = chunk_bytes
        self._random = random
        self._source: SnapshotSource | None = None
        self._chunk: SnapshotChunk | None = None
        self._stream_id = ""
        self._start = LogPosition()
        self._answered_s = 0.0
        self._sent_s = 0.0
        self.replica_id = ""
        self.address = ""

    def start(self, replica_id: str, address: str, now_s: float) -> None:
        """Start a transfer and stop the previous one, if any."""
        self.stop()
        self.replica_id = replica_id
        self.address = address
        self._stream_id = f"{self._random.getrandbits(STREAM_ID_BITS):016x}"
        self._answered_s = now_s
        self._source = SnapshotSource(self._connection, self._chunk_bytes)

    def stop(self) -> None:
        """Stop the transfer, if one is in progress."""
        if self._source is not None:
            self._source.close()
        self._source = None
        self._chunk = None
        self.replica_id = ""

    def next_chunk(self, core: RaftCore, applied_index: int, now_s: float) -> SnapshotChunk:
        """Return the next chunk, read from the tables in their state at ``applied_index``."""
        assert self._source is not None
        term = core.log.term_at(applied_index)
        assert term is not None
        position = LogPosition(term=term, index=applied_index)
        number = 0 if self._chunk is None else self._chunk.number + 1
        if number == 0:
            self._start = position
        data, is_last = self._source.next_part()
        configuration = core.log.configuration_at(applied_index) if is_last else Configuration()
        self._chunk = SnapshotChunk(
            header=core.header(self.replica_id),
            stream_id=self._stream_id,
            number=number,
            start=self._start,
            data=data,
            final=position if is_last else None,
            configuration=configuration,
        )
        self._sent_s = now_s
        return self._chunk

    def handle_answer(self, answer: SnapshotAnswered) -> AnswerAction:
        """Handle the receiver's answer to a chunk; ignore answers to other transfers."""
        chunk = self._chunk
        if chunk is None or answer.stream_id != self._stream_id:
            return AnswerAction()
        if answer.replica_id != self.replica_id:
            return AnswerAction()
        self._answered_s = self._sent_s
        if answer.next_number == NO_CHUNK_WANTED:
            return AnswerAction(ended=SnapshotDelivered(self.replica_id, answer.matched_index))
        if answer.next_number == chunk.number + 1 and chunk.final is None:
            return AnswerAction(send_next=True)
        if answer.next_number < chunk.number:
            # The receiver restarted and lost its stage tables.
            return AnswerAction(ended=SnapshotDelivered(self.replica_id, None))
        return AnswerAction()

    def overdue_chunk(self, now_s: float) -> SnapshotChunk | None:
        """Return the unanswered chunk when it is due to be resent, else None."""
        if self._chunk is None or now_s - self._sent_s < RESEND_INTERVAL_S:
            return None
        self._sent_s = now_s
        return self._chunk

    def expired(self, now_s: float) -> SnapshotDelivered | None:
        """Return the failed end of a transfer whose receiver timed out, else None."""
        if self._source is None or now_s - self._answered_s < RECEIVER_TIMEOUT_S:
            return None
        return SnapshotDelivered(self.replica_id, None)
