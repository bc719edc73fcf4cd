"""What a runner's load reports teach about its step time: base, cost of a sequence, of prefill.

A report gives the last step's time and the sequences that ran. Steps that also read prompts take
longer, so the cost of decoding follows the lowest times seen at each number of sequences, and the
cost of prefill is what lies above that.
"""

from __future__ import annotations

BASE_MS_GUESS = 10.0
PER_SEQUENCE_MS_GUESS = 0.4
PREFILL_MS_GUESS = 4.0
"""Guesses in force until reports have come; typical of the engines that we know."""

FLOOR_DRIFT_RATIO = 1.01
"""Each reading lets the lowest time at its count rise a little, so that the model follows."""

PREFILL_SMOOTHING = 0.2
PREFILL_MIN_MS = 0.5
MAX_TRACKED_SEQUENCES = 512


class StepTimeModel:
    """Pure: learns from readings, predicts step times in milliseconds."""

    def __init__(self) -> None:
        self._lowest_ms: dict[int, float] = {}
        self._base_ms = BASE_MS_GUESS
        self._per_sequence_ms = PER_SEQUENCE_MS_GUESS
        self._prefill_ms = PREFILL_MS_GUESS

    @property
    def per_sequence_ms(self) -> float:
        """Cost of one more decoding sequence."""
        return self._per_sequence_ms

    @property
    def prefill_ms(self) -> float:
        """What a step that reads batch prompts takes longer, at its usual chunk."""
        return self._prefill_ms

    def predict_ms(self, sequences: int) -> float:
        """Return the time of a step that decodes this many sequences."""
        return self._base_ms + self._per_sequence_ms * sequences

    def observe(self, sequences: int, step_ms: float) -> None:
        """Learn from one reading."""
        if not 0 < sequences <= MAX_TRACKED_SEQUENCES or step_ms <= 0:
            return
        excess_ms = step_ms - self.predict_ms(sequences)
        if len(self._lowest_ms) > 1 and excess_ms > PREFILL_MIN_MS:
            self._prefill_ms += PREFILL_SMOOTHING * (excess_ms - self._prefill_ms)
        known = self._lowest_ms.get(sequences)
        risen = step_ms if known is None else known * FLOOR_DRIFT_RATIO
        self._lowest_ms[sequences] = min(step_ms, risen)
        self._fit()

    def _fit(self) -> None:
        """Fit base and slope by least squares over the lowest times; sane values only."""
        points = list(self._lowest_ms.items())
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        if spread > 0:
            slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
            # A slope of nothing would promise that batch costs nothing.
            self._per_sequence_ms = max(slope, mean_y / 1000)
        self._base_ms = max(mean_y - self._per_sequence_ms * mean_x, mean_y / 10)
