"""Which runs wait for an answer that will never come. Pure: the time is passed in.

A run may be silent and live: it waits in its back end's queue, or was preempted there. So silence
alone is a poor sign, and a long one is borne. What back ends report tells more: a run that its
back end does not have any more will never be heard of again, however soon that is known.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from leverjunction.lots.item_run import ItemRun

CONFIRM_S = 1.0
"""Seconds for which all reports must show too few requests: one that is odd or late counts for
nothing. With the settling time, a lost answer is found after some 1.6 s.
"""

MIN_SAMPLES = 3
"""Reports in that time at least; where back ends are read less often, it becomes longer."""

SETTLE_S = 0.5
"""Seconds after which a report shows what has happened: its age at the back end (some hundred ms),
the way of a request and of an event, and the pause in which a run's events are taken.
"""

GONE_SILENCE_S = 2.0
"""Seconds of silence after which a run is ended at a back end that has left: no report tells of
it, it would have to go elsewhere soon, and those that are let finish are heard of.
"""

MAX_TRUSTED_ENDS = 3
"""Runs of an item that reports may end: more, and the reports are wrong rather than the answers
lost. From then on only silence ends its runs.
"""

MAX_FIRST_SILENCE_S = 10.0
"""Seconds of silence that are borne of an item's first run at most, and where none is due."""

MAX_SILENCE_S = 60.0
"""Seconds of silence that end any run: as long as a whole run may take (``attempts``)."""

MIN_SILENCE_S = 2.0
"""Seconds of silence that are borne however soon an item is due; a queue takes that long."""

SILENCE_DUE_SHARE = 0.2
"""Of the time in which an item is due. With the doubling, two silent runs in a row take some 0.6
of that time, and a third fits in the rest.
"""


def silence_s(due_ms: float, silent: int) -> float:
    """Return how long an item's run may be silent.

    Args:
        due_ms: Time in which the item is due; 0 for none.
        silent: Runs in a row that were ended in silence: each doubles the time, so that an item
            whose runs begin slowly everywhere is run to its end after all.
    """
    first_s = MAX_FIRST_SILENCE_S
    if due_ms > 0:
        first_s = min(first_s, max(MIN_SILENCE_S, due_ms / 1000 * SILENCE_DUE_SHARE))
    return min(MAX_SILENCE_S, first_s * 2.0 ** min(silent, 8))


class LoadSample(NamedTuple):
    """What was known of a back end at one moment.

    Attributes:
        at_s: The moment.
        requests: What it told of, running and waiting, of all senders.
    """

    at_s: float
    requests: int


class LostRuns:
    """Compares what back ends report with the runs that this process has there."""

    __slots__ = ("_present", "_samples")

    def __init__(self) -> None:
        self._samples: dict[str, deque[LoadSample]] = {}
        self._present: frozenset[str] = frozenset()

    def clear(self) -> None:
        """Forget all reports."""
        self._samples.clear()

    def keep(self, runner_ids: frozenset[str]) -> None:
        """Take the back ends that are there; forget the others."""
        self._present = runner_ids
        self._samples = {
            key: samples for key, samples in self._samples.items() if key in runner_ids
        }

    def add_sample(self, runner_id: str, sample: LoadSample) -> None:
        """Take a back end's report."""
        samples = self._samples.setdefault(runner_id, deque())
        samples.append(sample)
        while len(samples) > MIN_SAMPLES and samples[1].at_s <= sample.at_s - CONFIRM_S:
            samples.popleft()

    def find(self, running: Iterable[ItemRun], now_s: float) -> list[ItemRun]:
        """Return the runs that are lost; each is to be ended."""
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
        """Return as many runs as all reports lack, those that have been silent longest."""
        if len(samples) < MIN_SAMPLES or samples[-1].at_s - samples[0].at_s < CONFIRM_S:
            return []
        settled_s = samples[0].at_s - SETTLE_S
        settled = [run for run in runs if run.sent_s is not None and run.sent_s <= settled_s]
        silent = [run for run in settled if run.heard_s <= settled_s]
        # What was heard of since the last report but for its way was there at all of them; what
        # was heard of last in between has perhaps just ended.
        living = sum(1 for run in settled if run.heard_s > samples[-1].at_s - SETTLE_S)
        # What gateways tell of is not counted: a request of theirs that hangs, or the word of one
        # that was killed, would end runs that live.
        missing = living + len(silent) - max(sample.requests for sample in samples)
        if missing <= 0:
            return []
        silent.sort(key=lambda run: run.heard_s)
        return [run for run in silent if run.lost_runs < MAX_TRUSTED_ENDS][:missing]
