"""What every checker has in common."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from testbed.simulation.history import History, Span


@dataclass
class Finding:
    """Result of one checker on one run.

    Attributes:
        checks: Number of single facts that were checked.
        violations: One sentence for each fact that contradicts the promise.
    """

    checks: int = 0
    violations: list[str] = field(default_factory=list)

    def expect(self, holds: bool, otherwise: str) -> None:
        """Count one checked fact and keep ``otherwise`` when it does not hold."""
        self.checks += 1
        if not holds:
            self.violations.append(otherwise)


class Checker(Protocol):
    """Checks one promise."""

    name: str

    def check(self, history: History) -> Finding:
        """Return what the history says about the promise."""
        ...


def undisturbed_by(start_s: float, length_s: float, impaired: Iterable[Span]) -> float:
    """Return the end of the first stretch of ``length_s`` after ``start_s`` without impairment."""
    begin_s = start_s
    for span in sorted(impaired, key=lambda span: span.begin_s):
        if span.begin_s >= begin_s + length_s:
            break
        begin_s = max(begin_s, span.end_s)
    return begin_s + length_s
