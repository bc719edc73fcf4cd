"""Runs a seed of the simulator in another process."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path


def digest_elsewhere(scenario: str, seed: int, hash_seed: str) -> str:
    """Return the digest of a history in a process with its own hash seed."""
    program = (
        "from testbed.simulation.run import Plan, run_seed\n"
        f"print(run_seed(Plan({scenario!r}), {seed}).digest)"
    )
    return subprocess.run(
        [sys.executable, "-c", program],
        check=True,
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent.parent,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    ).stdout.strip()
