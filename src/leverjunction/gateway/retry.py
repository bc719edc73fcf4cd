"""Retry budget per service, and the rule for which failed attempts may be retried."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind

MAX_SAVED_RETRIES = 20.0
"""Upper bound of the retries that a service can accumulate."""

MIN_RETRIES_PER_S = 0.5
"""Retries that accrue without traffic; otherwise a service with little traffic could not retry."""

_RETRYABLE_KINDS = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LISTENING,
        FailureKind.OVERLOADED,
        FailureKind.RATE_LIMITED,
        FailureKind.NOT_FOUND,
        FailureKind.BACKEND_FAILED,
        FailureKind.BACKEND_MISMATCH,
        FailureKind.TIMEOUT,
    }
)


class _Budget(msgspec.Struct):
    saved: float
    updated_s: float


class RetryBudget:
    """Number of allowed retries by service, as a ratio of its requests.

    Pure: the monotonic time is an argument. Not thread-safe: the caller serializes access.
    """

    def __init__(self) -> None:
        self._budgets: dict[str, _Budget] = {}

    def request(self, service: str, ratio: float, now_s: float) -> None:
        """Record a first attempt, which adds ``ratio`` retries to the service's budget."""
        budget = self._budget(service, now_s)
        budget.saved = min(MAX_SAVED_RETRIES, budget.saved + ratio)

    def take(self, service: str, now_s: float) -> bool:
        """Take one retry from the budget; returns False if less than one is left."""
        budget = self._budget(service, now_s)
        if budget.saved < 1:
            return False
        budget.saved -= 1
        return True

    def _budget(self, service: str, now_s: float) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _Budget(saved=MAX_SAVED_RETRIES, updated_s=now_s)
        accrued = (now_s - budget.updated_s) * MIN_RETRIES_PER_S
        budget.saved = min(MAX_SAVED_RETRIES, budget.saved + max(0.0, accrued))
        budget.updated_s = now_s
        return budget


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether a request may be sent again after a failed attempt.

    A retry requires a kind of failure that another attempt may avoid. In addition, no back end can
    have run the request, or the request may run twice.

    Args:
        failure: Failure of the attempt.
        repeatable: True if the request may run more than once.
    """
    if failure.kind not in _RETRYABLE_KINDS:
        return False
    return repeatable or failure.execution is Execution.NOT_RUN
