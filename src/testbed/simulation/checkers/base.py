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


def overlaps(spans: Iterable[Span], begin_s: float, end_s: float) -> bool:
    """Return whether a stretch of time meets one of the spans."""
    return any(span.begin_s < end_s and span.end_s > begin_s for span in spans)


def gateway_impaired(history: History, gateway: str, begin_s: float, end_s: float) -> bool:
    """Return whether a gateway was down, frozen or cut off in a stretch of time."""
    return overlaps(history.gateway_impaired.get(gateway, []), begin_s, end_s)


def settled_s(history: History, gateway: str, since_s: float, grace_s: float) -> float:
    """Return the moment by which a gateway must know of what happened at ``since_s``."""
    spans = [*history.gateway_impaired.get(gateway, []), *history.control_impaired]
    return undisturbed_by(since_s, grace_s, spans)
