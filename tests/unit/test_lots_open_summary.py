"""A store tells why its open items wait, since when and what ends that, also without a leader."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterator
from pathlib import Path
from typing import cast

import msgspec
import pytest
from loguru import logger
from tests.unit.test_lots_isolation import SERVICE, item, play, watch
from tests.unit.test_lots_runner_monitor import (
    LineCapture,
    MonitorFixture,
    metric,
    shows_open,
)

from leverjunction.lots.isolation import LOT_IDLE_PATIENCE_S, Isolation
from leverjunction.lots.item_status import Reason, ServiceAvailability
from leverjunction.lots.leader_watch import NO_LEADER_S
from leverjunction.lots.lost_runs import silence_s
from leverjunction.lots.placement import Placement
from leverjunction.lots.runner_monitor import LOG_AFTER_S, SUMMARY_INTERVAL_S
from leverjunction.lots.wait_ends import WHAT_ENDS

OPERATIONS = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    """Plain log lines, with their level."""
    written: list[str] = []
    handler = logger.add(lambda message: written.append(str(message)), format="{level} {message}")
    yield written
    logger.remove(handler)


class _RunningTask:
    """A task that goes on."""

    def done(self) -> bool:
        return False


def summaries(log_lines: list[str]) -> list[str]:
    return [line for line in log_lines if "open items of jobs-0 in term 1" in line]


def test_each_reason_says_what_ends_it_and_the_page_has_the_same_words() -> None:
    assert set(WHAT_ENDS) == {reason.value for reason in Reason}
    text = OPERATIONS.read_text()
    rows = dict(re.findall(r"^\| `(\w+)` \|[^|]*\|([^|]*)\|[^|]*\|$", text, re.MULTILINE))
    assert {key: rows.get(key, "").strip() for key in WHAT_ENDS} == WHAT_ENDS


def test_held_items_are_summarized_with_the_end_of_the_hold(
    log_lines: list[str],
    capfd: pytest.CaptureFixture[str],
) -> None:
    """A store with held items looked like one whose items just wait for their turn."""
    fixture = MonitorFixture(["a", "b"], ["a", "b"])
    held = fixture.runs["lot", "a"]
    held.placement = Placement.HELD
    fixture.hold_end_s = fixture.clock.now_s + 30.0
    fixture.update(1)
    assert summaries(log_lines) == [
        "INFO open items of jobs-0 in term 1: 2 open, 0 running;"
        f" 1 held for up to 0.0 s (item a of lot lot), until {WHAT_ENDS['held']}, in 29.0 s;"
        f" 1 waits_turn for up to 0.0 s (item b of lot lot), until {WHAT_ENDS['waits_turn']};"
        " command under way for 0 s, 0 results wait\n"
    ]
    del fixture.runs["lot", "b"]
    fixture.update(round(LOG_AFTER_S) + 1)
    assert "1 open, 0 running; 1 held for up to 5.0 s" in summaries(log_lines)[1]
    assert metric("lots_open_reason_seconds", reason="held") == 6.0
    (line,) = LineCapture(capfd).wait("waits")
    assert (line["ends"], line["ends_in_ms"]) == (WHAT_ENDS["held"], 24000)
    fixture.update(20)
    assert len(summaries(log_lines)) == 2 + 21 // round(SUMMARY_INTERVAL_S)


def test_nothing_is_summarized_while_everything_flows(log_lines: list[str]) -> None:
    fixture = MonitorFixture(["a"], [])
    fixture.update(1)
    assert not summaries(log_lines), "a store that begins to lead without items has nothing to tell"
    fixture = MonitorFixture(["a"], ["a"])
    for _ in range(20):
        fixture.update(1)
        fixture.runs["lot", "a"].trace.heard_s = fixture.clock.now_s
    assert len(summaries(log_lines)) == 1, "only at the start of leading"


def test_the_end_of_an_ejection_is_told(log_lines: list[str]) -> None:
    fixture = MonitorFixture(["a"], ["a"])
    fixture.service = ServiceAvailability(known=1, ejected_until_s=1010.0)
    fixture.update(8)
    assert f"until {WHAT_ENDS['ejected']}, in 4.0 s" in summaries(log_lines)[-1]


def test_a_run_that_waits_for_a_silent_back_end_is_summarized(log_lines: list[str]) -> None:
    fixture = MonitorFixture(["a"], ["a"])
    run = fixture.runs["lot", "a"]
    fixture.update(1)
    run.task = cast("asyncio.Task[None]", _RunningTask())
    run.trace.start(fixture.clock.now_s)
    silence_end_s = fixture.clock.now_s + silence_s(run.item.due_ms, 0)
    fixture.update(6)
    (_, line) = summaries(log_lines)
    left_s = silence_end_s - fixture.clock.now_s + 1.0
    assert "1 open, 1 running; 1 runs for up to 4.0 s" in line
    assert f"until {WHAT_ENDS['runs']}, in {left_s:.1f} s" in line


def test_the_end_of_the_patience_for_an_idle_back_end_is_told() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        run = item("suspect")
        run.suspect_key = "k"
        run.placement = Placement.APART
        assert isolation.hold_end_s(run) is None
        assert isolation.pick_runner(run, SERVICE, watch(1, lambda _: 5)) is None
        assert run.wants_idle_s is not None
        assert isolation.hold_end_s(run) == run.wants_idle_s + LOT_IDLE_PATIENCE_S

    play(scenario)


@pytest.mark.parametrize("role", ["follower", "candidate"])
def test_a_group_without_a_leader_is_told_by_each_store(role: str, log_lines: list[str]) -> None:
    """Without a quorum no store told that items were open."""
    fixture = MonitorFixture(["a", "b"], [])
    fixture.status = msgspec.structs.replace(fixture.status, role=role, leader_address="")
    fixture.update(round(NO_LEADER_S))
    assert not any("no known leader" in line for line in log_lines)
    fixture.update(1)
    (line,) = [line for line in log_lines if "no known leader" in line]
    assert line.startswith("WARNING jobs-0 has had no known leader for 3.0 s: 2 open items")
    assert shows_open("no_leader", 2)()
    fixture.update(round(SUMMARY_INTERVAL_S))
    assert sum("no known leader" in line for line in log_lines) == 2
    fixture.status = msgspec.structs.replace(fixture.status, leader_address="10.0.0.1:1")
    fixture.update(1)
    assert "INFO jobs-0 has a leader again after 9.0 s: 10.0.0.1:1\n" in log_lines
    assert shows_open("no_leader", 0)()


def test_a_group_without_a_leader_and_without_open_items_is_silent(
    log_lines: list[str],
) -> None:
    fixture = MonitorFixture([], [])
    fixture.status = msgspec.structs.replace(fixture.status, role="follower", leader_address="")
    fixture.update(20)
    fixture.status = msgspec.structs.replace(fixture.status, leader_address="10.0.0.1:1")
    fixture.update(1)
    assert not any("leader" in line for line in log_lines)
