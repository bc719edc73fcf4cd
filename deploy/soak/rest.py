"""What must be so at rest: every item of every accepted batch job has come to its end.

Each batch job is read at each gateway. Meanwhile each runner is asked what it works on, so that an
item that nothing works on is told apart from one that still runs.
"""

from __future__ import annotations

import os
import threading
import time
from collections import defaultdict

from backends import Run
from lots import LotClients
from machines import Machine, Machines
from records import LotRecord, Records
from traffic import Traffic

FINISH_S = 18.0
"""Time after which all is done, in calm (FinishS of the platform)."""

WORKED_S = 5.0
"""An item that no runner had for so long is worked on by nothing."""

FINISH_BESIDE_DEADLY_S = 90.0
"""The same for jobs with deadly items: their other items may wait besides for as long as the ends
of runners count against the job, a minute.
"""

STANDSTILL_S = 3.0
"""Nothing was listed for so long: the work stands still."""

POLL_S = 0.25
AFTERWARDS_S = 12.0
"""How long what is late is watched on, to see whether it comes at all: 30 s of calm together."""

BUSY_LOAD = 1.5
"""Processes that want to run for each core, from which on the machine is too busy to judge how
long anything takes; whether it stands still is judged all the same.
"""


class Rest:
    """Reads all batch jobs to their ends.

    Args:
        machines: Its gateways are read.
        records: The batch jobs.
        traffic: Runners and clients.
        beside_deadly: Judges the batch jobs with deadly items, else all others.

    Attributes:
        notes: What is told, but no broken promise.
        took_s: Time until all was at its end, or until the end of the wait for it.
    """

    def __init__(
        self,
        machines: Machines,
        records: Records,
        traffic: Traffic,
        *,
        beside_deadly: bool = False,
    ) -> None:
        self._beside_deadly = beside_deadly
        self._finish_s = FINISH_BESIDE_DEADLY_S if beside_deadly else FINISH_S
        self._machines = machines
        self._records = records
        self._traffic = traffic
        self._worked_s: dict[str, float] = {}
        self._busy_s = time.monotonic()
        self._listed_s = time.monotonic()
        self._ending = threading.Event()
        self.notes: list[str] = []
        self.took_s = 0.0

    def judge(self) -> list[str]:
        """Wait for the ends; return a line for each item that has none in time."""
        began_s = time.monotonic()
        threads = [
            threading.Thread(target=self._read, args=(machine,), daemon=True)
            for machine in self._machines.of("gateway")
        ]
        for thread in threads:
            thread.start()
        self._wait(began_s + self._finish_s)
        self.took_s = time.monotonic() - began_s
        is_late = not self._is_over()
        lines = self._lines(began_s)
        is_still = self._stands_still()
        load = os.getloadavg()[0] / (os.cpu_count() or 1)
        if is_late:
            self._wait(time.monotonic() + AFTERWARDS_S)
            left = sum(lot.open_count for lot in self._owed())
            waited_s = time.monotonic() - began_s
            lines.append(f"{waited_s:.0f} s into calm {left} items were open, load {load:.1f}")
        self._ending.set()
        for thread in threads:
            thread.join()
        if is_late and self._is_over() and not is_still and load > BUSY_LOAD:
            self.notes = lines
            return []
        return lines

    def _wait(self, until_s: float) -> None:
        left = -1
        while time.monotonic() < until_s and not self._is_over():
            now_s = time.monotonic()
            working = self._traffic.backends.working()
            for item_id in working:
                self._worked_s[item_id] = now_s
            if 2 * len(working) >= self._traffic.backends.slots():
                self._busy_s = now_s
            opened = sum(lot.open_count for lot in self._owed())
            if opened != left:
                left, self._listed_s = opened, now_s
            time.sleep(POLL_S)

    def _stands_still(self) -> bool:
        """Return whether items are open that nothing works on, though there is room for them."""
        now_s = time.monotonic()
        return (
            any(lot.open_count for lot in self._owed())
            and now_s - self._listed_s > STANDSTILL_S
            and now_s - self._busy_s > STANDSTILL_S
        )

    def _owed(self) -> list[LotRecord]:
        return [lot for lot in self._judged() if lot.owed]

    def _judged(self) -> list[LotRecord]:
        return [lot for lot in self._records.lots if bool(lot.deadly) == self._beside_deadly]

    def _is_over(self) -> bool:
        gateways = len(self._machines.of("gateway"))
        return all(len(lot.whole_at) == gateways for lot in self._judged() if lot.accepted)

    def _read(self, machine: Machine) -> None:
        """Read all batch jobs at one gateway, those that are whole once more from the start."""
        lots: LotClients = self._traffic.lots
        while not self._ending.wait(POLL_S):
            for lot in self._judged():
                if lot.accepted and machine.name not in lot.whole_at and not self._ending.is_set():
                    self._read_one(lots, lot, machine)

    def _read_one(self, lots: LotClients, lot: LotRecord, machine: Machine) -> None:
        if lot.owed and lot.open_count:
            lots.read(lot, machine, len(lot.listed))
        if lot.owed and lot.open_count:
            return
        known = len(lot.listed)
        count = lots.read(lot, machine, 0)
        if count is None:
            lot.deaf_at.add(machine.name)
            return
        lot.deaf_at.discard(machine.name)
        if count >= known:
            lot.whole_at.add(machine.name)

    def _lines(self, began_s: float) -> list[str]:
        now_s = time.monotonic()
        runs = _by_item(self._traffic.backends.runs())
        lines = []
        idle = 0
        for lot in self._owed():
            listed = {item_id for item_id, _, _ in lot.listed}
            for number in range(lot.items):
                item_id = f"{lot.lot_id}.{number}"
                if item_id in listed or item_id in lot.deadly:
                    continue
                is_idle = now_s - self._worked_s.get(item_id, 0.0) > WORKED_S
                idle += is_idle
                word = "nothing works on it" if is_idle else "it still runs"
                age_s = now_s - lot.accepted_s
                told = "; ".join(_told(run, began_s) for run in runs[item_id])
                lines.append(f"  {item_id} open {age_s:.1f} s, {word}; runs: {told or 'none'}")
            behind = {machine.name for machine in self._machines.of("gateway")} - lot.whole_at
            if not lot.open_count and behind:
                lines.append(f"  lot {lot.lot_id} isn't whole at {sorted(behind)}")
        if not lines:
            return []
        word = "STANDS STILL" if self._stands_still() else "goes on"
        first = (
            f"batch {word} {now_s - began_s:.0f} s into calm: {len(lines)} lines, items that"
            f" nothing works on: {idle}; the last item was listed {now_s - self._listed_s:.1f} s"
            f" ago, half of the slots were last taken {now_s - self._busy_s:.1f} s ago"
        )
        return [first, *lines]


def _by_item(runs: list[Run]) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.began_s):
        found[run.item_id].append(run)
    return found


def _told(run: Run, calm_s: float) -> str:
    ended = "goes on" if run.ended_s is None else f"{run.ended_s - calm_s:+.2f}"
    how = "whole" if run.whole else "cut"
    began = f"{run.began_s - calm_s:+.2f}"
    return f"{run.store or '?'} at {run.runner_id} {began} to {ended} {how}"
