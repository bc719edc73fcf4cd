"""Replication progress of a peer, as tracked by the leader."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum


class ProgressState(StrEnum):
    """How the leader sends entries to a peer.

    Values: ``PROBE`` sends one message at a time to find the matching index, ``REPLICATE`` sends
    pipelined messages, ``SNAPSHOT`` waits for a snapshot transfer.
    """

    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


@dataclass
class Progress:
    """Replication state of one peer.

    Attributes:
        next_index: Index of the next entry to send.
        contact_s: Monotonic time at which the last acknowledged round was sent, in seconds.
        match_index: Highest index that the peer is known to have persisted.
        state: How entries are sent to the peer.
        inflight: Last index of each unacknowledged append message, oldest first.
        probe_sent: True while a probe is unacknowledged; a heartbeat sends the next one.
        acked_sequence: Highest message round that the peer has acknowledged.
        last_received_s: Monotonic time of the last message from the peer, in seconds.
        blank: True when the peer replied that it is blank, so that it needs a snapshot or the
            founding record.
    """

    next_index: int
    contact_s: float
    match_index: int = 0
    state: ProgressState = ProgressState.PROBE
    inflight: deque[int] = field(default_factory=deque)
    probe_sent: bool = False
    acked_sequence: int = 0
    last_received_s: float = -math.inf
    blank: bool = False

    def record_match(self, index: int) -> None:
        """Record that the peer has persisted every entry up to ``index``."""
        self.match_index = max(self.match_index, index)
        while self.inflight and self.inflight[0] <= self.match_index:
            self.inflight.popleft()
        if self.state is ProgressState.PROBE:
            self.state = ProgressState.REPLICATE
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probe_sent = False

    def become_probe(self, next_index: int) -> None:
        """Return to probing with one message at a time, from ``next_index``."""
        self.state = ProgressState.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.inflight.clear()
        self.probe_sent = False
