"""How long open items had no run in calm, and why, as the stores tell it."""

from __future__ import annotations

import json
import re
import threading
import time
from collections import Counter
from collections.abc import Iterable

import urllib3
from backends import Run
from machines import FIGURES_PORT, Machine, Machines
from records import LotRecord, Records, clock
from traffic import Traffic

IDLE_S = 18.0
"""Longest time in calm that an open item may have no run (FinishS of the platform)."""

LOOK_S = 1.0
TIMEOUT_S = 0.5
TOLD_S = 5.0
"""An item that had no run for so long is told, though no promise is broken yet."""

MOST_TOLD = 400
MOST_PRINTED = 8
FIGURE = re.compile(r'^lots_open_items\{reason="(\w+)"\} ([\d.]+)', re.MULTILINE)


class Idle:
    """An item that had no run for a while in calm.

    Attributes:
        item_id: The item.
        idle_s: Longest time in calm, in seconds, for which it was open without a run.
        open_s: How long it was open since its 202.
        is_open: Whether it is open now.
        runs: Runs of it that began before it was listed.
        reason: Why it waits, as the stores told last.
    """

    __slots__ = ("idle_s", "is_open", "item_id", "open_s", "reason", "runs")

    def __init__(
        self, item_id: str, idle_s: float, open_s: float, is_open: bool, runs: int
    ) -> None:
        self.item_id = item_id
        self.idle_s = idle_s
        self.open_s = open_s
        self.is_open = is_open
        self.runs = runs
        self.reason = ""

    def __str__(self) -> str:
        state = "open" if self.is_open else "at its end"
        return (
            f"item {self.item_id} had no run for {self.idle_s:.1f} s of calm, {state} after"
            f" {self.open_s:.1f} s, {self.runs} runs, reason: {self.reason or 'not told'}"
        )


def longest_gap_s(runs: Iterable[tuple[float, float | None]], from_s: float, to_s: float) -> float:
    """Return the longest time between two moments in which none of the runs was under way.

    Args:
        runs: Begin and end of each, in monotonic seconds; the end is None while it goes on.
        from_s: First moment.
        to_s: Last moment.
    """
    gap_s, free_s = 0.0, from_s
    for began_s, ended_s in sorted(runs, key=lambda run: run[0]):
        gap_s = max(gap_s, min(began_s, to_s) - free_s)
        free_s = max(free_s, to_s if ended_s is None else ended_s)
    return max(gap_s, to_s - free_s)


def idle_items(
    lots: Iterable[LotRecord], runs: list[Run], calm_s: float, now_s: float
) -> list[Idle]:
    """Return all items that were open in calm, those without a run for longest first.

    Args:
        lots: Batch jobs; those without deadly items are judged whose items all have to end.
        runs: All runs of items, refused ones left out.
        calm_s: Since when it is calm, in monotonic seconds.
        now_s: Current time.
    """
    times: dict[str, list[tuple[float, float | None]]] = {}
    for run in runs:
        times.setdefault(run.item_id, []).append((run.began_s, run.ended_s))
    found = []
    for lot in lots:
        if not lot.owed or lot.deadly:
            continue
        from_s = max(calm_s, lot.accepted_s)
        for number in range(lot.items):
            item_id = f"{lot.lot_id}.{number}"
            listed_s = lot.listed_s.get(item_id)
            until_s = now_s if listed_s is None else listed_s
            if until_s <= from_s:
                continue
            own = times.get(item_id, [])
            gap_s = longest_gap_s(own, from_s, until_s)
            earlier = sum(began_s < until_s for began_s, _ in own)
            open_s = until_s - lot.accepted_s
            found.append(Idle(item_id, gap_s, open_s, listed_s is None, earlier))
    return sorted(found, key=lambda idle: -idle.idle_s)


def told_reasons(logs: Iterable[str]) -> dict[str, str]:
    """Return the last thing that the stores told of each item that waited, with its time.

    Args:
        logs: What they wrote.
    """
    last: dict[str, tuple[int, str]] = {}
    for log in logs:
        for line in log.splitlines():
            start = line.find('{"')
            if start < 0 or '"waits"' not in line:
                continue
            try:
                told = json.loads(line[start:])
            except ValueError:
                continue
            at_ms = int(told.get("at_ms", 0))
            if at_ms >= last.get(told["item"], (0, ""))[0]:
                words = [told["reason"], told.get("detail", "")]
                quiet_s = told.get("quiet_ms", 0) / 1000
                word = " ".join(word for word in words if word)
                last[told["item"]] = at_ms, f"{word} ({clock(at_ms / 1000)}, quiet {quiet_s:.1f} s)"
    return {item: word for item, (_, word) in last.items()}


class CalmWatch:
    """Watches the open items from the first moment of calm; tells of them at the end.

    Args:
        machines: Its stores tell why items wait.
        records: The batch jobs.
        traffic: Its runners know the runs.
    """

    def __init__(self, machines: Machines, records: Records, traffic: Traffic) -> None:
        self._machines = machines
        self._records = records
        self._traffic = traffic
        self._calm_s = time.monotonic()
        self._ending = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._thread = threading.Thread(target=self._look, daemon=True)
        self.lines: list[str] = []
        """Open items by reason at each look, and those without a run at the end of the wait."""

    def start(self) -> None:
        """Watch from now on."""
        self._calm_s = time.monotonic()
        self._thread.start()

    def judge(self) -> list[str]:
        """Watch no more; return a line for each item that had no run for too long."""
        self._ending.set()
        self._thread.join()
        idle = self._idle()
        looks = len(self.lines)
        for item in idle[:MOST_TOLD]:
            if item.idle_s > TOLD_S or item.is_open:
                self.lines.append(f"CALM {item}")
        longest = idle[0] if idle else None
        long = [item for item in idle if item.idle_s > TOLD_S]
        reasons = Counter(item.reason.partition(" ")[0] or "not told" for item in long)
        told = ", ".join(f"{count} {reason}" for reason, count in reasons.most_common())
        self._records.calm_notes = [
            f"open items in calm: {len(idle)}, longest without a run: {longest or 'none'}",
            f"without a run for over {TOLD_S:.0f} s of calm: {len(long)} ({told or 'none'})",
            *self.lines[looks : looks + MOST_PRINTED],
        ]
        return [str(item) for item in idle if item.idle_s > IDLE_S]

    def _idle(self) -> list[Idle]:
        runs = self._traffic.backends.runs(refused=False)
        idle = idle_items(self._records.lots, runs, self._calm_s, time.monotonic())
        reasons = told_reasons(machine.log() for machine in self._machines.of("store"))
        for item in idle:
            item.reason = reasons.get(item.item_id, "")
        return idle

    def _look(self) -> None:
        while not self._ending.wait(LOOK_S):
            counts: Counter[str] = Counter()
            for machine in self._machines.of("store"):
                counts += _open_items(self._http, machine)
            opened = sum(lot.open_count for lot in self._records.lots[:] if lot.owed)
            told = ", ".join(f"{count} {reason}" for reason, count in counts.most_common())
            at_s = time.monotonic() - self._calm_s
            self.lines.append(
                f"{clock(time.time())} {at_s:.1f} s of calm: {opened} open, {told or 'none told'}"
            )


def _open_items(http: urllib3.PoolManager, machine: Machine) -> Counter[str]:
    """Return a store's open items by reason, none if it does not answer."""
    try:
        reply = http.request("GET", f"http://{machine.host}:{FIGURES_PORT}/metrics")
    except urllib3.exceptions.HTTPError:
        return Counter()
    found = FIGURE.findall(reply.data.decode(errors="replace"))
    return Counter({reason: int(float(count)) for reason, count in found if float(count)})
