"""Linearizability of a recorded history against a sequential model.

The search of Wing and Gong (1993) with the memoization of Lowe (2017): operations are linearized
one by one in every order that real time allows; a pair of (set of linearized operations, state)
that was seen before is not searched again. An operation whose answer was lost may take effect at
any later moment or never.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

State = TypeVar("State", bound=Hashable)
Input = TypeVar("Input")
Output = TypeVar("Output")

NEVER_S = math.inf
MAX_SEARCH_STEPS = 200_000


@dataclass(frozen=True)
class Operation(Generic[Input, Output]):
    """One call of a client.

    Attributes:
        call_s: When it was sent.
        return_s: When the answer arrived; NEVER_S when it was lost.
        request: What was asked.
        answer: What was answered; None when it was lost.
    """

    call_s: float
    return_s: float
    request: Input
    answer: Output | None

    @property
    def pending(self) -> bool:
        """Return whether the answer was lost."""
        return self.return_s == NEVER_S


class Model(Protocol[State, Input, Output]):
    """A sequential specification."""

    def initial(self) -> State:
        """Return the state before the first operation."""
        ...

    def step(self, state: State, operation: Operation[Input, Output]) -> Iterable[State]:
        """Return the states after an operation; none when its answer contradicts ``state``."""
        ...


def is_linearizable(
    model: Model[State, Input, Output], operations: Sequence[Operation[Input, Output]]
) -> bool:
    """Return whether the history can be explained by the model.

    Raises:
        RuntimeError: When the search grows beyond MAX_SEARCH_STEPS; a history that large says
            nothing, so the workload has to be made smaller instead of the check being skipped.
    """
    history = sorted(operations, key=lambda operation: operation.call_s)
    required = sum(1 << i for i, operation in enumerate(history) if not operation.pending)
    start: tuple[int, State] = (0, model.initial())
    seen = {start}
    stack = [start]
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        if len(seen) > MAX_SEARCH_STEPS:
            raise RuntimeError("history is too concurrent to be checked")
        for following in _successors(model, history, done, state):
            if following not in seen:
                seen.add(following)
                stack.append(following)
    return False


def _successors(
    model: Model[State, Input, Output],
    history: Sequence[Operation[Input, Output]],
    done: int,
    state: State,
) -> Iterable[tuple[int, State]]:
    """Yield what follows when one of the operations that may come next is linearized."""
    earliest_return_s = NEVER_S
    for i, operation in enumerate(history):
        if done >> i & 1:
            continue
        if operation.call_s > earliest_return_s:
            break
        earliest_return_s = min(earliest_return_s, operation.return_s)
        for following in model.step(state, operation):
            yield done | 1 << i, following
