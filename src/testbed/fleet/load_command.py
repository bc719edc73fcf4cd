"""``testbed load``: checked online and batch work for a running fleet."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import fire
import msgspec

from testbed.fleet.description import FleetDescription, read_description
from testbed.fleet.job_feed import JobCheck, JobFeed
from testbed.fleet.traffic import SentRequest, Traffic

REPORT_EVERY_S = 5.0
SHOWN_FAULTS = 3
EXIT_WRONG = 1


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a load run saw.

    Attributes:
        seconds: Time of the run.
        online_whole: Online requests answered whole and right.
        online_refused: Online requests refused or not answered.
        online_wrong: Answers cut, crossed or wrong.
        jobs_whole: Jobs whose every item has exactly one right result.
        jobs_open: Jobs not at their end when the check gave up.
        jobs_refused: Jobs that were not accepted.
        jobs_wrong: Jobs at their end with an item lost, doubled or wrong.
    """

    seconds: float
    online_whole: int
    online_refused: int
    online_wrong: int
    jobs_whole: int
    jobs_open: int
    jobs_refused: int
    jobs_wrong: int


def load(
    json: str,
    seconds: float = 30.0,
    callers: int = 6,
    tokens: int = 24,
    items: int = 200,
    interval_s: float = 10.0,
    job_timeout_s: float = 120.0,
    report: str = "",
) -> int:
    """Send online requests and batch jobs to a fleet, and check every answer.

    Args:
        json: File that ``testbed fleet up --json`` wrote.
        seconds: How long to send.
        callers: Online callers, one request at a time each; 0 sends none.
        tokens: Length of each answer.
        items: Items of a batch job; 0 sends none.
        interval_s: Time between two jobs.
        job_timeout_s: How long to wait for the jobs at the end.
        report: File for the figures as one JSON object.

    Returns:
        0, or 1 when an answer was wrong, an accepted item was lost or a job is still open.
    """
    fleet = read_description(Path(json))
    traffic = Traffic(
        fleet.gateways, fleet.online_key, fleet.online_model, callers=callers, tokens=tokens
    )
    feed = JobFeed(
        fleet.gateways, fleet.batch_key, fleet.batch_model, items=items, interval_s=interval_s
    )
    started_s = time.monotonic()
    with traffic:
        if items:
            feed.start()
        _watch(traffic, seconds)
    jobs = []
    if items:
        feed.stop()
        print("load: waiting for the jobs", file=sys.stderr)
        jobs = feed.check(job_timeout_s)
    found = _summarize(time.monotonic() - started_s, traffic.sent(), jobs)
    return _tell(found, fleet, traffic.sent(), jobs, report)


def _watch(traffic: Traffic, seconds: float) -> None:
    deadline_s = time.monotonic() + seconds
    while (left_s := deadline_s - time.monotonic()) > 0:
        time.sleep(min(left_s, REPORT_EVERY_S))
        sent = traffic.sent()
        whole = sum(request.answer.whole for request in sent)
        print(f"load: {whole} of {len(sent)} online requests answered whole", file=sys.stderr)


def _summarize(seconds: float, sent: list[SentRequest], jobs: list[JobCheck]) -> LoadReport:
    accepted = [job for job in jobs if job.batch_id]
    at_end = [job for job in accepted if job.status == "completed"]
    return LoadReport(
        seconds=round(seconds, 1),
        online_whole=sum(not (request.is_cut or request.is_refused) for request in sent),
        online_refused=sum(request.is_refused for request in sent),
        online_wrong=sum(request.is_cut for request in sent),
        jobs_whole=sum(job.is_whole for job in at_end),
        jobs_open=len(accepted) - len(at_end),
        jobs_refused=len(jobs) - len(accepted),
        jobs_wrong=sum(not job.is_whole for job in at_end),
    )


def _tell(
    found: LoadReport,
    fleet: FleetDescription,
    sent: list[SentRequest],
    jobs: list[JobCheck],
    report: str,
) -> int:
    encoded = msgspec.json.format(msgspec.json.encode(found), indent=2)
    print(encoded.decode())
    if report:
        Path(report).write_bytes(encoded)
    for request in [request for request in sent if request.is_cut][:SHOWN_FAULTS]:
        print(f"wrong answer: {request}", file=sys.stderr)
    for job in [job for job in jobs if not job.is_whole][:SHOWN_FAULTS]:
        print(f"job not whole: {job}", file=sys.stderr)
    is_wrong = found.online_wrong or found.jobs_wrong or found.jobs_open
    if is_wrong:
        print(f"load: something is wrong; logs are in {fleet.folder}", file=sys.stderr)
    return EXIT_WRONG if is_wrong else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(load, name="testbed load", serialize=lambda _result: None))
