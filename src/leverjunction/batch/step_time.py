"""What a runner's load reports teach about its step time: base, cost of a sequence, of prompts.

A report gives the last step's time. The step is explained by the sequences that decoded in it and
by whether it also read a chunk of a batch prompt; the controller knows both well enough from what
it has sent. The three costs follow by least squares with forgetting, held to plausible values by a
weak prior, since a runner that is always full of the same work does not tell them apart.
"""

from __future__ import annotations

from dataclasses import dataclass, field

BASE_MS_GUESS = 10.0
"""Base until a report has come; from then on the prior follows the shortest step seen."""

PER_SEQUENCE_PER_BASE = 0.04
PREFILL_PER_BASE = 0.6
"""Prior costs of a sequence and of a prompt chunk against the base, as of engines that we know."""

LEAST_PER_SEQUENCE_PER_BASE = 0.01
LEAST_PREFILL_PER_BASE = 0.1
"""Bounds below which an estimate is not believed: batch work is never free."""

SEQUENCE_SCALE = 10.0
"""Sequences are counted in tens, so that the three unknowns have about the same size."""

MEMORY = 0.995
"""Weight that a reading keeps with each later one: some 200 readings, well under a minute."""

PRIOR_WEIGHT = 0.5
SHORTEST_DRIFT = 1.0005
OUTLIER_RATIO = 1.3
"""Beside online work a step this much longer than predicted read an online prompt: no lesson."""

_UNKNOWNS = 3
_Row = list[float]


@dataclass
class StepTimeModel:
    """Pure: learns from readings, predicts step times in milliseconds."""

    base_ms: float = BASE_MS_GUESS
    per_sequence_ms: float = BASE_MS_GUESS * PER_SEQUENCE_PER_BASE
    prefill_ms: float = BASE_MS_GUESS * PREFILL_PER_BASE
    _shortest_ms: float = 0.0
    _matrix: list[_Row] = field(default_factory=lambda: [[0.0] * _UNKNOWNS] * _UNKNOWNS)
    _vector: _Row = field(default_factory=lambda: [0.0] * _UNKNOWNS)

    def predict_ms(self, sequences: int, *, reads_prompt: bool = False) -> float:
        """Return the time of a step that decodes this many sequences."""
        prefill_ms = self.prefill_ms if reads_prompt else 0.0
        return self.base_ms + self.per_sequence_ms * sequences + prefill_ms

    def observe(
        self, sequences: int, step_ms: float, *, reads_prompt: bool, beside_online: bool
    ) -> None:
        """Learn from one reading.

        Args:
            sequences: Sequences that decoded.
            step_ms: Time of the step.
            reads_prompt: Whether it read a chunk of a batch prompt as well.
            beside_online: Whether it may have read an online prompt, of unknown length.
        """
        if sequences < 0 or step_ms <= 0:
            return
        expected_ms = self.predict_ms(sequences, reads_prompt=reads_prompt)
        if beside_online and self._shortest_ms and step_ms > expected_ms * OUTLIER_RATIO:
            return
        drifted_ms = self._shortest_ms * SHORTEST_DRIFT
        self._shortest_ms = min(step_ms, drifted_ms) if self._shortest_ms else step_ms
        row = [1.0, sequences / SEQUENCE_SCALE, 1.0 if reads_prompt else 0.0]
        self._matrix = [
            [self._matrix[i][j] * MEMORY + row[i] * row[j] for j in range(_UNKNOWNS)]
            for i in range(_UNKNOWNS)
        ]
        self._vector = [self._vector[i] * MEMORY + row[i] * step_ms for i in range(_UNKNOWNS)]
        self._fit()

    def _fit(self) -> None:
        base_ms = self._shortest_ms
        prior = [
            base_ms,
            base_ms * PER_SEQUENCE_PER_BASE * SEQUENCE_SCALE,
            base_ms * PREFILL_PER_BASE,
        ]
        matrix = [list(row) for row in self._matrix]
        vector = list(self._vector)
        for index in range(_UNKNOWNS):
            matrix[index][index] += PRIOR_WEIGHT
            vector[index] += PRIOR_WEIGHT * prior[index]
        base, per_ten, prefill = _solve(matrix, vector)
        self.base_ms = max(base, base_ms / 10)
        least_ms = self.base_ms * LEAST_PER_SEQUENCE_PER_BASE
        self.per_sequence_ms = max(per_ten / SEQUENCE_SCALE, least_ms)
        self.prefill_ms = max(prefill, self.base_ms * LEAST_PREFILL_PER_BASE)


def _solve(matrix: list[_Row], vector: _Row) -> _Row:
    """Solve a small positive definite system by elimination."""
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
