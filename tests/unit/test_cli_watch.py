"""``watch`` follows gateways over restarts."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from tests.unit.cli_support import gateway_state

from leverjunction.cli.options import Options
from leverjunction.cli.watch import Watcher
from leverjunction.errors import Failure, FailureKind, Step
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


class StreamsOf:
    """A client whose n-th stream gives one decision, and then breaks."""

    opened = 0

    def events(self, path: str, parameters: dict[str, str]) -> Iterator[bytes | Failure]:
        StreamsOf.opened += 1
        yield decision(f"stream {StreamsOf.opened}")
        yield Failure(kind=FailureKind.UNREACHABLE, reason="broke", step=Step.RESPONDING)


def test_a_gateway_that_is_back_is_followed_again(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(Options, "client_of", lambda _self, _addresses: StreamsOf())
    watcher = Watcher(Options(control=[], token_file="", as_json=False), {})
    gateways = [gateway_state("gateway-1", 1)]
    watcher.follow(gateways)
    first = watcher.arrived.get(timeout=WAIT_S)
    reasons = [first.decision.reason]
    while len(reasons) < 2:
        watcher.follow(gateways)
        if not watcher.arrived.empty():
            reasons.append(watcher.arrived.get(timeout=WAIT_S).decision.reason)
    assert first.gateway == "gateway-1"
    assert reasons == ["stream 1", "stream 2"]
    assert "gateway-1: its decisions end" in capsys.readouterr().err
