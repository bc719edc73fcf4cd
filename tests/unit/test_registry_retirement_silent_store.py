"""Tests of the state of a retirement while a store is silent."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from seeded_support import SeededFleet
from silent_peer import AnsweringPeer, SilentPeer

from leverjunction.clock import SystemClock
from leverjunction.registry.commands import GroupMembership
from leverjunction.registry.node import CALL_TIMEOUT_S, RegistryNode
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind

POLLS = 4


def test_a_silent_store_delays_one_question_about_a_retirement(
    tmp_path: Path, paused_s: Callable[[], float]
) -> None:
    """Guards against operators who wait for the same silent store with each question.

    The failure: each question whether a machine is retired began with the first voter, and waited
    0.6 s for it while it stood still.
    """
    fleet = SeededFleet(tmp_path)
    node = RegistryNode(fleet._config("core-1", f"{fleet.net}.1", True), SystemClock(), Random())
    voters: tuple[str, ...] = ()

    def lead(_: Envelope) -> bytes:
        return encode_reply(GroupMembership(leads=True, voters=voters, members=voters))

    with SilentPeer() as silent, AnsweringPeer(lead, (MessageKind.STATUS,)) as leader:
        voters = (silent.address, leader.address)
        assert node._holds_no_replica("gone:1", voters)
        started_s, paused_before_s = time.monotonic(), paused_s()
        for _ in range(POLLS):
            assert node._holds_no_replica("gone:1", voters)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
    assert took_s < CALL_TIMEOUT_S
