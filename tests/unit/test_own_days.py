"""Days of our own: each file is read, says what it shows, and names no deployment's own things."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

FOLDER = Path(__file__).parents[2] / "deploy" / "days"
FILES = sorted(FOLDER.glob("*.toml"))
NEUTRAL = re.compile(r"@[csz][0-3]")
TRAFFIC_S = 34.0
"""Time for which all deployments have traffic at least."""

KINDS = frozenset(
    [
        "ack_lost",
        "add_nodes",
        "after_ack_kill",
        "after_ack_wipe",
        "answer_lost",
        "bad_config",
        "big_config",
        "burst",
        "clock_step",
        "config_change",
        "config_race",
        "config_storm",
        "core_cut",
        "disk_full",
        "disk_slow",
        "disk_stall",
        "garble",
        "give_up",
        "herd_kill",
        "hup",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "poison",
        "release",
        "replace_core",
        "replace_with_reuse",
        "reset_conns",
        "retire",
        "roll_term",
        "scale_in",
        "scale_out",
        "seed_turnover",
        "srv_crash",
        "srv_cut",
        "srv_grey",
        "srv_slow",
    ]
)
"""All kinds of trouble that may come on any deployment."""


def day_of(file: Path) -> dict[str, Any]:
    (day,) = tomllib.loads(file.read_text(encoding="utf8"))["day"]
    return day


def troubles_of(file: Path) -> list[dict[str, Any]]:
    day = day_of(file)
    return [*day["plan"], *day["faults"]]


@pytest.mark.parametrize("file", FILES, ids=[file.stem for file in FILES])
def test_a_day_is_whole_and_neutral(file: Path) -> None:
    shows = file.read_text(encoding="utf8").splitlines()[0]
    assert shows.startswith("# ")
    assert shows.endswith(".")
    day = day_of(file)
    assert (day["name"], day["slot"]) == (file.stem, "trouble")
    assert len(troubles_of(file)) >= 3
    for trouble in troubles_of(file):
        assert trouble["kind"] in KINDS
        assert 0 < trouble["at"] < TRAFFIC_S
        for field in ("service", "zone", "class"):
            assert field not in trouble or NEUTRAL.fullmatch(trouble[field])
    for stream in day["traffic"]:
        assert NEUTRAL.fullmatch(stream["zone"])
        assert all(NEUTRAL.fullmatch(kind) for kind in stream["mix"])


def test_every_kind_of_trouble_has_a_day() -> None:
    assert {item["kind"] for file in FILES for item in troubles_of(file)} == KINDS


def test_every_kind_of_single_trouble_strikes_early_midway_and_late() -> None:
    alone = [file for file in FILES if [item["at"] for item in troubles_of(file)] != []]
    thrice = [
        file
        for file in alone
        if sorted(item["at"] for item in troubles_of(file)) == [4.0, 15.0, 27.0]
    ]
    assert len(thrice) >= 30
