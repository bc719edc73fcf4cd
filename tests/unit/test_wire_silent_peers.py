"""Tests of the memory of peers that left calls unanswered."""

from __future__ import annotations

import pytest

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.silent_peers import RETRY_S, SilentPeers


def failure(kind: FailureKind, peer: str) -> Failure:
    return Failure(
        kind=kind, reason="r", step=Step.RESPONDING, peer=peer, execution=Execution.NOT_RUN
    )


@pytest.mark.parametrize(
    ("reply", "is_silent"),
    [
        (b"", False),
        (failure(FailureKind.TIMEOUT, "a"), True),
        (failure(FailureKind.UNREACHABLE, "a"), True),
        (failure(FailureKind.NOT_LISTENING, "a"), False),
        (failure(FailureKind.NOT_LEADER, ""), False),
        (failure(FailureKind.TIMEOUT, "leader"), False),
    ],
    ids=["answer", "timeout", "cut off", "refused", "not leader", "its leader timed out"],
)
def test_only_a_peer_that_does_not_answer_itself_is_silent(reply: object, is_silent: bool) -> None:
    peers = SilentPeers()
    peers.record("a", reply, 1.0)
    assert peers.is_silent("a") is is_silent


def test_silent_peers_come_last_until_they_answer() -> None:
    peers = SilentPeers()
    peers.record("b", failure(FailureKind.TIMEOUT, "b"), 1.0)
    peers.record("a", failure(FailureKind.TIMEOUT, "a"), 2.0)
    assert peers.in_order(["a", "b", "d", "c"]) == ["d", "c", "b", "a"]
    peers.record("a", b"", 3.0)
    assert peers.in_order(["a", "b", "d", "c"]) == ["a", "d", "c", "b"]


def test_one_caller_at_a_time_tries_a_silent_peer_again() -> None:
    peers = SilentPeers()
    assert peers.may_try("a", 0.0)
    peers.record("a", failure(FailureKind.TIMEOUT, "a"), 1.0)
    assert not peers.may_try("a", 1.0 + RETRY_S / 2)
    assert peers.may_try("a", 1.0 + RETRY_S)
    assert not peers.may_try("a", 1.0 + RETRY_S)
    peers.record("a", b"", 1.1 + RETRY_S)
    assert peers.may_try("a", 1.2 + RETRY_S)
