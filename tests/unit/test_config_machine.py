"""Configuration of a process in a seeded deployment: defaults and validation."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from leverjunction.config.machine import MachineConfig, MachineElections, load_machine_config
from leverjunction.errors import Failure

SETTINGS: dict[str, object] = {
    "name": "front-1",
    "zone": "z",
    "seeds": ["127.0.0.1:9000"],
    "rpc_seed_port": 9001,
    "listen": {"rpc": "127.0.0.1:9002"},
}


def test_default_election_timing_is_consistent() -> None:
    times = MachineElections()
    assert times.heartbeat_s * 2 <= times.timeout_min_s < times.timeout_max_s


@pytest.mark.parametrize(
    "wrong",
    [
        {"heartbeat_s": 0.3},
        {"timeout_min_s": 0.8},
        {"timeout_max_s": 0.4},
        {"heartbeat_s": 0},
        {"timeout_min": 0.5},
    ],
    ids=["heartbeat too long", "no spread", "order", "zero", "unknown key"],
)
def test_inconsistent_election_timing_is_refused(tmp_path: Path, wrong: dict[str, float]) -> None:
    loaded = load(tmp_path, {**SETTINGS, "elections": wrong})
    assert isinstance(loaded, Failure)
    assert "elections" in loaded.reason


def load(folder: Path, content: object) -> MachineConfig | Failure:
    path = folder / "settings.yaml"
    path.write_text(json.dumps(content))
    return load_machine_config(path)


def test_omitted_keys_have_default_values(tmp_path: Path) -> None:
    loaded = load(tmp_path, SETTINGS)
    assert isinstance(loaded, MachineConfig)
    assert (loaded.losses, loaded.data_folder, loaded.metrics_port) == (1, None, 0)
    assert loaded.seed_addresses() == ("127.0.0.1:9001",)
    assert loaded.bounds.stop_grace_s == 8.0


@pytest.mark.parametrize(
    ("change", "message_parts"),
    [
        ({"seeds": []}, ["key seeds", "length >= 1"]),
        ({"rpc_seed_port": 70000}, ["key rpc_seed_port", "expected int <= 65535, got 70000"]),
        ({"losses": "two"}, ["key losses", "expected int, got str"]),
        ({"losses": -1}, ["key losses", ">= 0, got -1"]),
        ({"memory_mb": 0}, ["key memory_mb", ">= 1"]),
        ({"bounds": {"drain_ms": 0}}, ["key bounds.drain_ms", "> 0"]),
        ({"bounds": {"drain": 5}}, ["key bounds", "unknown field drain"]),
        ({"listen": {}}, ["key listen", "missing required field rpc"]),
        ({"first_start": "yes"}, ["key first_start", "expected bool"]),
        ({"unknown": 1}, ["unknown field unknown"]),
    ],
)
def test_errors_name_the_file_the_key_and_the_expected_value(
    tmp_path: Path, change: dict[str, object], message_parts: list[str]
) -> None:
    loaded = load(tmp_path, {**SETTINGS, **change})
    assert isinstance(loaded, Failure)
    for part in ("settings.yaml", *message_parts):
        assert part in loaded.reason


def test_processes_of_a_deployment_do_not_load_pydantic() -> None:
    """Loading a second validation library would slow down each start of a process."""
    roles = "leverjunction.platform.roles, leverjunction.proxy.process"
    nodes = "leverjunction.registry.node, leverjunction.lots.node"
    script = f"import sys, {roles}, {nodes}; print('pydantic' in sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert output.stdout.strip() == "False"
