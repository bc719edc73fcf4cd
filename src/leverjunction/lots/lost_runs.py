"""Detects runs whose response will never come. Pure: the time is passed in.

A run may be silent and still alive, because it waits in its back end's queue or was preempted
there. Silence alone is therefore a weak sign, and long silences are accepted. Load samples of the
back ends tell more: a run that its back end no longer has will never send anything again, so it is
ended as soon as the samples show that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from leverjunction.lots.item_run import ItemRun

CONFIRM_S = 1.0
"""Seconds for which all load samples must show too few requests, so that a single wrong or late one
has no effect. Together with the settling time, a lost response is detected after about 1.6 s.
"""

MIN_SAMPLES = 3
"""Samples required within that time. Where back ends are sampled less often, the time becomes
longer.
"""

SETTLE_S = 0.5
"""Seconds after which a load sample reflects an event: the sample's age at the back end (some
hundred milliseconds), the transmission of a request and of an event, and the interval at which a
run's events are read.
"""

GONE_SILENCE_S = 2.0
"""Seconds of silence after which a run at a back end that has left is ended. No load sample covers
it, and it would soon have to move elsewhere; runs that such a back end is allowed to finish do send
events.
"""

MAX_TRUSTED_ENDS = 3
"""Runs of an item that load samples may end. If there would be more, the samples are probably
wrong, and from then on only silence ends the item's runs.
"""

MAX_FIRST_SILENCE_S = 10.0
"""Longest accepted silence, in seconds, of an item's first run, and of runs of items without a due
time.
"""

MAX_SILENCE_S = 60.0
"""Seconds of silence that end any run: the longest time that a whole run may take (``attempts``).
"""

MIN_SILENCE_S = 2.0
"""Seconds of silence that are accepted however soon an item is due, since waiting in a queue may
take that long.
"""

SILENCE_DUE_SHARE = 0.2
"""Accepted silence as a share of the time in which an item is due. As the silence doubles with each
silent run, two in a row take about 0.6 of that time, and a third fits into the rest.
"""


def silence_s(due_ms: float, silent_runs: int) -> float:
    """Return how long an item's run may be silent, in seconds.

    Args:
        due_ms: Time in which the item is due, in milliseconds; 0 for none.
        silent_runs: Runs in a row that were ended in silence. Each doubles the time, so that an
            item whose runs start slowly everywhere is finished eventually.
    """
    first_s = MAX_FIRST_SILENCE_S
    if due_ms > 0:
        first_s = min(first_s, max(MIN_SILENCE_S, due_ms / 1000 * SILENCE_DUE_SHARE))
    return min(MAX_SILENCE_S, first_s * 2.0 ** min(silent_runs, 8))


class LoadSample(NamedTuple):
    """Load of a back end at one moment.

    Attributes:
        at_s: Time of the sample, in monotonic seconds.
        requests: Running and waiting requests that the back end reported, from all senders.
    """

    at_s: float
    requests: int


class LostRuns:
    """Compares the load that back ends report with the runs that this process has there."""

    __slots__ = ("_present", "_samples")

    def __init__(self) -> None:
        self._samples: dict[str, deque[LoadSample]] = {}
        self._present: frozenset[str] = frozenset()

    def clear(self) -> None:
        """Forget all samples."""
        self._samples.clear()

    def retain(self, runner_ids: frozenset[str]) -> None:
        """Set the present back ends, and drop the samples of all others."""
        self._present = runner_ids
        self._samples = {
            key: samples for key, samples in self._samples.items() if key in runner_ids
        }

    def add_sample(self, runner_id: str, sample: LoadSample) -> None:
        """Add a back end's load sample."""
        samples = self._samples.setdefault(runner_id, deque())
        samples.append(sample)
        while len(samples) > MIN_SAMPLES and samples[1].at_s <= sample.at_s - CONFIRM_S:
            samples.popleft()

    def find(self, running: Iterable[ItemRun], now_s: float) -> list[ItemRun]:
        """Return the lost runs, each of which is to be ended."""
        by_runner: dict[str, list[ItemRun]] = {}
        for run in running:
            if run.sent_s is not None:
                by_runner.setdefault(run.runner_id, []).append(run)
        lost: list[ItemRun] = []
        for runner_id, runs in by_runner.items():
            if runner_id in self._present:
                lost += self._missing(runs, self._samples.get(runner_id, deque()))
            else:
                lost += [run for run in runs if run.heard_s <= now_s - GONE_SILENCE_S]
        return lost

    def _missing(self, runs: list[ItemRun], samples: deque[LoadSample]) -> list[ItemRun]:
        """Return as many runs as all samples lack, those silent for longest first."""
        if len(samples) < MIN_SAMPLES or samples[-1].at_s - samples[0].at_s < CONFIRM_S:
            return []
        settled_s = samples[0].at_s - SETTLE_S
        settled = [run for run in runs if run.sent_s is not None and run.sent_s <= settled_s]
        silent = [run for run in settled if run.heard_s <= settled_s]
        # Runs heard from at the last sample, allowing for transmission, were present at all of
        # them. A run last heard from in between may just have ended, and is not counted.
        living = sum(1 for run in settled if run.heard_s > samples[-1].at_s - SETTLE_S)
        # Requests that gateways report are not counted: one that hangs, or an outdated report of a
        # killed gateway, would make runs that are alive look lost.
        missing = living + len(silent) - max(sample.requests for sample in samples)
        if missing <= 0:
            return []
        silent.sort(key=lambda run: run.heard_s)
        return [run for run in silent if run.lost_runs < MAX_TRUSTED_ENDS][:missing]
