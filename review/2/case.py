"""The batch route moves to another service while batch items write their first events.

Each round, a heap of batch jobs comes, the operator moves the batch route to the other service, and
online requests of a route that stays come to the first one, so that batch items there make room.
Every listed result has to be the whole output of its item.
"""

from __future__ import annotations

import asyncio
import math
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import ZONES, CannotRunError, Fleet, Record, cannot_run, has_trouble
from world import Lot, Runner, Work, call, call_control, new_lot, read_results, ready, submit

HOST = "review.example"
PREFIX = "/batch/"
SERVICES = ("models-a", "models-b")
ONLINE = ("/online-a/", "/online-b/")
RUNNERS = 2
SLOTS = 19
ITEMS = 6
HEAP_LOTS = 4
ROUNDS = 24
ROUND_S = 3.4
MOVE_AFTER_S = 0.5
BURST_AFTER_S = 0.95
BURSTS = 8
BURST_GAP_S = 0.08
BURST_REQUESTS = 5
WORK = Work(events=30, first_s=1.0, event_s=0.04, pad=300)
FINISH_S = 12.0
READS_AT_ONCE = 40
LOAD_PREFIX = "/archive/"
LOAD_SENDERS = 3
LOAD_ITEMS = 20
LOAD_BODY_BYTES = 100_000
LOAD_LENGTH_S = 1.6


def configuration(version: int, service: str) -> dict[str, object]:
    """Return a configuration: a batch route to one of two services, and an online route to each."""
    batch = {
        "Name": "r-batch",
        "Hostname": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "batch",
        "TimeoutMs": 30000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 3,
        "DueMs": 60000,
        "MaxWaitS": 90,
        "SessionAffinity": True,
        "Resumable": True,
        "GapAimMs": 500,
    }
    online = [
        {
            "Name": f"r-{name}",
            "Hostname": HOST,
            "PathPrefix": prefix,
            "RouteKind": "idempotent",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 1500,
            "Priority": 0,
            "Service": name,
            "MaxAttempts": 1,
        }
        for name, prefix in zip(SERVICES, ONLINE, strict=True)
    ]
    archive = {**batch, "Name": "r-archive", "PathPrefix": LOAD_PREFIX, "Service": "archive"}
    engine = {"Slots": SLOTS, "KvCapacityTokens": 171000, "Models": [{"Name": "m"}]}
    services = [
        {"Name": name, "HealthPath": "/health", "MaxConnections": 300, "Engine": engine}
        for name in (*SERVICES, "archive")
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": [batch, archive, *online],
        "Services": services,
        "Limits": limits,
    }


class Case:
    """The rounds and what was seen in them."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._all: list[Runner] = []
        self._lots: list[Lot] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._is_over = False
        self._online: Counter[int] = Counter()
        self.broken = 0
        self.listed = 0

    async def play(self) -> None:
        """Play all rounds, wait for the results and judge them."""
        fleet = self._fleet
        await self._configure(1, SERVICES[0])
        if not await ready(fleet.ready, 20.0):
            raise CannotRunError("the gateways are not ready")
        for service in SERVICES:
            for place in range(RUNNERS):
                runner = Runner(fleet.seeds, service, "v1", WORK, SLOTS, ZONES[place])
                await runner.start()
                self._all.append(runner)
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        reader = loop.create_task(self._read_on())
        for number in range(ROUNDS):
            await self._round(number)
        self._is_over = True
        await asyncio.gather(reader, *self._tasks)
        for runner in self._all:
            runner.end()
        self._record.write(f"online requests were answered {dict(self._online)}")
        self._judge()

    async def _configure(self, version: int, service: str) -> None:
        body = configuration(version, service)
        answer = await call_control(self._fleet.seeds, "POST", "/api/Config.Replace", body)
        self._record.write(f"version {version}, batch to {service}: {answer.status}")
        if answer.status != 200:
            raise CannotRunError(f"the configuration was answered {answer.status}")

    async def _round(self, number: int) -> None:
        """Let batch jobs come, move their route, and let online requests come."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        place = number % 2 if has_trouble() else 0
        self._tasks += [loop.create_task(self._submit()) for _ in range(HEAP_LOTS)]
        await asyncio.sleep(MOVE_AFTER_S)
        if has_trouble():
            await self._configure(number + 2, SERVICES[1 - place])
        until_s = began_s + BURST_AFTER_S + LOAD_LENGTH_S
        for _ in range(LOAD_SENDERS):
            self._tasks.append(loop.create_task(self._submit_large(until_s)))
        await asyncio.sleep(max(0.0, began_s + BURST_AFTER_S - loop.time()))
        for _ in range(BURSTS):
            for _ in range(BURST_REQUESTS):
                self._tasks.append(loop.create_task(self._ask(ONLINE[place])))
            await asyncio.sleep(BURST_GAP_S)
        await asyncio.sleep(max(0.0, began_s + ROUND_S - loop.time()))

    async def _ask(self, prefix: str) -> None:
        headers = {
            "Host": HOST,
            "Leverjunction-Request-Id": os.urandom(8).hex(),
            "Leverjunction-Deadline-Ms": "8000",
        }
        gateway = self._fleet.callers[len(self._tasks) % len(self._fleet.callers)]
        answer = await call(gateway, "POST", f"{prefix}x", headers, b"x" * 100, 8.0)
        self._online[answer.status] += 1

    async def _submit(self) -> None:
        lot, body = new_lot(PREFIX, ITEMS)
        await submit(self._fleet.callers, HOST, PREFIX, lot, body)
        self._record.write(f"lot {lot.id} sent: {lot.statuses}; items {lot.items}")
        if lot.accepted:
            self._lots.append(lot)

    async def _submit_large(self, until_s: float) -> None:
        """Submit large batch jobs of another route, as other clients do."""
        while asyncio.get_running_loop().time() < until_s:
            lot, body = new_lot(LOAD_PREFIX, LOAD_ITEMS, LOAD_BODY_BYTES)
            await submit(self._fleet.callers, HOST, LOAD_PREFIX, lot, body)
            self._record.write(f"large lot {lot.id} sent: {lot.statuses}")

    async def _read_on(self) -> None:
        """Read results about twice a second until all are there, or some time after the end."""
        loop = asyncio.get_running_loop()
        ends_s = math.inf
        while loop.time() < ends_s:
            if self._is_over:
                ends_s = min(ends_s, loop.time() + FINISH_S)
            open_lots = [lot for lot in self._lots if len(lot.results) < len(lot.items)]
            if not open_lots and self._is_over:
                return
            reads = [
                read_results(self._fleet.callers, HOST, lot) for lot in open_lots[:READS_AT_ONCE]
            ]
            await asyncio.gather(*reads)
            await asyncio.sleep(0.5)

    def _judge(self) -> None:
        for runner in self._all:
            for run in runner.runs:
                self._record.write(
                    f"run of {run.request_id} at {run.runner_id} ({run.version}): after event"
                    f" {run.after}, wrote up to {run.sent}, whole: {run.whole}"
                )
        for lot in self._lots:
            for result in lot.results:
                self.listed += 1
                if result["State"] == "done" and result["Text"] != WORK.text(result["Id"]):
                    self.broken += 1
                    numbers = [line.split("/")[1] for line in result["Text"].split("\n")]
                    self._record.write(
                        f"BROKEN: lot {lot.id} lists item {result['Id']} as done with the events"
                        f" {','.join(numbers)}; its whole output has 1 to {WORK.events}"
                    )


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        with Fleet() as fleet, asyncio.Runner() as runner:
            case = Case(fleet, record)
            runner.run(case.play())
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        return cannot_run(error)
    expected = f"{case.listed} results were read, {case.broken} of them not the item's output"
    record.write(expected)
    print(expected)
    if not case.listed:
        return cannot_run("no result was listed")
    return 1 if case.broken else 0


if __name__ == "__main__":
    sys.exit(main())
