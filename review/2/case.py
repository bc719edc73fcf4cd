"""A release of a service's runners while batch items write their first events.

Each round, the runners of one version of the software are replaced by those of the next one. The
new ones start first; the old ones announce their end, serve on for ``DrainMs`` and longer, and end.
Every listed result has to be the whole output of its item.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from fleet import ZONES, CannotRunError, Fleet, Record, cannot_run, has_trouble
from world import Lot, Runner, Work, call_control, new_lot, read_results, ready, submit

HOST = "review.example"
PREFIX = "/batch/"
SERVICE = "models"
RUNNERS = 12
SLOTS = 12
LOTS = 24
ITEMS = 4
ROUNDS = 8
LOAD_SERVICE = "archive"
LOAD_PREFIX = "/archive/"
LOAD_SENDERS = 3
LOAD_EACH = 4
LOAD_ITEMS = 20
LOAD_BODY_BYTES = 100_000
LOAD_AFTER_S = 2.4
WORK = Work(events=15, first_s=2.8, event_s=0.08, pad=300)
STAGGER_S = 0.04
LONGER_S = 0.03
ROUND_S = 9.0
FINISH_S = 20.0


def configuration() -> dict[str, object]:
    """Return the operator's configuration: one batch route and its service."""
    route = {
        "Name": "r-batch",
        "Hostname": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "batch",
        "TimeoutMs": 30000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 3,
        "DueMs": 60000,
        "MaxWaitS": 90,
        "SessionAffinity": True,
        "Resumable": True,
        "GapAimMs": 500,
    }
    engine = {"Slots": SLOTS, "KvCapacityTokens": 171000, "Models": [{"Name": "m"}]}
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConnections": 300,
        "Protocol": "h1",
        "Tls": False,
        "Engine": engine,
    }
    archive = {**route, "Name": "r-archive", "PathPrefix": LOAD_PREFIX, "Service": LOAD_SERVICE}
    others = {**service, "Name": LOAD_SERVICE}
    return {
        "Version": 1,
        "Routes": [route, archive],
        "Services": [service, others],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class Case:
    """The rounds and what was seen in them."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._runners: list[Runner] = []
        self._all: list[Runner] = []
        self._lots: list[Lot] = []
        self._drains: list[asyncio.Task[None]] = []
        self.broken = 0
        self.listed = 0

    async def play(self) -> None:
        """Play all rounds, wait for the results and judge them."""
        fleet = self._fleet
        answer = await call_control(fleet.seeds, "POST", "/api/Config.Replace", configuration())
        if answer.status != 200:
            raise CannotRunError(f"the configuration was answered {answer.status}")
        if not await ready(fleet.ready, 20.0):
            raise CannotRunError("the gateways are not ready")
        await self._start_runners(1)
        await asyncio.sleep(2.0)
        for number in range(1, ROUNDS + 1):
            await self._round(number)
        await self._read_on(FINISH_S)
        for drain in self._drains:
            await drain
        for runner in self._runners:
            runner.end()
        self._judge()

    async def _start_runners(self, number: int) -> None:
        runners = [
            Runner(
                self._fleet.seeds,
                SERVICE,
                f"v{number}",
                Work(WORK.events, WORK.first_s + n * STAGGER_S, WORK.event_s, WORK.pad),
                SLOTS,
                ZONES[n % len(ZONES)],
            )
            for n in range(RUNNERS)
        ]
        await asyncio.gather(*(runner.start() for runner in runners))
        self._record.write(f"runners of v{number} started: {[r.id for r in runners]}")
        self._runners = runners
        self._all += runners

    async def _round(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + ROUND_S
        await asyncio.gather(*(self._submit() for _ in range(LOTS)))
        await asyncio.sleep(0.15)
        if has_trouble():
            leaving = self._runners
            await self._start_runners(number + 1)
            for runner in leaving:
                self._drains.append(loop.create_task(runner.drain(LONGER_S)))
            self._record.write(f"runners of v{number} announce their end")
        burst = loop.create_task(self._burst())
        await self._read_on(until_s - loop.time())
        await burst

    async def _submit(self) -> None:
        lot, body = new_lot(PREFIX, ITEMS)
        await submit(self._fleet.callers, HOST, PREFIX, lot, body)
        self._record.write(f"lot {lot.id} sent: {lot.statuses}; items {lot.items}")
        if lot.accepted:
            self._lots.append(lot)

    async def _burst(self) -> None:
        """Let other clients submit large batch jobs of another route, as in a burst."""
        await asyncio.sleep(LOAD_AFTER_S)
        await asyncio.gather(*(self._submit_large() for _ in range(LOAD_SENDERS)))

    async def _submit_large(self) -> None:
        for _ in range(LOAD_EACH):
            lot, body = new_lot(LOAD_PREFIX, LOAD_ITEMS, LOAD_BODY_BYTES)
            await submit(self._fleet.callers, HOST, LOAD_PREFIX, lot, body)
            self._record.write(f"large lot {lot.id} sent: {lot.statuses}")

    async def _read_on(self, for_s: float) -> None:
        """Read results about twice a second until the time is over or all are there."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            open_lots = [lot for lot in self._lots if len(lot.results) < len(lot.items)]
            if not open_lots and for_s == FINISH_S:
                return
            for lot in open_lots:
                await read_results(self._fleet.callers, HOST, lot)
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
