"""Tests that ``watch`` follows a gateway again after a restart."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from tests.unit.cli_support import gateway_state

from leverjunction.cli.options import Options
from leverjunction.cli.watch import Watcher
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.observability.decisions import Decision, DecisionOutcome
from leverjunction.wire.codec import encode

WAIT_S = 10.0


def decision(reason: str) -> bytes:
    return encode(
        Decision(
            sequence=1,
            wall_ms=1,
            request_id="r",
            service="s",
            step="routing",
            outcome=DecisionOutcome.ROUTED,
            reason=reason,
        )
    )


class ReconnectingClient:
    """A client whose streams yield one decision, numbered by stream, and then fail."""

    opened = 0

    def events(self, path: str, parameters: dict[str, str]) -> Iterator[bytes | Failure]:
        ReconnectingClient.opened += 1
        yield decision(f"stream {ReconnectingClient.opened}")
        yield Failure(
            kind=FailureKind.UNREACHABLE,
            reason="broke",
            step=Step.RESPONDING,
            execution=Execution.NOT_RUN,
        )


def test_returning_gateway_is_followed_again(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(Options, "client_for", lambda _self, _addresses: ReconnectingClient())
    watcher = Watcher(Options(control=[], token_file="", as_json=False), {})
    gateways = [gateway_state("gateway-1", 1)]
    watcher.follow(gateways)
    first = watcher.decisions.get(timeout=WAIT_S)
    reasons = [first.decision.reason]
    while len(reasons) < 2:
        watcher.follow(gateways)
        if not watcher.decisions.empty():
            reasons.append(watcher.decisions.get(timeout=WAIT_S).decision.reason)
    assert first.gateway == "gateway-1"
    assert reasons == ["stream 1", "stream 2"]
    assert "gateway-1: decision stream ended" in capsys.readouterr().err
