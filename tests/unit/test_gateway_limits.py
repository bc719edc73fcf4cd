"""Integration tests of limits, queues, retries and ejection: a gateway with stub engines."""

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


def rejection_of(response: urllib3.BaseHTTPResponse) -> tuple[int, str, str]:
    error: dict[str, Any] = json.loads(response.data)["error"]
    assert int(response.headers["Retry-After"]) >= 1
    return response.status, error["step"], error["execution"]


def block_engines(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.proceed.clear()


def unblock_engines(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.proceed.set()


def queued_requests(fleet: Fleet) -> float | None:
    return fleet.gateway.counters.registry.get_sample_value("leverjunction_queued_requests")


def outcomes(fleet: Fleet) -> list[str]:
    return [decision.outcome.value for decision in fleet.decisions()]


def test_a_tenant_above_its_rate_is_rejected_immediately(start: StartFleet) -> None:
    fleet = start({f"{LIMITS}/burst": 2, f"{LIMITS}/requests_per_s": 0.001})
    assert [fleet.post(CHAT).status for _ in range(2)] == [200, 200]
    assert rejection_of(fleet.post(CHAT)) == (429, "admission", "not_run")
    assert fleet.started() == 2


def test_a_tenant_above_its_concurrency_is_rejected_until_a_request_ends(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({f"{LIMITS}/concurrency": 1})
    block_engines(fleet)
    first = threads.submit(fleet.post, CHAT)
    wait_until(lambda: fleet.started() == 1, "the first request runs")
    assert rejection_of(fleet.post(CHAT)) == (429, "admission", "not_run")
    unblock_engines(fleet)
    assert first.result().status == 200
    assert fleet.post(CHAT | {"stream": True}).data.endswith(b"[DONE]\n\n")
    wait_until(lambda: fleet.open_streams() == 0, "the stream has released its slot")
    assert fleet.post(CHAT).status == 200


def test_the_queue_is_bounded_and_proceeds_when_a_runner_is_free(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/max_queue": 1}
    fleet = start(rows | {f"{SERVING}/queue_timeout_s": 60.0})
    block_engines(fleet)
    running = [threads.submit(fleet.post, CHAT) for _ in range(2)]
    wait_until(lambda: fleet.started() == 2, "both runners are full")
    waiting = threads.submit(fleet.post, CHAT)
    wait_until(lambda: queued_requests(fleet) == 1, "one request is queued")
    assert rejection_of(fleet.post(CHAT)) == (503, "queueing", "not_run")
    assert fleet.started() == 2
    unblock_engines(fleet)
    assert [answer.result().status for answer in [*running, waiting]] == [200, 200, 200]
    [record] = [item for item in fleet.decisions() if item.outcome.value == "queued"]
    assert "full" in record.reason


def test_a_request_waits_at_most_until_its_queue_deadline(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/queue_timeout_s": 0.2}
    fleet = start(rows)
    block_engines(fleet)
    running = [threads.submit(fleet.post, CHAT) for _ in range(2)]
    wait_until(lambda: fleet.started() == 2, "both runners are full")
    assert rejection_of(fleet.post(CHAT)) == (503, "queueing", "not_run")
    unblock_engines(fleet)
    assert [answer.result().status for answer in running] == [200, 200]


def test_a_graceful_shutdown_serves_running_and_queued_requests(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    rows = {f"{SERVING}/max_running_per_runner": 1, f"{SERVING}/queue_timeout_s": 60.0}
    fleet = start(rows)
    block_engines(fleet)
    answers: list[Answer] = [
        threads.submit(fleet.post, CHAT | {"stream": index == 0}) for index in range(3)
    ]
    wait_until(
        lambda: fleet.started() == 2 and queued_requests(fleet) == 1,
        "two requests run, one is queued",
    )
    drained = threads.submit(fleet.gateway.drain)
    wait_until(lambda: fleet.gateway.inflight.stopping, "the gateway is stopping")
    assert rejection_of(fleet.post(CHAT)) == (503, "admission", "not_run")
    wait_until(
        lambda: fleet.hub.requests[-1].gateway.stopping,
        "the hub knows that the gateway is stopping",
    )
    unblock_engines(fleet)
    assert drained.result()
    for answer in answers:
        assert answer.result().status == 200
        assert "w11" in answer.result().data.decode()
    assert answers[0].result().data.endswith(b"[DONE]\n\n")


def test_threads_stay_free_for_probes_and_rejections(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({})
    block_engines(fleet)
    limit = fleet.gateway.config.request_threads - 2
    running = [threads.submit(fleet.post, CHAT) for _ in range(limit)]
    wait_until(lambda: fleet.started() == limit, "all threads but two are in use")
    assert rejection_of(fleet.post(CHAT)) == (503, "admission", "not_run")
    assert fleet.http.request("GET", f"{fleet.url}/health").status == 200
    unblock_engines(fleet)
    assert {answer.result().status for answer in running} == {200}


@pytest.mark.parametrize("status", [429, 503, 404])
def test_a_request_rejected_by_a_runner_is_sent_to_another(start: StartFleet, status: int) -> None:
    fleet = start({})
    fleet.engines[0].status = status
    answers = [fleet.post(CHAT, **{"X-Repeat": "never"}) for _ in range(6)]
    assert {answer.status for answer in answers} == {200}
    assert len(fleet.engines[1].started) == 6


def test_a_request_rejected_by_all_runners_is_reported_as_not_run(start: StartFleet) -> None:
    fleet = start({})
    for engine in fleet.engines:
        engine.status = 503
    assert rejection_of(fleet.post(CHAT)) == (503, "responding", "not_run")


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
    wait_until(
        lambda: any(engine.cancelled for engine in fleet.engines), "the request is cancelled"
    )
    error = json.loads(fleet.post(CHAT).data)["error"]
    assert (error["execution"], fleet.started()) == ("unknown", 3)
    assert "retried" in outcomes(fleet)


def test_a_response_to_another_request_never_reaches_the_caller(start: StartFleet) -> None:
    fleet = start({})
    fleet.engines[0].wrong_echo = True
    for stream in (False, True):
        for _ in range(3):
            response = fleet.post(CHAT | {"stream": stream})
            assert response.status == 200
            assert "w11" in response.data.decode()


def test_retries_stop_when_the_budget_is_exhausted(
    start: StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Without this, a slow test run would accrue retries over time.
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
    # The test ends the ejection explicitly, so that a slow test run does not end it earlier.
    monkeypatch.setattr(ejection, "FIRST_EJECTION_S", 10_000.0)
    monkeypatch.setattr(ejection, "MAX_EJECTION_S", 10_000.0)
    fleet = start({})
    broken, sound = fleet.engines
    broken.status = 500
    while "ejected" not in outcomes(fleet):
        assert fleet.post(CHAT).status == 200
    assert len(broken.started) == FAILURES_TO_EJECT
    wait_until(lambda: usable_runners(fleet) == 1, "the metrics show the ejection")
    broken.status = 200
    fleet.gateway.pool._ejection._health["e1"].ejected_until_s = 0.0
    wait_until(lambda: is_probed(fleet), "a request probes the runner")
    assert len(broken.started) > FAILURES_TO_EJECT
    assert len(sound.started) > 0
    wait_until(lambda: usable_runners(fleet) == 2, "the runner is in use again")


def is_probed(fleet: Fleet) -> bool:
    assert TEXT in fleet.post(CHAT).data.decode()
    return "probed" in outcomes(fleet)


def usable_runners(fleet: Fleet) -> float | None:
    registry = fleet.gateway.counters.registry
    return registry.get_sample_value("leverjunction_usable_runners", {"service": SERVICE})


def test_a_leaving_runner_gets_no_new_requests(start: StartFleet) -> None:
    fleet = start({})
    fleet.hub.leaving.add("e1")
    wait_until(lambda: usable_runners(fleet) == 1, "the gateway knows that e1 is leaving")
    before = len(fleet.engines[0].started)
    for _ in range(6):
        assert fleet.post(CHAT).status == 200
    assert len(fleet.engines[0].started) == before
    fleet.hub.leaving.add("e2")
    wait_until(lambda: usable_runners(fleet) == 0, "the gateway knows that e2 is leaving")
    assert rejection_of(fleet.post(CHAT)) == (503, "routing", "not_run")


def test_the_state_of_a_removed_runner_is_discarded(start: StartFleet) -> None:
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
    wait_until(lambda: name not in pool._prefixes._runners, "the runner's state is discarded")
    assert pool._ledger.open_count(name) == 0


def test_concurrent_requests_all_receive_their_own_response(
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
    """Send requests until the first engine freezes, then report that engine as unreachable."""
    frozen = fleet.engines[0]
    frozen.freeze_on_request = True
    answers: list[Answer] = []
    while not frozen.started:
        answers.append(threads.submit(fleet.post, body, **headers))
        wait_until(lambda: fleet.started() == len(answers), "a runner has the request")
    view = fleet.gateway.view
    view.observe(unhealthy_digest(frozen.name, view))
    return answers


@pytest.mark.parametrize("stream", [False, True])
def test_a_request_is_retried_when_its_runner_freezes_before_responding(
    start: StartFleet, threads: ThreadPoolExecutor, stream: bool
) -> None:
    """A request must not wait for a runner that its owner reports as unreachable.

    Found by whole_answer.feature: the request waited until its deadline and failed with 504.
    """
    fleet = start({f"{SERVING}/deadline_s": FROZEN_S})
    for answer in submit_until_frozen(fleet, threads, CHAT | {"stream": stream}):
        assert answer.result().status == 200
        assert WORDS[-1] in answer.result().data.decode()
    assert not fleet.engines[0].unfreeze.is_set()
    assert "retried" in outcomes(fleet)


def test_a_request_that_must_not_be_repeated_stays_on_a_frozen_runner(
    start: StartFleet, threads: ThreadPoolExecutor
) -> None:
    fleet = start({f"{SERVING}/deadline_s": FROZEN_S})
    answers = submit_until_frozen(fleet, threads, CHAT, **{"X-Repeat": "never"})
    fleet.engines[0].unfreeze.set()
    assert [answer.result().status for answer in answers] == [200] * len(answers)
    assert len(fleet.engines[0].started) == 1
