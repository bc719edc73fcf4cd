"""A process that runs many hollow runners; started by the scale run, reports by file.

Usage: ``python -m testbed.scale.runner_worker SPEC.json``. Runs until SIGTERM.
"""

from __future__ import annotations

import os
import random as random_module
import signal
import sys
import threading
from pathlib import Path

import msgspec

from testbed.orphans import end_with_starter
from testbed.scale.hollow_runner import HollowRunner, start_server


class RunnerProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Who a hollow runner claims to be."""

    runner_id: str
    zone: str
    service: str
    models: list[str]
    is_idle: bool = False


class RunnerWorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What one worker process runs."""

    profiles: list[RunnerProfile]
    seed: int
    addresses_path: str


def main() -> None:
    """Run the hollow runners that the spec file describes."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    end_with_starter(stop.set)
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=RunnerWorkerSpec)
    addresses: dict[str, str] = {}
    for index, profile in enumerate(spec.profiles):
        random = random_module.Random(spec.seed * 1_000_003 + index)
        server = start_server(
            HollowRunner(profile.runner_id, profile.models, random, profile.is_idle)
        )
        host, port = server.bind_addr[:2]
        addresses[profile.runner_id] = f"{host}:{port}"
    path = Path(spec.addresses_path)
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(addresses))
    partial.replace(path)
    stop.wait()
    # Hundreds of servers hold nothing worth an orderly stop, and their threads outlive main.
    os._exit(0)


if __name__ == "__main__":
    main()
