"""The prefix experiment: knowledge of caches helps, and a run can be repeated."""

from __future__ import annotations

from testbed.load.harm.scenario import HARM_SCENARIOS
from testbed.load.prefix_run import CacheFaults, PrefixRun, PrefixSource, RunFigures
from testbed.load.prefix_traffic import ConversationShape

SHAPE = ConversationShape(conversations_per_s=2.0, duration_s=6.0)
EVENTS = CacheFaults(delay_s=0.5, gap_ratio=0.1)


def run(weight: float, source: PrefixSource) -> RunFigures:
    return PrefixRun(HARM_SCENARIOS["kilimo"], SHAPE, 1, weight, source, EVENTS).run()


def test_knowing_the_caches_raises_the_hit_ratio() -> None:
    off = run(0.0, PrefixSource.NOTHING)
    aware = run(4.0, PrefixSource.EVENTS)
    assert aware.hit_ratio > 1.3 * off.hit_ratio
    assert off.requests == aware.requests > 0
    assert off.refused == aware.refused == 0


def test_a_seed_gives_the_same_figures_again() -> None:
    assert run(4.0, PrefixSource.EVENTS) == run(4.0, PrefixSource.EVENTS)
