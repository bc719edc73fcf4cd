"""Surplus refusals that come late, at a service whose two runners are short of slots.

Clients send requests that may run at most once. One of the two runners sends some of its answers a
second time, late. No request may be run twice, and none that was refused as not run may be run.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import ZONES, CannotRunError, Fleet, Record, cannot_run, has_trouble
from world import Answer, PlainRunner, Surplus, call, call_control, ready

HOST = "review.example"
PREFIX = "/notice/"
SERVICE = "notices"
SLOTS = 6
QUEUE = 2
WORK_S = 0.03
CLIENTS = 60
SHARE = 0.03
LEAST_LATE_S = 0.002
MOST_LATE_S = 0.03
WINDOWS = 8
WINDOW_S = 5.0
PAUSE_S = 3.0
PROMISES = (408, 421, 429, 503)


def configuration() -> dict[str, object]:
    """Return the operator's configuration: one route whose requests run at most once."""
    route = {
        "Name": "r-notice",
        "Hostname": HOST,
        "PathPrefix": PREFIX,
        "RouteKind": "non_idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 0,
        "Service": SERVICE,
        "MaxAttempts": 1,
    }
    service = {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 300}
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": 1, "Routes": [route], "Services": [service], "Limits": limits}


class Case:
    """The traffic and what was seen of it."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._answers: dict[str, Answer] = {}
        self._is_over = False
        self.broken = 0

    async def play(self) -> None:
        """Send requests during all windows of the fault, and judge what was run."""
        fleet = self._fleet
        answer = await call_control(fleet.seeds, "POST", "/api/Config.Replace", configuration())
        if answer.status != 200:
            raise CannotRunError(f"the configuration was answered {answer.status}")
        surplus = Surplus(SHARE, LEAST_LATE_S, MOST_LATE_S)
        runners = [
            PlainRunner(fleet.seeds, SERVICE, WORK_S, SLOTS, QUEUE, ZONES[0], surplus),
            PlainRunner(fleet.seeds, SERVICE, WORK_S, SLOTS, QUEUE, ZONES[1]),
        ]
        await asyncio.gather(*(runner.start() for runner in runners))
        if not await ready(fleet.ready, 20.0):
            raise CannotRunError("the gateways are not ready")
        await asyncio.sleep(2.0)
        clients = [asyncio.create_task(self._client(number)) for number in range(CLIENTS)]
        for number in range(WINDOWS):
            surplus.is_on = has_trouble()
            self._record.write(f"window {number}: surplus answers {surplus.is_on}")
            await asyncio.sleep(WINDOW_S)
            surplus.is_on = False
            await asyncio.sleep(PAUSE_S)
        self._is_over = True
        await asyncio.gather(*clients)
        await asyncio.sleep(1.0)
        for runner in runners:
            self._record.write(
                f"runner {runner.id}: {len(runner.runs)} runs, {runner.refused} refusals"
            )
            runner.end()
        self._record.write(f"{surplus.sent} surplus answers were sent")
        self._judge(runners)

    async def _client(self, number: int) -> None:
        gateway = self._fleet.callers[number % len(self._fleet.callers)]
        while not self._is_over:
            request_id = os.urandom(8).hex()
            headers = {
                "Host": HOST,
                "Leverjunction-Request-Id": request_id,
                "Leverjunction-Deadline-Ms": "4000",
            }
            body = os.urandom(50).hex().encode()
            answer = await call(gateway, "POST", f"{PREFIX}{number}", headers, body)
            self._answers[request_id] = answer
            retry_s = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(min(retry_s, 1.0))

    def _judge(self, runners: list[PlainRunner]) -> None:
        runs: Counter[str] = Counter()
        for runner in runners:
            runs.update(run.request_id for run in runner.runs)
        statuses = Counter(answer.status for answer in self._answers.values())
        self._record.write(f"{len(self._answers)} requests, answered {dict(statuses)}")
        for request_id, answer in self._answers.items():
            count = runs[request_id]
            if count > 1:
                self._break(request_id, f"was run {count} times; answer {answer.status}", runners)
            elif count and answer.status in PROMISES:
                self._break(request_id, f"was run, though answered {answer.status}", runners)
        self.summary = (
            f"{len(self._answers)} requests, {self.broken} of them run twice or run though refused"
        )

    def _break(self, request_id: str, what: str, runners: list[PlainRunner]) -> None:
        self.broken += 1
        self._record.write(f"BROKEN: request {request_id} {what}; in the loop's seconds:")
        for line in sorted(line for runner in runners for line in runner.trace.get(request_id, ())):
            self._record.write(f"    {line}")


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        with Fleet(gateways=4) as fleet, asyncio.Runner() as runner:
            case = Case(fleet, record)
            runner.run(case.play())
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        return cannot_run(error)
    record.write(case.summary)
    print(case.summary)
    return 1 if case.broken else 0


if __name__ == "__main__":
    sys.exit(main())
