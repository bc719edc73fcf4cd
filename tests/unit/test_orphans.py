"""What a run started ends with it, however the run ends.

A run of tests was ended, and two of its workers went on for minutes: they ended at a signal of the
process that had started them, and that was gone without sending one.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

STARTER = """
import subprocess, sys
worker = subprocess.Popen([sys.executable, *sys.argv[1:]])
print(worker.pid, flush=True)
sys.stdin.read()
"""
ENDED_S = 8.0


def test_a_worker_ends_when_its_starter_was_killed(tmp_path: Path) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    worker = ["-m", "testbed.load.consensus_worker", address, address, str(tmp_path / "db")]
    starter = subprocess.Popen(
        [sys.executable, "-c", STARTER, *worker],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert starter.stdout is not None
    process_id = int(starter.stdout.readline())
    _until_it_listens(address)
    starter.kill()
    starter.wait()
    until_s = time.monotonic() + ENDED_S
    while _is_alive(process_id) and time.monotonic() < until_s:
        time.sleep(0.1)
    lives = _is_alive(process_id)
    if lives:
        os.kill(process_id, 9)
    assert not lives


def _until_it_listens(address: str) -> None:
    host, _, port = address.rpartition(":")
    until_s = time.monotonic() + ENDED_S
    while True:
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except OSError:
            assert time.monotonic() < until_s, "the worker does not listen"
            time.sleep(0.1)
        else:
            return


def _is_alive(process_id: int) -> bool:
    try:
        status = Path(f"/proc/{process_id}/stat").read_text(encoding="utf8")
    except OSError:
        return False
    # A process whose new parent has not waited for it has ended all the same.
    return status.rpartition(")")[2].split()[0] != "Z"
