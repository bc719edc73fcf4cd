"""Outlier ejection: runners that keep failing get no requests until a probe succeeds."""

from __future__ import annotations

import random

import msgspec

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
JITTER_RATIO = 0.2
MAX_EJECTED_RATIO = 0.5


class _Health(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    probing: bool = False


class Ejection:
    """Failures in a row by runner. Pure: now and random are passed in; the caller serializes.

    States of a runner: in use; ejected until a time; after it, one request probes it, which ends
    in use (success) or ejected for twice as long (failure).
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def succeeded(self, runner_id: str) -> None:
        """Note an answer of a runner: it is in use again."""
        self._health.pop(runner_id, None)

    def failed(self, runner_id: str, now_s: float, generator: random.Random) -> float | None:
        """Note a failure of a runner; returns for how long it is ejected, None when it is not."""
        health = self._health.setdefault(runner_id, _Health())
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT and not health.probing:
            return None
        duration_s = min(FIRST_EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
        duration_s *= 1 + JITTER_RATIO * generator.random()
        health.ejections += 1
        health.probing = False
        health.ejected_until_s = now_s + duration_s
        return duration_s

    def blocked(self, runner_ids: list[str], now_s: float) -> set[str]:
        """Return the runners of a service that must not be chosen now.

        When more than ``MAX_EJECTED_RATIO`` of them would be, the fault is likely on this side or
        common to all: then none is.
        """
        blocked = {runner_id for runner_id in runner_ids if self._is_blocked(runner_id, now_s)}
        if len(blocked) > MAX_EJECTED_RATIO * len(runner_ids):
            return set()
        return blocked

    def chosen(self, runner_id: str, now_s: float) -> bool:
        """Note that a runner gets a request; returns True when that request is its probe."""
        health = self._health.get(runner_id)
        if health is None or health.ejections == 0 or health.probing:
            return False
        if now_s < health.ejected_until_s:
            return False
        health.probing = True
        return True

    def abandoned(self, runner_id: str) -> None:
        """Note that a request ended without saying anything about the runner's health."""
        health = self._health.get(runner_id)
        if health is not None:
            health.probing = False

    def _is_blocked(self, runner_id: str, now_s: float) -> bool:
        health = self._health.get(runner_id)
        if health is None or health.ejections == 0:
            return False
        return health.probing or now_s < health.ejected_until_s
