"""Limits, queues, retries and ejection of a whole gateway, with stub engines."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import urllib3
from tests.unit.gateway_support import (
    CHAT,
    FROZEN_S,
    SERVICE,
    TEXT,
    WAIT_S,
    WORDS,
    Fleet,
    StubEngine,
    wait_until,
)

from leverjunction.gateway import ejection, retry
from leverjunction.gateway.ejection import FAILURES_TO_EJECT
from leverjunction.gateway.owner import unhealthy_digest
from leverjunction.gateway.retry import MAX_SAVED_RETRIES

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

SERVING = f"services/{SERVICE}/serving"
LIMITS = "tenants/acme/limits"
Answer = Future[urllib3.BaseHTTPResponse]
StartFleet = Callable[[dict[str, object]], Fleet]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[StartFleet]:
    fleets: list[Fleet] = []

    def start_fleet(rows: dict[str, object]) -> Fleet:
        fleets.append(Fleet(tmp_path, rows))
        return fleets[-1]

    yield start_fleet
    for fleet in fleets:
        fleet.stop()


@pytest.fixture
def threads() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(16) as executor:
        yield executor


def refusal_of(response: urllib3.BaseHTTPResponse) -> tuple[int, str, str]:
    error: dict[str, Any] = json.loads(response.data)["error"]
    assert int(response.headers["Retry-After"]) >= 1
    return response.status, error["step"], error["execution"]


def hold(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.hold.clear()


def release(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.hold.set()


def queued(fleet: Fleet) -> float | None:
    return fleet.gateway.counters.registry.get_sample_value("leverjunction_queued_requests")


def outcomes(fleet: Fleet) -> list[str]:
    return [decision.outcome.value for decision in fleet.decisions()]


def test_a_tenant_above_its_rate_is_refused_at_once(start: StartFleet) -> None:
    fleet = start({f"{LIMITS}/burst": 2, f"{LIMITS}/requests_per_s": 0.001})
    assert [fleet.post(CHAT).status for _ in range(2)] == [200, 200]
    assert refusal_of(fleet.post(CHAT)) == (429, "admission", "not_run")
    assert fleet.started() == 2


def test_a_tenant_above_its_concurrency_is_refused_until_one_ends(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({f"{LIMITS}/concurrency": 1})
    hold(fleet)
    first = threads.submit(fleet.post, CHAT)
    wait_until(lambda: fleet.started() == 1, "the first runs")
    assert refusal_of(fleet.post(CHAT)) == (429, "admission", "not_run")
    release(fleet)
    assert first.result().status == 200
    assert fleet.post(CHAT | {"stream": True}).data.endswith(b"[DONE]\n\n")
    wait_until(lambda: fleet.open_streams() == 0, "the stream's place is free")
    assert fleet.post(CHAT).status == 200


def test_the_queue_is_bounded_and_goes_on_when_a_runner_is_free(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/max_queue": 1}
    fleet = start(rows | {f"{SERVING}/queue_timeout_s": 60.0})
    hold(fleet)
    running = [threads.submit(fleet.post, CHAT) for _ in range(2)]
    wait_until(lambda: fleet.started() == 2, "both runners are full")
    waiting = threads.submit(fleet.post, CHAT)
    wait_until(lambda: queued(fleet) == 1, "one waits")
    assert refusal_of(fleet.post(CHAT)) == (503, "queueing", "not_run")
    assert fleet.started() == 2
    release(fleet)
    assert [answer.result().status for answer in [*running, waiting]] == [200, 200, 200]
    [record] = [item for item in fleet.decisions() if item.outcome.value == "queued"]
    assert "full" in record.reason


def test_a_request_waits_no_longer_than_its_queue_deadline(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/queue_timeout_s": 0.2}
    fleet = start(rows)
    hold(fleet)
    running = [threads.submit(fleet.post, CHAT) for _ in range(2)]
    wait_until(lambda: fleet.started() == 2, "both runners are full")
    assert refusal_of(fleet.post(CHAT)) == (503, "queueing", "not_run")
    release(fleet)
    assert [answer.result().status for answer in running] == [200, 200]


def test_a_planned_stop_serves_what_runs_and_what_waits(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/queue_timeout_s": 60.0}
    fleet = start(rows)
    hold(fleet)
    answers: list[Answer] = [
        threads.submit(fleet.post, CHAT | {"stream": index == 0}) for index in range(3)
    ]
    wait_until(lambda: fleet.started() == 2 and queued(fleet) == 1, "two run, one waits")
    drained = threads.submit(fleet.gateway.drain)
    wait_until(lambda: fleet.gateway.inflight.stopping, "it stops")
    assert refusal_of(fleet.post(CHAT)) == (503, "admission", "not_run")
    wait_until(lambda: fleet.hub.requests[-1].gateway.stopping, "the hub hears of it")
    release(fleet)
    assert drained.result()
    for answer in answers:
        assert answer.result().status == 200
        assert "w11" in answer.result().data.decode()
    assert answers[0].result().data.endswith(b"[DONE]\n\n")


def test_threads_stay_free_for_probes_and_refusals(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({})
    hold(fleet)
    limit = fleet.gateway.config.request_threads - 2
    running = [threads.submit(fleet.post, CHAT) for _ in range(limit)]
    wait_until(lambda: fleet.started() == limit, "all threads but two are in use")
    assert refusal_of(fleet.post(CHAT)) == (503, "admission", "not_run")
    assert fleet.http.request("GET", f"{fleet.url}/health").status == 200
    release(fleet)
    assert {answer.result().status for answer in running} == {200}


@pytest.mark.parametrize("status", [429, 503, 404])
def test_a_runner_that_refuses_is_passed_over(start: StartFleet, status: int) -> None:
    fleet = start({})
    fleet.engines[0].status = status
    answers = [fleet.post(CHAT, **{"X-Repeat": "never"}) for _ in range(6)]
    assert {answer.status for answer in answers} == {200}
    assert len(fleet.engines[1].started) == 6


def test_when_all_runners_refuse_the_refusal_says_not_run(start: StartFleet) -> None:
    fleet = start({})
    for engine in fleet.engines:
        engine.status = 503
    assert refusal_of(fleet.post(CHAT)) == (503, "responding", "not_run")


@pytest.mark.parametrize("fault", ["status", "wrong_echo"])
def test_an_attempt_that_may_have_run_is_not_repeated_unless_allowed(
    start: StartFleet, fault: str
) -> None:
    fleet = start({})
    for engine in fleet.engines:
        engine.status = 500 if fault == "status" else 200
        engine.wrong_echo = fault == "wrong_echo"
    error = json.loads(fleet.post(CHAT, **{"X-Repeat": "never"}).data)["error"]
    assert (error["execution"], fleet.started()) == ("unknown", 1)
    assert error["peer"] in {engine.address for engine in fleet.engines}
    wait_until(lambda: any(engine.cancelled for engine in fleet.engines), "it is cancelled")
    error = json.loads(fleet.post(CHAT).data)["error"]
    assert (error["execution"], fleet.started()) == ("unknown", 3)
    assert "retried" in outcomes(fleet)


def test_an_answer_to_another_request_never_reaches_the_caller(start: StartFleet) -> None:
    fleet = start({})
    fleet.engines[0].wrong_echo = True
    for stream in (False, True):
        for _ in range(3):
            response = fleet.post(CHAT | {"stream": stream})
            assert response.status == 200
            assert "w11" in response.data.decode()


def test_retries_end_with_the_budget(start: StartFleet, monkeypatch: pytest.MonkeyPatch) -> None:
    # A slow run must not earn retries with time.
    monkeypatch.setattr(retry, "MIN_RETRIES_PER_S", 0.0)
    fleet = start({f"{SERVING}/retry_budget_ratio": 0.0})
    for engine in fleet.engines:
        engine.status = 503
    requests = int(MAX_SAVED_RETRIES) + 10
    for _ in range(requests):
        fleet.post(CHAT)
    assert fleet.started() < 2 * requests
    assert any("retry budget" in decision.reason for decision in fleet.decisions())


def test_a_failing_runner_is_ejected_and_probed_again(
    start: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The ejection ends when the test says so, not when a slow run has taken long enough.
    monkeypatch.setattr(ejection, "FIRST_EJECTION_S", 10_000.0)
    monkeypatch.setattr(ejection, "MAX_EJECTION_S", 10_000.0)
    fleet = start({})
    broken, sound = fleet.engines
    broken.status = 500
    while "ejected" not in outcomes(fleet):
        assert fleet.post(CHAT).status == 200
    assert len(broken.started) == FAILURES_TO_EJECT
    wait_until(lambda: usable(fleet) == 1, "the ejection shows in the counters")
    broken.status = 200
    fleet.gateway.pool._ejection._health["e1"].ejected_until_s = 0.0
    wait_until(lambda: is_probed(fleet), "a request probes it")
    assert len(broken.started) > FAILURES_TO_EJECT
    assert len(sound.started) > 0
    wait_until(lambda: usable(fleet) == 2, "it is in use again")


def is_probed(fleet: Fleet) -> bool:
    assert TEXT in fleet.post(CHAT).data.decode()
    return "probed" in outcomes(fleet)


def usable(fleet: Fleet) -> float | None:
    registry = fleet.gateway.counters.registry
    return registry.get_sample_value("leverjunction_usable_runners", {"service": SERVICE})


def test_a_leaving_runner_gets_no_new_requests(start: StartFleet) -> None:
    fleet = start({})
    fleet.hub.leaving.add("e1")
    wait_until(lambda: usable(fleet) == 1, "the gateway heard of it")
    before = len(fleet.engines[0].started)
    for _ in range(6):
        assert fleet.post(CHAT).status == 200
    assert len(fleet.engines[0].started) == before
    fleet.hub.leaving.add("e2")
    wait_until(lambda: usable(fleet) == 0, "the gateway heard of it")
    assert refusal_of(fleet.post(CHAT)) == (503, "routing", "not_run")


def test_what_is_known_of_a_gone_runner_is_dropped(start: StartFleet) -> None:
    fleet = start({})
    pool = fleet.gateway.pool
    long_prompt = " ".join(f"p{index}" for index in range(40))
    body = CHAT | {"messages": [{"role": "user", "content": long_prompt}]}
    gone: StubEngine | None = None
    while gone is None:
        fleet.post(body)
        gone = next((item for item in fleet.engines if item.name in pool._prefixes._runners), None)
    fleet.hub.engines = [item for item in fleet.engines if item is not gone]
    name = gone.name
    wait_until(lambda: name not in pool._prefixes._runners, "it is forgotten")
    assert pool._ledger.open_count(name) == 0


def test_requests_at_once_are_all_answered_with_their_own_text(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({})
    ready = threading.Barrier(8)

    def call(index: int) -> bytes:
        ready.wait(WAIT_S)
        return fleet.post(CHAT | {"stream": index % 2 == 0}).data

    answers = list(threads.map(call, range(8)))
    assert all(b"w11" in answer for answer in answers)


def submit_until_frozen(
    fleet: Fleet, threads: ThreadPoolExecutor, body: dict[str, object], **headers: str
) -> list[Answer]:
    """Send requests until the first engine has one, which freezes it, and report it unreachable."""
    frozen = fleet.engines[0]
    frozen.freezes = True
    answers: list[Answer] = []
    while not frozen.started:
        answers.append(threads.submit(fleet.post, body, **headers))
        wait_until(lambda: fleet.started() == len(answers), "a runner has the request")
    view = fleet.gateway.view
    view.observe(unhealthy_digest(frozen.name, view))
    return answers


@pytest.mark.parametrize("stream", [False, True])
def test_a_request_leaves_a_runner_that_freezes_before_its_answer(
    start: StartFleet, threads: ThreadPoolExecutor, stream: bool
) -> None:
    """Found by whole_answer.feature: it waited for its whole deadline and ended with 504."""
    fleet = start({f"{SERVING}/deadline_s": FROZEN_S})
    for answer in submit_until_frozen(fleet, threads, CHAT | {"stream": stream}):
        assert answer.result().status == 200
        assert WORDS[-1] in answer.result().data.decode()
    assert not fleet.engines[0].thaw.is_set()
    assert "retried" in outcomes(fleet)


def test_a_request_that_may_not_repeat_stays_with_a_frozen_runner(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({f"{SERVING}/deadline_s": FROZEN_S})
    answers = submit_until_frozen(fleet, threads, CHAT, **{"X-Repeat": "never"})
    fleet.engines[0].thaw.set()
    assert [answer.result().status for answer in answers] == [200] * len(answers)
    assert len(fleet.engines[0].started) == 1
