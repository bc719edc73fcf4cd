"""``testbed demo``: the whole path on real processes, each step checked."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable

from testbed.demo_checks import (
    DemoError,
    check,
    decisions_of_request,
    decisions_of_service,
    executions_of_runner,
)
from testbed.fleet.caller import Caller, expected_text, job_line, result_text
from testbed.fleet.fleet import Fleet, FleetError
from testbed.fleet.operator import Operator
from testbed.scenarios import load_scenario

STREAM_TOKENS = 40
JOB_ITEMS = 200
JOB_ITEM_TOKENS = 24
JOB_TIMEOUT_S = 60.0
ANSWERS_BEFORE_DRAIN = 12
ANSWERS_AFTER_DRAIN = 40
DRAIN_LIMIT_S = 2.0
"""After this time from the mark in force, a draining runner must get no new work."""


def run(scenario_name: str) -> int:
    """Run the demo; returns 0 when everything was right."""
    started_s = time.monotonic()
    try:
        scenario = load_scenario(scenario_name)
        _say(f"starting a {scenario.name} fleet: {', '.join(scenario.zones)}")
        with Fleet(scenario) as fleet:
            _say(f"{len(fleet.plan.processes)} processes are up, settings are in force everywhere")
            for step in _STEPS:
                step(fleet)
    except (DemoError, FleetError) as error:
        print(f"DEMO FAILED: {error}", file=sys.stderr)
        return 1
    _say(f"all checks passed in {time.monotonic() - started_s:.0f} s")
    return 0


def _show_stream(fleet: Fleet) -> None:
    model = fleet.scenario.online_model()
    caller = Caller(fleet.gateway_urls()[0], fleet.scenario.online_key)
    content = "demo: what happened here?"
    answer = caller.chat(model, content, STREAM_TOKENS)
    check(answer.whole, f"the stream did not come whole: {answer.error or answer.text!r}")
    check(
        answer.text == expected_text(model, content, STREAM_TOKENS),
        f"the stream is not the answer to its question: {answer.text!r}",
    )
    _say(f"online stream: {STREAM_TOKENS} tokens from {model}: {answer.text[:48]}...")
    found = decisions_of_request(fleet, answer.request_id)
    _say(f"decisions about request {answer.request_id}: {len(found)} kept (a sample is)")


def _show_batch(fleet: Fleet) -> None:
    model = fleet.scenario.batch_model()
    callers = [Caller(url, fleet.scenario.batch_key) for url in fleet.gateway_urls()]
    contents = {f"item-{number}": f"demo item {number}" for number in range(JOB_ITEMS)}
    lines = [job_line(name, model, text, JOB_ITEM_TOKENS) for name, text in contents.items()]
    batch = callers[0].submit_job(lines, idempotency_key="demo-job")
    check("id" in batch, f"the job was not accepted: {batch}")
    again = callers[1].submit_job(lines, idempotency_key="demo-job")
    check(again.get("id") == batch["id"], f"a resend made another job: {again}")
    _say(f"batch job {batch['id']}: {JOB_ITEMS} items accepted, a resend found the same job")
    fleet.wait_for(
        lambda: callers[1].job(batch["id"]).get("status") == "completed",
        "the batch job is completed",
        lambda: str(callers[1].job(batch["id"])),
        JOB_TIMEOUT_S,
    )
    results = callers[2].results(batch["id"])
    counts = Counter(line["custom_id"] for line in results)
    check(counts == Counter(contents.keys()), "not every item has exactly one result")
    for line in results:
        expected = expected_text(model, contents[line["custom_id"]], JOB_ITEM_TOKENS)
        check(result_text(line) == expected, f"wrong result: {line}")
    _say(f"all {len(results)} results read back through another gateway, each once and right")


def _show_drain(fleet: Fleet) -> None:
    service = fleet.scenario.online_service
    runner = f"{service}-1"
    operator = Operator(fleet, name="demo")
    with fleet.online_traffic("drain") as traffic:
        check(traffic.wait_more(ANSWERS_BEFORE_DRAIN), "the traffic does not get its answers")
        version = operator.set(f"services/{service}/draining_runners", [runner]).version
        fleet.wait_for(
            lambda: all(g.settings_version >= version for g in operator.gateways()),
            f"settings version {version} is in force at every gateway",
        )
        limit_ms = int((time.time() + DRAIN_LIMIT_S) * 1000)
        fleet.wait_for(lambda: time.time() * 1000 > limit_ms, "the drain limit has passed")
        check(traffic.wait_more(ANSWERS_AFTER_DRAIN), "the traffic stopped after the drain")
    wrong = [request for request in traffic.sent() if request.is_cut or request.is_refused]
    check(not wrong, f"requests were cut or refused in the drain: {wrong[:3]}")
    late = [e for e in executions_of_runner(fleet, runner) if e.started_ms > limit_ms]
    check(not late, f"the draining runner got new work: {late[:3]}")
    _say(f"drained {runner} under traffic: {len(traffic.sent())} streams whole, none cut")


def _show_decisions(fleet: Fleet) -> None:
    counts = Counter(
        (record["step"], record["outcome"])
        for service in fleet.scenario.services
        for record in decisions_of_service(fleet, service)
    )
    check(bool(counts), "no gateway kept a decision")
    for (step, outcome), count in sorted(counts.items()):
        _say(f"decisions: {step:<12} {outcome:<10} {count}")


def _say(line: str) -> None:
    print(line, flush=True)


_STEPS: tuple[Callable[[Fleet], None], ...] = (
    _show_stream,
    _show_batch,
    _show_drain,
    _show_decisions,
)
