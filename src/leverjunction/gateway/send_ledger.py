"""Own sends to each runner, which correct its lagging load reports."""

from __future__ import annotations

from collections import deque

import msgspec

from leverjunction.wire.messages import RunnerDigest

MAX_FINISHED = 4096
"""Finished sends remembered a runner; reports lag by far less than it takes to finish as many."""


class _Finished(msgspec.Struct, frozen=True):
    sent_ms: int
    finished_ms: int


class SendLedger:
    """Counts one gateway's sends by runner. Pure: times are passed in.

    The caller serializes access.
    """

    def __init__(self) -> None:
        self._open: dict[str, dict[str, int]] = {}
        self._finished: dict[str, deque[_Finished]] = {}

    def sent(self, runner_id: str, attempt_key: str, now_ms: int) -> None:
        """Record a send that starts now."""
        self._open.setdefault(runner_id, {})[attempt_key] = now_ms

    def finished(self, runner_id: str, attempt_key: str, now_ms: int) -> None:
        """Record that a send has ended; unknown ones are ignored."""
        sent_ms = self._open.get(runner_id, {}).pop(attempt_key, None)
        if sent_ms is None:
            return
        done = self._finished.setdefault(runner_id, deque(maxlen=MAX_FINISHED))
        done.append(_Finished(sent_ms, now_ms))

    def open_count(self, runner_id: str) -> int:
        """Return the number of own sends that are open on a runner."""
        return len(self._open.get(runner_id, {}))

    def expected_load(self, runner_id: str, digest: RunnerDigest | None) -> int:
        """Return the online requests to expect on a runner.

        That is its last report without batch, running or waiting, plus own sends since, less own
        sends that the report still counts but that have ended; never less than own open sends.
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
        done = self._finished.get(runner_id)
        if not done:
            return 0
        while done and done[0].finished_ms <= as_of_ms:
            done.popleft()
        return sum(1 for item in done if item.sent_ms <= as_of_ms < item.finished_ms)

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner that is gone and has no open sends."""
        if not self._open.get(runner_id):
            self._open.pop(runner_id, None)
            self._finished.pop(runner_id, None)
