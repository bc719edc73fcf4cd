"""Idempotency keys: a durable claim before the first send, and the same response to resends."""

from __future__ import annotations

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
import urllib3
from tests.unit.gateway_support import (
    API_KEY,
    CHAT,
    Fleet,
    start_gateway,
    wait_until,
)

from leverjunction.batch.commands import Claim, ClaimRequest, FinishClaim
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway import claims
from leverjunction.gateway.claims import ClaimClient

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

KEY = {"Idempotency-Key": "order-7"}
ONCE = KEY | {"X-Repeat": "never"}
STREAM = CHAT | {"stream": True}


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    monkeypatch.setattr(claims, "OPEN_CLAIM_WAITS_S", (0.01, 0.02))
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def error_of(response: urllib3.BaseHTTPResponse) -> dict[str, Any]:
    error: dict[str, Any] = json.loads(response.data)["error"]
    return error


@pytest.mark.parametrize("body", [CHAT, STREAM])
def test_a_resend_receives_the_same_response_without_a_second_run(
    fleet: Fleet, body: dict[str, object]
) -> None:
    first = fleet.post(body, **KEY)
    wait_until(
        lambda: all(claim.finished for claim in fleet.hub.claims.values()),
        "the response is recorded",
    )
    second = fleet.post(body, **KEY)
    assert (first.status, second.status) == (200, 200)
    assert first.data == second.data
    assert first.headers["Content-Type"] == second.headers["Content-Type"]
    assert fleet.started() == 1


def test_a_resend_through_another_gateway_finds_the_claim(fleet: Fleet, tmp_path: Path) -> None:
    other = start_gateway(tmp_path, [fleet.hub.address], name="g2")
    wait_until(lambda: other.not_ready() is None, "the other gateway is ready")
    first = fleet.post(CHAT, **ONCE)
    second = fleet.http.request(
        "POST",
        f"http://{other.http_address}/v1/chat/completions",
        body=json.dumps(CHAT),
        headers={"Authorization": f"Bearer {API_KEY}"} | ONCE,
    )
    other.stop()
    assert first.data == second.data
    assert fleet.started() == 1


def test_a_key_with_a_different_body_is_rejected(fleet: Fleet) -> None:
    fleet.post(CHAT, **KEY)
    rejected = fleet.post(CHAT | {"max_tokens": 5}, **KEY)
    assert (rejected.status, error_of(rejected)["code"]) == (422, "key_reused")
    assert error_of(rejected)["execution"] == "not_run"
    assert fleet.started() == 1


def test_the_claim_is_made_before_the_first_send(fleet: Fleet) -> None:
    claims_at_send: list[int] = []
    engines = fleet.gateway.engines
    open_stream = engines.open
    engines.open = lambda call, *rest: (  # type: ignore[method-assign]
        claims_at_send.append(len(fleet.hub.claims)),
        open_stream(call, *rest),
    )[1]
    assert fleet.post(CHAT, **ONCE).status == 200
    assert claims_at_send == [1]


def test_nothing_is_sent_without_a_claim(fleet: Fleet) -> None:
    fleet.hub.stop()
    rejected = fleet.post(CHAT, **ONCE)
    assert (error_of(rejected)["execution"], error_of(rejected)["step"]) == ("not_run", "claiming")
    assert fleet.started() == 0


def test_a_resend_waits_for_the_send_that_holds_the_claim(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(claims, "OPEN_CLAIM_WAITS_S", (0.05,) * 1000)
    for engine in fleet.engines:
        engine.proceed.clear()
    with ThreadPoolExecutor(2) as threads:
        first = threads.submit(fleet.post, CHAT, **ONCE)
        wait_until(lambda: fleet.started() == 1, "the first request runs")
        second = threads.submit(fleet.post, CHAT, **ONCE)
        wait_until(lambda: len(fleet.hub.commands) >= 3, "the second request waits")
        for engine in fleet.engines:
            engine.proceed.set()
        assert first.result().data == second.result().data
    assert fleet.started() == 1


def test_a_run_of_unknown_outcome_is_never_repeated(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.wrong_echo = True
    assert error_of(fleet.post(CHAT, **ONCE))["execution"] == "unknown"
    for engine in fleet.engines:
        engine.wrong_echo = False
    resend = fleet.post(CHAT, **ONCE)
    assert (resend.status, error_of(resend)["code"]) == (409, "outcome_unknown")
    assert error_of(resend)["execution"] == "unknown"
    assert resend.headers["Retry-After"]
    assert fleet.started() == 1


@pytest.mark.parametrize("repeat", [KEY, ONCE])
def test_the_claim_of_a_request_that_did_not_run_is_released(
    fleet: Fleet, repeat: dict[str, str]
) -> None:
    for engine in fleet.engines:
        engine.status = 503
    assert error_of(fleet.post(CHAT, **repeat))["execution"] == "not_run"
    for engine in fleet.engines:
        engine.status = 200
    assert fleet.post(CHAT, **repeat).status == 200


def test_a_repeatable_request_that_failed_can_be_sent_again_with_its_key(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.wrong_echo = True
    assert error_of(fleet.post(CHAT, **KEY))["execution"] == "unknown"
    for engine in fleet.engines:
        engine.wrong_echo = False
    assert fleet.post(CHAT, **KEY).status == 200
    assert all(claim.finished for claim in fleet.hub.claims.values())


class LostReplies:
    """Control client whose claims are committed while the replies to them are lost."""

    def __init__(self) -> None:
        self.commands: list[object] = []

    def propose(
        self, group: str, command: object, reply_type: type, timeout_s: float = 5.0
    ) -> Claim | Failure:
        self.commands.append(command)
        if isinstance(command, ClaimRequest):
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="no answer",
                step=Step.PROPOSING,
                execution=Execution.UNKNOWN,
            )
        assert isinstance(command, FinishClaim)
        return Claim(
            granted=False,
            content_hash="",
            attempt_id=command.attempt_id,
            finished=False,
            status_code=0,
            body="",
        )


def test_a_claim_whose_reply_was_lost_is_released_in_the_background() -> None:
    control = LostReplies()
    client = ClaimClient(control, lambda: ["jobs-0"], "g1")  # type: ignore[arg-type]
    outcome = client.claim("acme", "order-7", b"{}")
    assert isinstance(outcome, Failure)
    assert outcome.execution is Execution.NOT_RUN
    wait_until(lambda: len(control.commands) == 2, "the claim is released")
    claim, finish = control.commands
    assert isinstance(claim, ClaimRequest) and isinstance(finish, FinishClaim)
    assert finish.not_run and finish.attempt_id == claim.attempt_id
