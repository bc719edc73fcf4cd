"""What a leader knows of one peer."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum


class ProgressState(StrEnum):
    """How entries are sent to a peer."""

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@dataclass
class Progress:
    """A peer's replication state on the leader.

    Attributes:
        match_index: Highest index that the peer is known to hold durably.
        next_index: First index to send next.
        state: One message at a time (probe), pipelined (replicate), or a snapshot transfer.
        inflight: Last index of each unanswered append message, oldest first.
        probe_sent: True while a probe is unanswered; a heartbeat sends the next one.
        acked_sequence: Highest message round that the peer has answered.
        contact_s: Monotonic time at which that round was sent, in seconds.
        heard_s: Monotonic time at which anything came from the peer, in seconds.
        blank: True when the peer said that it is blank, so it needs a snapshot or the founding.
    """

    next_index: int
    contact_s: float
    match_index: int = 0
    state: ProgressState = ProgressState.PROBE
    inflight: deque[int] = field(default_factory=deque)
    probe_sent: bool = False
    acked_sequence: int = 0
    heard_s: float = -math.inf
    blank: bool = False

    def matched(self, index: int) -> None:
        """Record that the peer holds everything up to ``index``."""
        self.match_index = max(self.match_index, index)
        while self.inflight and self.inflight[0] <= self.match_index:
            self.inflight.popleft()
        if self.state is ProgressState.PROBE:
            self.state = ProgressState.REPLICATE
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probe_sent = False

    def probe(self, next_index: int) -> None:
        """Go back to one message at a time, from ``next_index``."""
        self.state = ProgressState.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.inflight.clear()
        self.probe_sent = False
