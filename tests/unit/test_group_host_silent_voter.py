"""Tests of a control process that forwards calls while one voter of the group is silent."""

from __future__ import annotations

import time

from silent_peer import AnsweringPeer, SilentPeer

from leverjunction.clock import SystemClock
from leverjunction.control.group_host import GroupHost
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.commands import Done
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient

GROUP = "jobs-0"
TIMEOUT_S = 0.5
FORWARDED = (MessageKind.FORWARDED_PROPOSE, MessageKind.FORWARDED_QUERY)


def refusal(leader: str) -> bytes:
    return encode_reply(
        Failure(
            kind=FailureKind.NOT_LEADER,
            reason="r",
            step=Step.PROPOSING,
            detail=leader,
            execution=Execution.NOT_RUN,
        )
    )


def test_the_new_leader_is_found_although_the_first_voter_is_silent() -> None:
    """Guards against calls that wait for the same silent voter again and again.

    The failure: a control process without a replica of the group forwarded each call to the first
    voter. While that one stood still, no call reached the leader that the others had elected.
    """
    with (
        SilentPeer() as silent,
        AnsweringPeer(lambda _: encode_reply(Done()), FORWARDED) as leader,
        AnsweringPeer(lambda _: refusal(leader.address), FORWARDED) as follower,
    ):
        voters = {GROUP: [silent.address, follower.address, leader.address]}
        host = GroupHost("127.0.0.1:1", {}, voters, RpcClient(CLUSTER_KEY, 1), SystemClock())
        replies = [host.propose(GROUP, Done(), Done, TIMEOUT_S) for _ in range(4)]
    assert replies[1:] == [Done()] * 3


def test_a_leader_that_answers_again_is_found_by_a_refusal() -> None:
    """A voter that was silent leads: the others name it, so it is called although it is last."""
    calls = 0

    def answer(_: Envelope) -> bytes:
        nonlocal calls
        calls += 1
        if calls == 1:
            time.sleep(2 * TIMEOUT_S)
        return encode_reply(Done())

    with (
        AnsweringPeer(answer, FORWARDED) as leader,
        AnsweringPeer(lambda _: refusal(leader.address), FORWARDED) as first,
        AnsweringPeer(lambda _: refusal(leader.address), FORWARDED) as second,
        AnsweringPeer(lambda _: refusal(leader.address), FORWARDED) as third,
    ):
        voters = {GROUP: [leader.address, first.address, second.address, third.address]}
        host = GroupHost("127.0.0.1:1", {}, voters, RpcClient(CLUSTER_KEY, 1), SystemClock())
        late = host.propose(GROUP, Done(), Done, TIMEOUT_S)
        assert isinstance(late, Failure)
        assert late.kind is FailureKind.TIMEOUT
        assert host.propose(GROUP, Done(), Done, TIMEOUT_S) == Done()
