"""Online estimate of a runner's step time from its load reports.

The model is linear: a base time, a cost per decoding sequence, and a cost of one prefill chunk. A
load report contains the time of the last step; the controller knows well enough from what it has
sent how many sequences decoded in that step and whether it contained a chunk of a batch prompt.
The three parameters are fitted by least squares with exponential forgetting. A weak
prior keeps them plausible, because the readings of a runner that always has the same load cannot
separate them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

INITIAL_BASE_MS = 10.0
"""Base step time before the first reading; afterwards the prior uses the shortest step seen."""

SEQUENCE_COST_RATIO = 0.04
PREFILL_COST_RATIO = 0.6
"""Prior cost of one sequence and of one prefill chunk, relative to the base step time.

The values are those of known engines.
"""

MIN_SEQUENCE_COST_RATIO = 0.01
MIN_PREFILL_COST_RATIO = 0.1
"""Lower bounds of the estimated costs relative to the base: batch work is never free."""

SEQUENCE_SCALE = 10.0
"""Divisor of the sequence count, so that the three parameters have similar magnitudes."""

FORGETTING_FACTOR = 0.995
"""Factor by which each new reading reduces the weight of all earlier ones.

The memory is about 200 readings, well under a minute.
"""

PRIOR_WEIGHT = 0.5
"""Weight of the prior, in readings."""

MIN_STEP_DRIFT = 1.0005
"""Growth of the remembered shortest step per reading, so that it can rise again."""

OUTLIER_RATIO = 1.3
"""A longer step, relative to the prediction, is ignored while online requests run.

Such a step contained an online prompt of unknown length.
"""

_UNKNOWNS = 3
_Row = list[float]


@dataclass
class StepTimeModel:
    """Learns from readings and predicts step times in milliseconds.

    Attributes:
        base_ms: Time of a step without sequences.
        per_sequence_ms: Added time per decoding sequence.
        prefill_ms: Added time of one chunk of a batch prompt.
    """

    base_ms: float = INITIAL_BASE_MS
    per_sequence_ms: float = INITIAL_BASE_MS * SEQUENCE_COST_RATIO
    prefill_ms: float = INITIAL_BASE_MS * PREFILL_COST_RATIO
    _min_step_ms: float = 0.0
    _matrix: list[_Row] = field(default_factory=lambda: [[0.0] * _UNKNOWNS] * _UNKNOWNS)
    _vector: _Row = field(default_factory=lambda: [0.0] * _UNKNOWNS)

    def predict_ms(self, sequences: int, *, has_prefill: bool = False) -> float:
        """Return the predicted time of a step in milliseconds.

        Args:
            sequences: Number of decoding sequences.
            has_prefill: Whether the step also processes a chunk of a batch prompt.
        """
        prefill_ms = self.prefill_ms if has_prefill else 0.0
        return self.base_ms + self.per_sequence_ms * sequences + prefill_ms

    def observe(
        self, sequences: int, step_ms: float, *, has_prefill: bool, with_online: bool
    ) -> None:
        """Update the estimate with one reading.

        Args:
            sequences: Number of sequences that decoded in the step.
            step_ms: Time of the step in milliseconds.
            has_prefill: Whether the step also processed a chunk of a batch prompt.
            with_online: Whether the step may contain an online prompt of unknown length.
        """
        if sequences < 0 or step_ms <= 0:
            return
        expected_ms = self.predict_ms(sequences, has_prefill=has_prefill)
        if with_online and self._min_step_ms and step_ms > expected_ms * OUTLIER_RATIO:
            return
        drifted_ms = self._min_step_ms * MIN_STEP_DRIFT
        self._min_step_ms = min(step_ms, drifted_ms) if self._min_step_ms else step_ms
        row = [1.0, sequences / SEQUENCE_SCALE, 1.0 if has_prefill else 0.0]
        self._matrix = [
            [self._matrix[i][j] * FORGETTING_FACTOR + row[i] * row[j] for j in range(_UNKNOWNS)]
            for i in range(_UNKNOWNS)
        ]
        self._vector = [
            self._vector[i] * FORGETTING_FACTOR + row[i] * step_ms for i in range(_UNKNOWNS)
        ]
        self._fit()

    def _fit(self) -> None:
        base_ms = self._min_step_ms
        prior = [
            base_ms,
            base_ms * SEQUENCE_COST_RATIO * SEQUENCE_SCALE,
            base_ms * PREFILL_COST_RATIO,
        ]
        matrix = [list(row) for row in self._matrix]
        vector = list(self._vector)
        for index in range(_UNKNOWNS):
            matrix[index][index] += PRIOR_WEIGHT
            vector[index] += PRIOR_WEIGHT * prior[index]
        base, per_scaled_sequence, prefill = _solve(matrix, vector)
        self.base_ms = max(base, base_ms / 10)
        min_sequence_ms = self.base_ms * MIN_SEQUENCE_COST_RATIO
        self.per_sequence_ms = max(per_scaled_sequence / SEQUENCE_SCALE, min_sequence_ms)
        self.prefill_ms = max(prefill, self.base_ms * MIN_PREFILL_COST_RATIO)


def _solve(matrix: list[_Row], vector: _Row) -> _Row:
    """Solve a small positive definite system by Gaussian elimination."""
    size = len(vector)
    rows = [[*matrix[i], vector[i]] for i in range(size)]
    for pivot in range(size):
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            rows[row] = [a - factor * b for a, b in zip(rows[row], rows[pivot], strict=True)]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(rows[row][k] * solution[k] for k in range(row + 1, size))
        solution[row] = (rows[row][size] - known) / rows[row][row]
    return solution
