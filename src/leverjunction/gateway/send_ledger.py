"""This gateway's sends to each runner, which correct the runner's outdated load report."""

from __future__ import annotations

from collections import deque

import msgspec

from leverjunction.wire.messages import RunnerDigest

MAX_FINISHED = 4096
"""Finished sends kept per runner; far fewer sends finish within the lag of a load report."""


class _Finished(msgspec.Struct, frozen=True):
    sent_ms: int
    finished_ms: int


class SendLedger:
    """Records one gateway's open and recently finished sends by runner.

    Pure: the wall-clock times are arguments. Not thread-safe: the caller serializes access.
    """

    def __init__(self) -> None:
        self._open: dict[str, dict[str, int]] = {}
        self._finished: dict[str, deque[_Finished]] = {}

    def sent(self, runner_id: str, attempt_key: str, now_ms: int) -> None:
        """Record a send that starts now."""
        self._open.setdefault(runner_id, {})[attempt_key] = now_ms

    def finished(self, runner_id: str, attempt_key: str, now_ms: int) -> None:
        """Record the end of a send; an unknown ``attempt_key`` is ignored."""
        sent_ms = self._open.get(runner_id, {}).pop(attempt_key, None)
        if sent_ms is None:
            return
        finished_sends = self._finished.setdefault(runner_id, deque(maxlen=MAX_FINISHED))
        finished_sends.append(_Finished(sent_ms, now_ms))

    def open_count(self, runner_id: str) -> int:
        """Return the number of open sends on a runner."""
        return len(self._open.get(runner_id, {}))

    def expected_load(self, runner_id: str, digest: RunnerDigest | None) -> int:
        """Return the expected number of online requests on a runner.

        The number is the online requests of the last load report, running or waiting, plus the
        sends since that report, minus the sends that the report counts but that have ended since.
        It is at least the number of open sends.

        Args:
            runner_id: Id of the runner.
            digest: Digest of the runner's last load report, None if there is none.
        """
        sends = self._open.get(runner_id, {})
        if digest is None:
            return len(sends)
        batch = digest.batch_running + digest.batch_waiting
        reported = max(0, digest.running + digest.waiting - batch)
        started = sum(1 for sent_ms in sends.values() if sent_ms > digest.as_of_ms)
        ended = self._ended_since(runner_id, digest.as_of_ms)
        return max(reported + started - ended, len(sends))

    def _ended_since(self, runner_id: str, as_of_ms: int) -> int:
        finished_sends = self._finished.get(runner_id)
        if not finished_sends:
            return 0
        while finished_sends and finished_sends[0].finished_ms <= as_of_ms:
            finished_sends.popleft()
        return sum(1 for item in finished_sends if item.sent_ms <= as_of_ms < item.finished_ms)

    def forget(self, runner_id: str) -> None:
        """Discard the records of a removed runner, unless it still has open sends."""
        if not self._open.get(runner_id):
            self._open.pop(runner_id, None)
            self._finished.pop(runner_id, None)
