"""Batch jobs in heaps in the background: each is read back, and every item is checked."""

from __future__ import annotations

import threading
import time
import uuid
from collections import Counter

import msgspec

from testbed.fleet.caller import Caller, expected_text, job_line, result_text

FINAL_STATES = ("completed", "cancelled", "expired")
POLL_S = 0.5


class JobCheck(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one job.

    Attributes:
        batch_id: Id; empty when the job was not accepted.
        items: Items of the job.
        status: Status at the end of the check; the refusal's reason when it was not accepted.
        right: Items with exactly one right result.
        wrong: Items with a wrong result, or with several.
    """

    batch_id: str
    items: int
    status: str
    right: int = 0
    wrong: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether the job completed with each item right, exactly once."""
        return self.status == "completed" and self.right == self.items


class JobFeed:
    """Submits a job every few seconds until it is stopped, then checks all of them.

    Args:
        gateways: URLs of the gateways.
        key: API key of the batch tenant.
        model: Model that items ask for.
        items: Items of a job.
        interval_s: Time between two jobs, in seconds.
        tokens: Length of each answer.
    """

    def __init__(
        self,
        gateways: list[str],
        key: str,
        model: str,
        *,
        items: int,
        interval_s: float,
        tokens: int = 24,
    ) -> None:
        self._callers = [Caller(url, key) for url in gateways]
        self._model = model
        self._items = items
        self._interval_s = interval_s
        self._tokens = tokens
        self._jobs: list[tuple[str, dict[str, str]]] = []
        self._refusals: list[JobCheck] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._submit_all, name="job-feed", daemon=True)

    def start(self) -> None:
        """Begin to submit."""
        self._thread.start()

    def stop(self) -> None:
        """Submit no more."""
        self._stopping.set()
        self._thread.join()

    def check(self, timeout_s: float) -> list[JobCheck]:
        """Wait for the end of each accepted job and check its results through another gateway."""
        deadline_s = time.monotonic() + timeout_s
        checks = [self._check(batch_id, texts, deadline_s) for batch_id, texts in self._jobs]
        return checks + self._refusals

    def _submit_all(self) -> None:
        while not self._stopping.is_set():
            self._submit()
            self._stopping.wait(self._interval_s)

    def _submit(self) -> None:
        label = uuid.uuid4().hex[:10]
        texts = {f"item-{i}": f"{label} item {i}" for i in range(self._items)}
        lines = [job_line(name, self._model, text, self._tokens) for name, text in texts.items()]
        batch = {}
        for caller in self._callers:
            # A resend with the same key is the same job, whatever became of the first answer.
            batch = caller.submit_job(lines, idempotency_key=label)
            if "id" in batch:
                self._jobs.append((batch["id"], texts))
                return
        reason = str(batch.get("error", batch))
        self._refusals.append(JobCheck(batch_id="", items=self._items, status=reason))

    def _check(self, batch_id: str, texts: dict[str, str], deadline_s: float) -> JobCheck:
        caller = self._callers[-1]
        status = ""
        while status not in FINAL_STATES and time.monotonic() < deadline_s:
            status = str(caller.job(batch_id).get("status", ""))
            time.sleep(0.0 if status in FINAL_STATES else POLL_S)
        results = caller.results(batch_id)
        counts = Counter(line["custom_id"] for line in results)
        right = sum(
            counts[line["custom_id"]] == 1
            and result_text(line) == expected_text(self._model, texts[name], self._tokens)
            for line in results
            if (name := line["custom_id"]) in texts
        )
        return JobCheck(
            batch_id=batch_id,
            items=len(texts),
            status=status or "no answer",
            right=right,
            wrong=len(counts) - right,
        )
