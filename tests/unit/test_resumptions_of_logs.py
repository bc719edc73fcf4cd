"""Tests that the share of resumed streams that go on is told from the gateways' lines."""

from __future__ import annotations

import importlib.util
import json
import subprocess
import sys
from pathlib import Path
from types import ModuleType

PROGRAM = Path(__file__).parent.parent.parent / "deploy" / "resumptions.py"


def load() -> ModuleType:
    spec = importlib.util.spec_from_file_location("resumptions", PROGRAM)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def line(event: str, request_id: str, **fields: object) -> str:
    decision = json.dumps({"event": event, "request_id": request_id, **fields})
    return f"  35.1 gateway-1 {decision}\n".replace(": ", ":")


def test_requests_that_went_on_and_the_ends_of_the_others_are_counted() -> None:
    found = load().summarize(
        [
            "12:00:00.000 INFO following control process\n",
            line("resumed", "a", resumes="x", reason="origin:directory, 1 of 3 answered"),
            line("went_on", "a", resumes="x"),
            line("cancelled", "a", reason="the caller disconnected"),
            line("resumed", "b", resumes="y", reason="origin:own"),
            line("refused", "b", reason="no slot; 3 requests are held"),
            line("refused", "new", reason="no slot; 4 requests are held"),
            '  35.2 gateway-1 {"event":"resumed","reques',
        ]
    )
    assert (found.resumed, found.went_on, found.named) == (2, 1, 2)
    assert found.sources == {"origin:directory": 1, "origin:own": 1}
    assert found.ends == {"refused: no slot": 1}


def run(tmp_path: Path, *lines: str) -> subprocess.CompletedProcess[str]:
    log = tmp_path / "log"
    log.write_text("".join(lines))
    return subprocess.run([sys.executable, PROGRAM, log], capture_output=True, text=True)


def test_a_log_in_which_no_resumed_request_names_an_attempt_is_an_error(tmp_path: Path) -> None:
    unnamed = line("resumed", "a", reason="origin:nobody knows")
    assert run(tmp_path, unnamed).returncode == 1
    assert run(tmp_path, unnamed, line("resumed", "b", resumes="x")).returncode == 0
    assert run(tmp_path, line("held", "c")).returncode == 0
