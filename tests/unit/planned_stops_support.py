"""Test support: a planned stop of a gateway whose callers keep their connections.

Three control processes and three gateways run as real processes, their back ends are stand-ins.
``python -m tests.unit.planned_stops_support LINE --seed 1`` plays one line by hand.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

import fire
import urllib3
from tests.kept_failures import LOG_SOURCES
from tests.unit.resumed_streams_support import (
    BEAT_TIMEOUT_S,
    EXIT_ENDED,
    OLD,
    SETTLE_S,
    START_TIMEOUT_S,
    BackEnd,
    configuring,
    machines,
    of_soak,
    records,
    words,
)
from tests.unit.seeded_support import wait_until

from testbed.routed import RawCaller

stop_records = of_soak("stop_records")
stop_callers = of_soak("stop_callers")

GRACE_S = 8.0
"""From SIGTERM to SIGKILL, as the platform has it."""

GATEWAYS = 3
BACK_ENDS = 8
CALLERS = 40
SLOW = 2.0
SILENT_REQUESTS = 1_000
WARM_UP_S = 3.0
AFTERWARDS_S = 1.0
JOIN_TIMEOUT_S = 20.0
LINES = tuple(stop_callers.STREAMS_S)
"""Streams of the callers; one back end is silent and one is slow in each line."""


class Play:
    """A deployment, its back ends and its callers; ``close`` ends all of them.

    Args:
        folder: Where processes keep settings, disks and logs.
        line: One of ``LINES``.
        seed: Draws requests and their times.
        rule: Rule that the processes break on purpose (``deploy/soak/broken.py``).
        tree: Work tree whose programs are started; this one's if empty.
    """

    def __init__(
        self, folder: Path, line: str, seed: int = 1, rule: str = "", tree: str = ""
    ) -> None:
        self._seed = seed
        sizes = machines.Sizes()
        sizes.control, sizes.store, sizes.gateway = 3, 0, GATEWAYS
        self._ending = threading.Event()
        self._deployment = machines.Machines(folder, machines.Programs(tree, rule), sizes)
        logs = [folder / machine.name / "log" for machine in self._deployment.all]
        LOG_SOURCES.append(lambda: logs)
        self._gateways = self._deployment.of("gateway")
        http = urllib3.PoolManager(retries=False, timeout=BEAT_TIMEOUT_S, maxsize=BACK_ENDS * 2)
        self._operator = configuring.Operator(
            self._deployment, records.Records(), http, threading.Event(), threading.Event()
        )
        self._back_ends: list[BackEnd] = []
        self._requests: list[Any] = []
        self._threads: list[threading.Thread] = []
        self._callers = stop_callers.StopCallers(
            self._gateways, line, self._requests.append, self._ending
        )

    def start(self) -> None:
        """Start the processes and the back ends, of which one is silent and one is slow."""
        self._deployment.start()
        wait_until(self._deployment.are_up, START_TIMEOUT_S)
        wait_until(self._is_configured, START_TIMEOUT_S)
        self._back_ends = [
            BackEnd(f"i-{number}", OLD, self._operator.call) for number in range(1, BACK_ENDS + 1)
        ]
        for back_end in self._back_ends:
            assert back_end.is_known.wait(START_TIMEOUT_S), "a heartbeat was not taken"
        time.sleep(SETTLE_S)
        wait_until(self._serves, START_TIMEOUT_S)
        stop_callers.fall_silent(self._back_ends[0].stand_in, SILENT_REQUESTS)
        self._back_ends[1].stand_in.slowdown = SLOW

    def stop_a_gateway(self) -> Any:
        """Stop a gateway under the requests of all callers; return what became of them."""
        struck = self._gateways[0]
        for number in range(CALLERS):
            random = Random(f"{self._seed} planned stop {number}")
            thread = threading.Thread(target=self._callers.keep, args=(random, struck), daemon=True)
            self._threads.append(thread)
            thread.start()
        time.sleep(WARM_UP_S)
        at_s = time.monotonic()
        status = struck.stop(GRACE_S)
        stop = stop_records.PlannedStop(struck.name, at_s, time.monotonic(), status, True)
        print(f"{struck.name} ended with {status} {stop.ended_s - at_s:.2f} s after the SIGTERM")
        time.sleep(AFTERWARDS_S)
        self._ending.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)
        assert not any(thread.is_alive() for thread in self._threads), "callers are not done"
        return stop_records.judge_stops(self._requests, self._runs(), [stop])

    def close(self) -> None:
        """End all that was started here."""
        self._ending.set()
        self._deployment.kill()
        for back_end in self._back_ends:
            back_end.silence()
        for back_end in self._back_ends:
            back_end.close()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def _runs(self) -> list[Any]:
        return [
            stop_callers.run_of(seen, has_broken_off=False)
            for back_end in self._back_ends
            for seen in back_end.stand_in.seen[:]
            if seen.behaviour != "another"
        ]

    def _is_configured(self) -> bool:
        table = words.table(1, {}, stop_callers.LIMIT_MS)
        return self._operator.call("POST", words.REPLACE_PATH, table) is not None

    def _serves(self) -> bool:
        for gateway in self._gateways:
            caller = RawCaller(f"{gateway.host}:{machines.CALLERS_PORT}", START_TIMEOUT_S)
            headers = {"Host": words.HOST, words.REQUEST_ID: "check", words.DEADLINE_MS: "500"}
            try:
                if caller.ask("POST", "/repeatable/check", headers, b"ask").status != 200:
                    return False
            finally:
                caller.close()
        return True


def play(line: str, folder: Path, seed: int = 1, rule: str = "", tree: str = "") -> Any:
    """Play a line and return its outcome; all processes have ended when it returns or raises.

    Args:
        line: One of ``LINES``.
        folder: Where the processes keep settings, disks and logs.
        seed: Draws requests and their times.
        rule: Rule that the processes break on purpose (``deploy/soak/broken.py``).
        tree: Work tree whose programs are started; this one's if empty.
    """
    played = Play(folder, line, seed, rule, tree)
    try:
        played.start()
        outcome = played.stop_a_gateway()
    finally:
        played.close()
    print(f"{line}, seed {seed}: {outcome.text()}")
    return outcome


def main(
    line: str = "", seed: int = 1, rule: str = "", program_tree: str = "", keep: str = ""
) -> None:
    """Play a line by hand and print its figures; without a line, print their names.

    Args:
        line: One of the lines.
        seed: Draws requests and their times.
        rule: Rule that the processes break on purpose (``deploy/soak/broken.py``).
        program_tree: Work tree whose programs are started; this one's if empty.
        keep: Folder under which the logs are kept; a temporary one if empty.
    """
    if line not in LINES:
        print("\n".join(LINES))
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(EXIT_ENDED))
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix=f"planned-stop-{seed}-", dir=keep or None))
    outcome = play(line, folder, seed, rule, program_tree)
    for told in (*outcome.cut, *outcome.cut_elsewhere, *outcome.broken):
        print(f"BROKEN {told}")
    print(f"logs: {folder}")


if __name__ == "__main__":
    fire.Fire(main)
