"""Where worth was lost, and how two sets of plays compare."""

from __future__ import annotations

import importlib.util
import json
import subprocess
import sys
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

PROGRAM = Path(__file__).parent.parent.parent / "deploy" / "worth.py"
PER_S = 4.0
SITE = f"""
thin = 0.5
[[services]]
name = "lm"
slots = 4
servers = [{{ count = 4 }}]
llm = {{ step_ms = 10.0, stride = 5 }}
[[services]]
name = "app"
slots = 6
servers = [{{ count = 3 }}]
[[classes]]
name = "ask"
worth = 3.0
service = "lm"
stream = {{ pieces = {{ mean = 20 }} }}
[[classes]]
name = "plan"
worth = 10.0
service = "lm"
stream = {{ pieces = {{ mean = 40 }} }}
lot = {{ run_aim_ms = 10000.0, items = {{ mean = 2.0 }} }}
[[classes]]
name = "page"
worth = 1.0
service = "app"
[[traffic]]
mix = {{ ask = 1.0 }}
per_s = {PER_S}
shape = {{ kind = "steady" }}
[[traffic]]
mix = {{ plan = 1.0 }}
per_s = 1.0
shape = {{ kind = "steady" }}
[[day]]
name = "calm"
"""


def report(worth: float = 0.7, *events: dict[str, Any]) -> dict[str, Any]:
    return {
        "G": worth,
        "served": 0.9,
        "parts": [["whole day", 0.75, 0.9]],
        "prices": [["machine-seconds", 10.0, 0.1]],
        "classes": [{"name": "ask", "worth": 0.95}],
        "windows": [{"name": "0"}, {"name": "38"}],
        "events": list(events),
    }


def gone(servers: int) -> dict[str, Any]:
    return {"kind": "scale_in", "at_s": 0.0, "to_s": 0.0, "what": f"{servers} servers"}


@pytest.fixture
def site(tmp_path: Path) -> Path:
    path = tmp_path / "site.toml"
    path.write_text(SITE)
    return path


@pytest.fixture
def worth() -> ModuleType:
    spec = importlib.util.spec_from_file_location("worth", PROGRAM)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def run(*arguments: object) -> subprocess.CompletedProcess[str]:
    words = [sys.executable, str(PROGRAM), *map(str, arguments)]
    return subprocess.run(words, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    ("servers_gone", "least", "most"),
    # Slots: 8 less 4 for each back end. On-line requests need 2, batch items need 2.
    [(0, 0.999, 1.0), (1, 0.99, 1.0), (2, 0.0, 0.0)],
    ids=["all there", "just enough", "none left"],
)
def test_the_bound_follows_the_slots_that_are_left(
    worth: ModuleType, site: Path, servers_gone: int, least: float, most: float
) -> None:
    form = tomllib.loads(site.read_text())
    share = worth.bound(form, report(0.7, gone(servers_gone)), "calm")
    assert least <= share <= most + 1e-9


def test_on_line_requests_are_served_before_batch(worth: ModuleType, site: Path) -> None:
    form = tomllib.loads(site.read_text().replace(f"per_s = {PER_S}", "per_s = 8.0"))
    # Four slots: on-line requests, 12 of 22 in worth a second, need them all. Of the batch items,
    # those of the last ten of 40 seconds can still be run when traffic has ended.
    share = worth.bound(form, report(0.7, gone(1)), "calm")
    assert share == pytest.approx(12 / 22 + 10 / 22 * 10 / 40, abs=0.04)


def test_a_line_tells_worth_parts_kinds_and_the_share_of_the_bound(
    site: Path, tmp_path: Path
) -> None:
    path = tmp_path / "calm-1.json"
    path.write_text(json.dumps(report()))
    result = run(site, path)
    assert result.returncode == 0, result.stderr
    assert result.stdout.startswith("calm-1: worth 0.700 = whole day 0.900, less prices 0.100;")
    assert "share of it 0.900" in result.stdout


def test_an_entry_tells_what_each_day_lost_the_most_first(tmp_path: Path) -> None:
    day = {
        **report(0.55),
        "name": "calm",
        "failed": 0.02,
        "refused": 0.0,
        "parts": [["whole day", 0.4, 0.9], ["nines", 0.35, 0.5], ["worst class", 0.1, 1.0]],
    }
    path = tmp_path / "entry.json"
    path.write_text(json.dumps({"days": [day]}))
    result = run("--entry", path)
    assert result.stdout == (
        "calm: worth 0.550, failed 0.0200, refused 0.0000;"
        " lost: nines 0.175, machine-seconds 0.100, whole day 0.040\n"
    )


def test_pairs_are_compared_by_day_and_together(tmp_path: Path) -> None:
    figures = {"a-1": (0.5, 0.6), "a-2": (0.5, 0.8), "b-1": (0.7, 0.7), "b-2": (0.7, None)}
    for name, values in figures.items():
        for folder, value in zip(("before", "after"), values, strict=True):
            (tmp_path / folder).mkdir(exist_ok=True)
            if value is not None:
                (tmp_path / folder / f"{name}.json").write_text(json.dumps(report(value)))
    result = run("--paired", tmp_path / "before", tmp_path / "after")
    assert result.stdout.splitlines() == [
        "a: 2 pairs, mean +0.200, spread 0.100, standard error 0.071",
        "all: 3 pairs, mean +0.133, spread 0.125, standard error 0.072",
        "b: 1 pairs, mean +0.000, spread 0.000, standard error 0.000",
    ]


def test_a_wrong_call_says_how_it_is_used() -> None:
    result = run("alone")
    assert result.returncode == 2
    assert result.stderr.startswith("usage: worth.py SITE REPORT")
