"""How long changes take to be in force everywhere: the figures, and the program."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from testbed.simulation.seeded.change_times import change_times
from testbed.simulation.seeded.changes_cli import CASES, changes
from testbed.simulation.seeded.history import Acknowledged, InForce, SeededHistory

SMALL = {"gateways": 3, "control": 3, "routes": 6}


def _history() -> SeededHistory:
    history = SeededHistory()
    history.gateway_disturbed = {"front-0": [], "front-1": []}
    history.acknowledged = [Acknowledged(1, 10.0, "core-0"), Acknowledged(2, 11.0, "core-1")]
    history.in_force = [
        InForce("front-0", 1, 1, 10.1),
        InForce("front-1", 1, 2, 11.4),
        InForce("front-0", 1, 2, 11.2),
    ]
    return history


def test_a_change_took_as_long_as_at_the_last_gateway() -> None:
    times = change_times(_history(), 10.0, 12.0)
    assert (times.changes, times.missing) == (2, 0)
    # The second gateway never had the first version: a later one stands for it.
    assert times.p50_s == pytest.approx(1.4)
    assert times.most_s == pytest.approx(1.4)
    assert change_times(_history(), 10.5, 12.0).most_s == pytest.approx(0.4)


def test_a_change_that_a_gateway_never_had_is_missing() -> None:
    history = _history()
    history.gateway_disturbed["front-2"] = []
    times = change_times(history, 10.0, 12.0)
    assert (times.changes, times.missing) == (2, 2)


def test_one_that_was_in_force_before_its_acknowledgement_took_no_time() -> None:
    history = _history()
    history.acknowledged = [Acknowledged(1, 15.0, "core-0")]
    assert change_times(history, 0.0, 20.0).most_s == 0.0


@pytest.mark.parametrize("case", CASES)
def test_each_case_plays(case: str, tmp_path: Path) -> None:
    report = tmp_path / "report.json"
    assert changes(case, **SMALL, json_file=str(report)) == 0
    (row,) = json.loads(report.read_text())
    assert row["changes"] > 30
    assert row["missing"] == 0
    assert row["most_s"] < 5.0


@pytest.mark.parametrize(
    ("arguments", "told"),
    [
        ({"case": "storm"}, "expected one of: quiet, hubs, start"),
        ({"gateways": 0}, "at least 1"),
        ({"routes": 0}, "at least 1"),
        ({"control": 2}, "a majority of 3 is needed"),
    ],
)
def test_bad_arguments_are_refused(
    arguments: dict[str, object], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert changes(**arguments) == 2  # type: ignore[arg-type]
    assert told in capsys.readouterr().err


def test_the_cases_are_listed(capsys: pytest.CaptureFixture[str]) -> None:
    assert changes("list") == 0
    assert capsys.readouterr().out.split() == [*CASES]
