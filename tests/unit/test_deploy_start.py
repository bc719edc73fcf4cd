"""The programs of the deployment, as real processes: settings, readiness, figures, planned stop."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.seeded_support import wait_until

REPOSITORY = Path(__file__).parent.parent.parent
START = str(REPOSITORY / "deploy" / "start.py")
HOST = f"127.{20 + os.getpid() % 200}.250.1"


def settings(**changes: object) -> dict[str, object]:
    return {
        "name": "front-1",
        "zone": "z",
        "seeds": [f"{HOST}:9000"],
        "rpc_seed_port": 9001,
        "first_start": True,
        "metrics_port": 9464,
        "listen": {
            "callers": f"{HOST}:8000",
            "ready": f"{HOST}:8001",
            "rpc": f"{HOST}:9002",
        },
        **changes,
    }


def start(role: str, path: Path | None) -> subprocess.Popen[str]:
    environment = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
    environment.pop("LEVERJUNCTION_SETTINGS", None)
    if path is not None:
        environment["LEVERJUNCTION_SETTINGS"] = str(path)
    return subprocess.Popen(
        [sys.executable, START, role],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def write(folder: Path, content: dict[str, object]) -> Path:
    path = folder / "settings.yaml"
    path.write_text(json.dumps(content))
    return path


def status(url: str) -> int:
    try:
        with urllib.request.urlopen(url, timeout=2) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


@pytest.fixture
def gateway(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    process = start("gateway", write(tmp_path, settings()))
    yield process
    process.kill()
    process.wait()


def test_without_a_settings_file_the_reason_is_told(tmp_path: Path) -> None:
    for role, path, word in (
        ("gateway", None, "LEVERJUNCTION_SETTINGS"),
        ("other", None, "usage"),
        ("gateway", tmp_path / "missing.yaml", "cannot be read"),
    ):
        process = start(role, path)
        assert word in process.communicate(timeout=20)[0]
        assert process.returncode != 0


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"seeds": []}, "seeds"),
        ({"rpc_seed_port": 0}, "rpc_seed_port"),
        ({"losses": "two"}, "losses"),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_a_wrong_setting_is_named(tmp_path: Path, change: dict[str, object], key: str) -> None:
    process = start("gateway", write(tmp_path, settings(**change)))
    output = process.communicate(timeout=20)[0]
    assert process.returncode == 1
    assert key in output


def test_a_gateway_without_control_is_up_but_not_ready(gateway: subprocess.Popen[str]) -> None:
    wait_until(lambda: status(f"http://{HOST}:8001/api/ready") == 503)
    assert status(f"http://{HOST}:8000/any") == 503
    with urllib.request.urlopen(f"http://{HOST}:9464/metrics", timeout=2) as answer:
        text = answer.read().decode()
    assert "proxy_table_version 0.0" in text
    assert 'proxy_refusals_total{kind="stale"} 1.0' in text


def test_a_planned_stop_ends_in_time(gateway: subprocess.Popen[str]) -> None:
    wait_until(lambda: status(f"http://{HOST}:8001/api/ready") == 503)
    started_s = time.monotonic()
    gateway.send_signal(signal.SIGTERM)
    time.sleep(1)
    # Callers are still sent here until the platform has looked twice.
    assert status(f"http://{HOST}:8000/any") == 503
    assert gateway.wait(10) == 0
    assert 2.5 < time.monotonic() - started_s < 6


def test_a_store_serves_the_figures_of_its_items_and_tells_that_nobody_answers(
    tmp_path: Path,
) -> None:
    """It has no control process and no group yet: its figures are there all the same."""
    content = settings(name="store-1", data_folder=str(tmp_path / "data"))
    content["listen"] = {"rpc": f"{HOST}:9002"}
    url = f"http://{HOST}:9464/metrics"
    process = start("store", write(tmp_path, content))
    try:
        wait_until(lambda: status(url) == 200)
        with urllib.request.urlopen(url, timeout=2) as answer:
            text = answer.read().decode()
        assert "lots_stalled 0.0" in text
        assert "lots_registry_age_seconds" in text
        time.sleep(7.0)
    finally:
        process.terminate()
        output, _ = process.communicate(timeout=10)
    assert "WARNING no control process has answered for " in output


def test_a_control_process_that_cannot_write_its_disk_never_serves_and_ends(
    tmp_path: Path,
) -> None:
    """It stayed up without a replica, and gateways that came to it never heard of a change."""
    data = tmp_path / "data"
    data.mkdir()
    (data / "registry.sqlite").touch()
    # Takes no bytes, as a full disk.
    (data / "registry.sqlite.pages").symlink_to("/dev/full")
    host = f"127.{20 + os.getpid() % 200}.250.2"
    listen = {"control": f"{host}:8000", "rpc": f"{host}:9002"}
    process = start("control", write(tmp_path, settings(data_folder=str(data), listen=listen)))
    try:
        output = process.communicate(timeout=20)[0]
    except subprocess.TimeoutExpired:
        reached = is_listening(host, 9002)
        process.kill()
        pytest.fail(f"it did not end; its RPC port is open: {reached}; {process.communicate()[0]}")
    assert process.returncode not in (None, 0)
    assert "registry.sqlite" in output


def is_listening(host: str, port: int) -> bool:
    try:
        with socket.create_connection((host, port), timeout=2.0):
            return True
    except OSError:
        return False
