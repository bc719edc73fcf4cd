"""Retry budget and the rule that says which attempts may be repeated."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind

MAX_SAVED_RETRIES = 20.0
MIN_RETRIES_PER_S = 0.5
"""A quiet service may still retry: without a floor its first failure could never be repeated."""

_REPEATABLE = frozenset(
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
    """Retries by service, as a share of its traffic. Pure; the caller serializes access."""

    def __init__(self) -> None:
        self._budgets: dict[str, _Budget] = {}

    def request(self, service: str, ratio: float, now_s: float) -> None:
        """Note a first attempt: it earns ``ratio`` of a retry."""
        budget = self._of(service, now_s)
        budget.saved = min(MAX_SAVED_RETRIES, budget.saved + ratio)

    def take(self, service: str, now_s: float) -> bool:
        """Spend one retry if there is one."""
        budget = self._of(service, now_s)
        if budget.saved < 1:
            return False
        budget.saved -= 1
        return True

    def _of(self, service: str, now_s: float) -> _Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _Budget(saved=MAX_SAVED_RETRIES, updated_s=now_s)
        earned = (now_s - budget.updated_s) * MIN_RETRIES_PER_S
        budget.saved = min(MAX_SAVED_RETRIES, budget.saved + max(0.0, earned))
        budget.updated_s = now_s
        return budget


def may_retry(failure: Failure, repeatable: bool) -> bool:
    """Return whether a failed attempt may be sent again.

    Either no back end can have received it, or the caller allows the request to run twice.
    """
    if failure.kind not in _REPEATABLE:
        return False
    return repeatable or failure.execution is Execution.NOT_RUN
