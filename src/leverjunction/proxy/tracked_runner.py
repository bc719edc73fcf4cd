"""What a gateway knows of one back end. Pure: the time is passed in.

What a back end tells of its load is some requests old, and other gateways send to it too. So its
load is what it told last, less what this gateway had there then, fading with age; plus what this
gateway has there now.
"""

from __future__ import annotations

import math

from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS
from leverjunction.registry.records import RunnerRecord

LOAD_FADES_S = 3.0
"""Time in which what others have at a back end fades to a third, as far as this gateway knows."""

DELAY_WEIGHT = 0.2
"""Of the newest head in the running average of a back end's delay."""

DELAY_FADES_S = 4.0

SUSPICION_FADES_S = 4.0
"""Time in which the suspicion of a back end fades to a third: it is then tried again."""

SUSPICION_MOST = 5.0

TRUSTED_SHARE = 0.5
"""What an answer leaves of the suspicion: one that fails every other request stays suspect."""

SHARED_FOR_S = 0.4
"""How long the leader's word goes before what answers tell: some of its words may be lost."""

BURST_FACTOR = 2.0
"""Requests that come for each that the loads tell of: these are from before a burst. In time of
165 gateways' requests in bursts of five times the lull: 0.968 with 1, 0.984 with 2 (emulator, means
of three seeds).
"""

EJECT_FIRST_S = 0.5

EJECT_MOST_S = 8.0


class TrackedRunner:
    """What this gateway knows of one back end.

    Attributes:
        record: Its record in the registry.
        own: Requests of this gateway that it works on.
        reading_ms: Time to read the prompts of those whose answers have not begun.
        others: Requests of others, as of ``told_s``.
        told_s: When it last told its load.
        slots: Requests that it can work on.
        ejected_until_s: Until then it gets no work as long as there is another.
    """

    __slots__ = (
        "_delay_ms",
        "_delayed_s",
        "_lag_s",
        "_shared_s",
        "_suspected_s",
        "_suspicion",
        "ejected_until_s",
        "load_updated_s",
        "other_requests",
        "own_requests",
        "pending_prefill_ms",
        "record",
        "slots",
    )

    def __init__(self, record: RunnerRecord) -> None:
        self.record = record
        self.own_requests = 0
        self.pending_prefill_ms = 0.0
        self.other_requests = 0.0
        self.load_updated_s = 0.0
        self.slots = max(1, record.slots)
        self.ejected_until_s = 0.0
        self._delay_ms = 0.0
        self._delayed_s = 0.0
        self._shared_s = float("-inf")
        self._lag_s = 0.0
        self._suspicion = 0.0
        self._suspected_s = 0.0

    def unseen(self, now_s: float, run_s: float) -> float:
        """Return how many requests of others have probably come since it told its load.

        As many begin as end: in the time of a run, as many as it has, and more in a burst.
        """
        age_s = min(now_s - self.load_updated_s + self._lag_s, run_s)
        return self.other_requests * BURST_FACTOR * age_s / run_s

    def load(self, now_s: float) -> float:
        """Return the requests that it probably has, running and waiting."""
        return self.own_requests + self.other_requests * math.exp(
            (self.load_updated_s - now_s) / LOAD_FADES_S
        )

    def record_head(self, head_s: float, tokens_in: int, now_s: float) -> None:
        """Take the time to an answer's head; reading the prompt is not counted as delay."""
        delay_ms = max(0.0, head_s * 1000 - tokens_in / PREFILL_TOKENS_PER_MS)
        known_ms = self.delay_ms(now_s)
        self._delay_ms = known_ms + (delay_ms - known_ms) * DELAY_WEIGHT
        self._delayed_s = now_s

    def delay_ms(self, now_s: float) -> float:
        """Return by how much its heads were late lately; forgotten when it is not asked."""
        return self._delay_ms * math.exp((self._delayed_s - now_s) / DELAY_FADES_S)

    def suspicion(self, now_s: float) -> float:
        """Return how much it is mistrusted: 1 right after a failure that came alone, then less."""
        return self._suspicion * math.exp((self._suspected_s - now_s) / SUSPICION_FADES_S)

    def failed(self, now_s: float) -> None:
        """Leave it alone for a while, longer each time."""
        self._suspicion = min(SUSPICION_MOST, self.suspicion(now_s) + 1)
        self._suspected_s = now_s
        pause_s = min(EJECT_MOST_S, EJECT_FIRST_S * 2 ** (self._suspicion - 1))
        self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def succeeded(self, now_s: float) -> None:
        """Trust it more, unless the answer is to a request from before its last failure."""
        if now_s >= self.ejected_until_s:
            self._suspicion = self.suspicion(now_s) * TRUSTED_SHARE
            self._suspected_s = now_s

    def report_load(self, load: EngineLoad, now_s: float) -> None:
        """Take the load that came with an answer of a request that is still counted here."""
        if load.slots:
            self.slots = load.slots
        if now_s - self._shared_s <= SHARED_FOR_S:
            # What it tells counts batch work too, which gives way.
            return
        self.other_requests = max(0.0, load.running + load.waiting - self.own_requests)
        self.load_updated_s = now_s
        self._lag_s = 0.0

    def set_other_load(self, online: int, now_s: float, lag_s: float = 0.0) -> None:
        """Take the online requests that other gateways have here, as the leader of batch tells.

        Args:
            online: Their number.
            now_s: Monotonic time.
            lag_s: How old what gateways have told the leader is on average.
        """
        self.other_requests = online
        self.load_updated_s = self._shared_s = now_s
        self._lag_s = lag_s
