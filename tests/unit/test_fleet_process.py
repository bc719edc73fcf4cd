"""A process of a fleet that ended early: what is told of it."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import cast

from testbed.fleet.plan import PlannedProcess
from testbed.fleet.process import LINES_TOLD, FleetProcess


def test_the_last_lines_of_its_log_are_told(tmp_path: Path) -> None:
    log_file = tmp_path / "gateway-3.log"
    log_file.write_bytes(b"".join(b"line %d\n" % n for n in range(100)) + b"cut \xff\xfe")
    process = FleetProcess(cast(PlannedProcess, SimpleNamespace(log_file=log_file)))
    lines = process.last_lines().splitlines()
    assert len(lines) == LINES_TOLD
    assert lines[-2] == "line 99"
    assert lines[-1].startswith("cut ")
