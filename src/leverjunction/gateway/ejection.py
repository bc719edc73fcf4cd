"""Outlier ejection: a runner that fails repeatedly receives no requests until a probe succeeds."""

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
    has_crashed: bool = False
    """Its process was found to have ended, and has not been found running since."""


class Ejection:
    """Consecutive failures and ejections by runner.

    Pure: the monotonic time and the random generator are arguments. Not thread-safe: the caller
    serializes access.

    A runner is in use, ejected until a point in time, or probed. After the ejection, one request
    probes the runner: on success it is in use again, on failure it is ejected for twice as long,
    at most ``MAX_EJECTION_S`` plus jitter. A runner that has crashed is checked without a request
    first (``start_check_if_due``), since a request would fail for certain if it has not restarted.
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_success(self, runner_id: str) -> None:
        """Record a valid response of a runner, which is in use from then on."""
        self._health.pop(runner_id, None)

    def record_failure(
        self, runner_id: str, now_s: float, generator: random.Random
    ) -> float | None:
        """Record a failure of a runner.

        Returns:
            Duration of the ejection in seconds, None if the runner is not ejected.
        """
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

    def record_crash(self, runner_id: str, now_s: float, generator: random.Random) -> float | None:
        """Record that a runner's process has ended, which ejects it without further failures.

        Returns:
            Duration of the ejection in seconds, None if the runner is ejected already.
        """
        if self._is_blocked(runner_id, now_s):
            return None
        health = self._health.setdefault(runner_id, _Health())
        health.failures = FAILURES_TO_EJECT
        health.has_crashed = True
        return self.record_failure(runner_id, now_s, generator)

    def blocked(self, runner_ids: list[str], now_s: float) -> set[str]:
        """Return the runners of a service that must not be chosen now.

        The set is empty if it would contain more than ``MAX_EJECTED_RATIO`` of the runners: the
        cause is then probably this gateway or a fault common to all runners.

        Args:
            runner_ids: All runners of the service.
            now_s: Monotonic time in seconds.
        """
        blocked = {runner_id for runner_id in runner_ids if self._is_blocked(runner_id, now_s)}
        if len(blocked) > MAX_EJECTED_RATIO * len(runner_ids):
            return set()
        return blocked

    def start_probe_if_due(self, runner_id: str, now_s: float) -> bool:
        """Record that a request is sent to a runner.

        Returns:
            True if the request is the probe after an ejection.
        """
        health = self._health.get(runner_id)
        if health is None or health.ejections == 0 or health.probing:
            return False
        if now_s < health.ejected_until_s:
            return False
        health.probing = True
        return True

    def start_check_if_due(self, runner_id: str, now_s: float) -> bool:
        """Record that a crashed runner is checked before a request is sent to it.

        No request is sent there until ``end_check`` has been called.

        Returns:
            True if the runner must be checked now.
        """
        health = self._health.get(runner_id)
        if health is None or not health.has_crashed or self._is_blocked(runner_id, now_s):
            return False
        health.probing = True
        return True

    def end_check(
        self, runner_id: str, is_running: bool, now_s: float, generator: random.Random
    ) -> float | None:
        """Record the result of a check; the next request probes a runner that is running again.

        Returns:
            Duration of the next ejection in seconds, None if the runner is not ejected.
        """
        if not is_running:
            return self.record_failure(runner_id, now_s, generator)
        health = self._health.get(runner_id)
        if health is not None:
            health.probing = health.has_crashed = False
        return None

    def record_inconclusive(self, runner_id: str) -> None:
        """Record the end of a request that gives no information about the runner's health."""
        health = self._health.get(runner_id)
        if health is not None:
            health.probing = False

    def _is_blocked(self, runner_id: str, now_s: float) -> bool:
        health = self._health.get(runner_id)
        if health is None or health.ejections == 0:
            return False
        return health.probing or now_s < health.ejected_until_s
