"""The client of control switches between hubs and never reports NOT_RUN for an unknown outcome."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterator

import msgspec
import pytest
from silent_peer import SilentPeer

from leverjunction.errors import Execution, Failure, FailureKind, Step, is_failure
from leverjunction.wire.backoff import FIRST_PAUSE_S, MAX_PAUSE_S, TimeoutBackoff
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.control_client import (
    ATTEMPT_TIMEOUT_S,
    EXCHANGE_TIMEOUT_S,
    ControlClient,
)
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.hub_selector import (
    MAX_STALE_HUBS,
    MAX_SUSPICION_S,
    STALE_HOLD_S,
    SUSPICION_S,
    HubSelector,
)
from leverjunction.wire.messages import (
    Acknowledged,
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    YieldNotice,
)
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

IN_FORCE_EVERYWHERE_S = 4.0
"""Time within which an accepted change has to be in force everywhere."""

KEY = b"cluster key of the tests"
DEAD = "127.0.0.1:1"


class Increment(msgspec.Struct, frozen=True, tag="increment"):
    amount: int


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return 0

    def sleep(self, seconds: float) -> None:
        self.now_s += seconds


class FakeHub:
    """A hub on a real socket that replies to proposals from a script, then with the amount."""

    def __init__(self) -> None:
        self.script: list[Failure] = []
        self.calls: list[Envelope] = []
        self.delay_s = 0.0
        self.quorum_age_s = 0.1
        self.settings_version = 1
        self.notices: list[YieldNotice] = []
        endpoint = RpcEndpoint(KEY, incarnation=1)
        endpoint.register(MessageKind.PROPOSE, self._propose)
        endpoint.register(MessageKind.EXCHANGE, self._exchange)
        endpoint.register(MessageKind.YIELD_NOTICE, self._yield)
        self.server = RpcServer("127.0.0.1", 0, endpoint, threads=2)
        self.server.start()
        self.address = self.server.address

    def _propose(self, envelope: Envelope, peer: str) -> bytes:
        self.calls.append(envelope)
        time.sleep(self.delay_s)
        if self.script:
            return encode_reply(self.script.pop(0))
        command = decode(envelope.body, Increment)
        assert isinstance(command, Increment)
        return encode_reply(command.amount)

    def _exchange(self, envelope: Envelope, peer: str) -> bytes:
        return encode_reply(
            ExchangeReply(
                settings_version=1, settings=[], view_version=1, hub_incarnation=1, full_view=True,
                gateways=[], gone_gateways=[], runners=[], gone_runners=[], digests=[],
                lost_lease_ids=[], cancelled_jobs=[], hubs=[], quorum_age_s=self.quorum_age_s,
                hub_settings_version=self.settings_version,
            )
        )  # fmt: skip

    def _yield(self, envelope: Envelope, peer: str) -> bytes:
        notice = decode(envelope.body, YieldNotice)
        assert isinstance(notice, YieldNotice)
        self.notices.append(notice)
        return encode_reply(Acknowledged())


@pytest.fixture
def make_hub() -> Iterator[Callable[[], FakeHub]]:
    hubs: list[FakeHub] = []

    def make() -> FakeHub:
        hubs.append(FakeHub())
        return hubs[-1]

    yield make
    for hub in hubs:
        hub.server.stop()


def client_of(*hubs: str, clock: FakeClock | None = None) -> ControlClient:
    used = clock or FakeClock()
    return ControlClient(RpcClient(KEY, 7), list(hubs), clock=used, sleep=used.sleep)


def failure(kind: FailureKind, execution: Execution = Execution.NOT_RUN) -> Failure:
    return Failure(kind=kind, reason="scripted", step=Step.PROPOSING, execution=execution)


EXCHANGE = ExchangeRequest(
    gateway=GatewayState(
        gateway_id="g1", address="127.0.0.1:2", rpc_address="127.0.0.1:3", zone="a", incarnation=1
    ),
    settings_version=0,
    view_version=0,
    hub_incarnation=0,
)


def test_propose_carries_the_command_and_its_group(make_hub: Callable[[], FakeHub]) -> None:
    hub = make_hub()
    assert client_of(hub.address).propose("jobs-1", Increment(5), int) == 5
    assert (hub.calls[0].group, hub.calls[0].incarnation) == ("jobs-1", 7)


@pytest.mark.parametrize(
    "kind",
    [FailureKind.NOT_LEADER, FailureKind.NO_QUORUM, FailureKind.TIMEOUT, FailureKind.OVERLOADED],
)
def test_propose_retries_retryable_failures(
    make_hub: Callable[[], FakeHub], kind: FailureKind
) -> None:
    hub = make_hub()
    hub.script = [failure(kind), failure(kind)]
    assert client_of(hub.address).propose("root", Increment(3), int) == 3
    assert len(hub.calls) == 3


def test_the_state_machines_own_failure_is_final(make_hub: Callable[[], FakeHub]) -> None:
    hub = make_hub()
    hub.script = [failure(FailureKind.KEY_REUSED)]
    reply = client_of(hub.address).propose("root", Increment(3), int)
    assert is_failure(reply)
    assert (reply.kind, len(hub.calls)) == (FailureKind.KEY_REUSED, 1)


def test_an_unknown_outcome_is_kept_in_the_final_failure(make_hub: Callable[[], FakeHub]) -> None:
    hub = make_hub()
    not_leader = [failure(FailureKind.NOT_LEADER)] * 200
    hub.script = [failure(FailureKind.TIMEOUT, Execution.UNKNOWN), *not_leader]
    reply = client_of(hub.address).propose("root", Increment(3), int, timeout_s=1.0)
    assert is_failure(reply)
    assert reply.kind is FailureKind.NOT_LEADER
    assert reply.execution is Execution.UNKNOWN


def test_a_dead_hub_is_left_for_the_next(make_hub: Callable[[], FakeHub]) -> None:
    hub = make_hub()
    client = client_of(DEAD, hub.address)
    assert client.propose("root", Increment(4), int) == 4
    assert client.hub == hub.address


def test_a_stale_hub_is_left_and_taken_again_later(make_hub: Callable[[], FakeHub]) -> None:
    near, far = make_hub(), make_hub()
    clock = FakeClock()
    client = client_of(near.address, far.address, clock=clock)
    near.quorum_age_s = 2.5
    assert not is_failure(client.exchange(EXCHANGE))
    assert client.hub == far.address
    near.quorum_age_s = 0.0
    clock.now_s += SUSPICION_S
    client.exchange(EXCHANGE)
    assert client.hub == near.address


@pytest.mark.parametrize(("hub_version", "is_left"), [(0, True), (4, True), (5, False)])
def test_a_hub_that_knows_less_than_the_gateway_is_left(
    make_hub: Callable[[], FakeHub], hub_version: int, is_left: bool
) -> None:
    """A hub that lost its disk has an older version until it is repaired.

    Gateways that kept such a hub got a change 1.2 s too late.
    """
    near, far = make_hub(), make_hub()
    client = client_of(near.address, far.address)
    near.settings_version = hub_version
    client.exchange(msgspec.structs.replace(EXCHANGE, settings_version=5))
    assert (client.hub == far.address) == is_left


def test_yield_notice_reaches_the_owner(make_hub: Callable[[], FakeHub]) -> None:
    owner = make_hub()
    client = client_of(DEAD)
    notice = YieldNotice(runner_id="r1", sent_ms=5)
    assert client.notify_yield(owner.address, notice) is None
    assert owner.notices == [notice]
    assert is_failure(client.notify_yield(DEAD, notice))


def test_selector_keeps_a_stale_hub_when_all_are_suspected() -> None:
    selector = HubSelector(["a", "b"])
    selector.record_stale("a", 0.0)
    selector.record_stale("b", 0.0)
    assert selector.select(1.0) == "b"
    selector.record_failure("b", 1.0)
    assert selector.current == "a"


def test_selector_doubles_the_suspicion_up_to_its_bound() -> None:
    selector = HubSelector(["a", "b"])
    now_s, length_s = 0.0, SUSPICION_S
    for _ in range(6):
        selector.record_failure("a", now_s)
        assert selector.select(now_s + length_s - 0.1) == "b"
        assert selector.select(now_s + length_s) == "a"
        now_s += length_s
        length_s = min(length_s * 2, MAX_SUSPICION_S)


def test_selector_takes_a_new_list_and_ignores_an_empty_one() -> None:
    selector = HubSelector(["a", "b"])
    selector.replace([])
    assert selector.hubs == ["a", "b"]
    selector.replace(["c", "b"])
    assert selector.current == "c"


def test_consecutive_timeouts_increase_the_pause() -> None:
    backoff = TimeoutBackoff(random.Random(1))
    backoff.record_timeout(10.0)
    assert backoff.remaining_s(10.0) == 0.0
    pauses = []
    for _ in range(8):
        backoff.record_timeout(10.0)
        pauses.append(backoff.remaining_s(10.0))
    assert FIRST_PAUSE_S * 0.5 <= pauses[0] <= FIRST_PAUSE_S * 1.5
    assert all(MAX_PAUSE_S * 0.5 <= pause <= MAX_PAUSE_S * 1.5 for pause in pauses[4:])
    assert len({round(pause, 6) for pause in pauses[4:]}) == 4, "pauses have no jitter"
    backoff.record_reply()
    assert backoff.remaining_s(10.0) == 0.0


def test_no_exchange_is_sent_during_the_pause(make_hub: Callable[[], FakeHub]) -> None:
    hub = make_hub()
    clock = FakeClock()
    client = client_of(hub.address, clock=clock)
    timeout = failure(FailureKind.TIMEOUT)
    client._update_backoff(timeout)
    assert isinstance(client.exchange(EXCHANGE), ExchangeReply)
    for _ in range(2):
        client._update_backoff(timeout)
    refused = client.exchange(EXCHANGE)
    assert is_failure(refused)
    assert refused.kind is FailureKind.OVERLOADED
    assert refused.retry_after_s is not None
    clock.now_s += refused.retry_after_s
    assert isinstance(client.exchange(EXCHANGE), ExchangeReply)


def count_switches(hubs: list[str], seconds: int, stale: bool) -> int:
    """Return how often a gateway with one exchange a second switches hubs."""
    selector = HubSelector(hubs)
    switches, last = 0, selector.current
    for second in range(seconds):
        hub = selector.select(float(second))
        switches += hub != last
        last = hub
        if stale:
            selector.record_stale(hub, float(second))
        else:
            selector.record_success(hub)
    return switches


def test_a_gateway_rarely_switches_hubs_when_none_has_a_quorum() -> None:
    """Each switch costs a full view, and the next hub is just as stale."""
    hubs = [f"hub-{number}:1" for number in range(15)]
    assert count_switches(hubs, 60, stale=True) <= MAX_STALE_HUBS + 60 / STALE_HOLD_S


def test_a_gateway_leaves_a_held_stale_hub_once_it_fails() -> None:
    selector = HubSelector(["a", "b", "c", "d"])
    for second in range(MAX_STALE_HUBS):
        selector.record_stale(selector.select(float(second)), float(second))
    kept = selector.current
    failed_s = MAX_STALE_HUBS - 1 + STALE_HOLD_S - 0.1
    assert selector.select(failed_s) == kept
    selector.record_failure(kept, failed_s)
    assert selector.select(failed_s) != kept


def test_a_hub_with_a_quorum_ends_the_hold() -> None:
    selector = HubSelector(["a", "b", "c", "d"])
    for second in range(MAX_STALE_HUBS):
        selector.record_stale(selector.select(float(second)), float(second))
    assert selector.current == "c"
    selector.record_success("c")
    assert selector.select(9.0) == "a"


def test_a_gateway_leaves_a_stale_hub_within_the_time_for_a_change() -> None:
    """Guards against a gateway that kept the one hub still cut off from the quorum for 10 s.

    That was the suspected cause of a failure in the simulator.
    """
    selector = HubSelector(["a", "b", "c"])
    for second in range(3):
        selector.record_stale(selector.select(float(second)), float(second))
    kept = selector.current
    assert selector.select(2.0 + STALE_HOLD_S - 0.1) == kept
    assert selector.select(2.0 + STALE_HOLD_S) != kept
    assert STALE_HOLD_S < IN_FORCE_EVERYWHERE_S


def hubs_tried(selector: HubSelector, begin_s: float, end_s: float) -> set[str]:
    """Return the hubs that are used for one exchange a second while all of them are stale."""
    tried = set()
    while begin_s <= end_s:
        hub = selector.select(begin_s)
        tried.add(hub)
        selector.record_stale(hub, begin_s)
        begin_s += 1.0
    return tried


def test_a_suspected_hub_is_tried_in_time_for_a_change_while_the_one_in_use_is_stale() -> None:
    """Guards against a stale hub that was kept for 10 s although two others were healthy.

    Both had been silent for a second and were suspected for 20 s. The stale hub was that of a
    repaired replica (simulation hanbit, seed 1086).
    """
    selector = HubSelector(["a", "b", "c"])
    selector.record_failure("a", 0.0)
    selector.record_failure("b", 0.2)
    assert selector.current == "c"
    assert hubs_tried(selector, 0.4, 0.4 + IN_FORCE_EVERYWHERE_S) > {"c"}


def test_after_a_failed_attempt_the_gateway_returns_to_the_stale_hub() -> None:
    selector = HubSelector(["a", "b", "c"])
    selector.record_failure("a", 0.0)
    selector.record_failure("b", 0.0)
    selector.record_stale("c", 0.0)
    assert selector.select(STALE_HOLD_S) == "a"
    selector.record_failure("a", STALE_HOLD_S)
    assert selector.current == "c"
    selector.record_stale("c", STALE_HOLD_S)
    assert selector.select(2 * STALE_HOLD_S) == "b"


def test_every_stale_hub_is_tried_again_in_turn() -> None:
    selector = HubSelector(["a", "b", "c", "d"])
    hubs_tried(selector, 0.0, 20.0)
    assert hubs_tried(selector, 21.0, 41.0) == {"a", "b", "c", "d"}


def test_concurrent_failures_count_as_one() -> None:
    selector = HubSelector(["a", "b"])
    for call in range(5):
        selector.record_failure("a", call * 0.1)
    assert selector.select(0.4 + SUSPICION_S) == "a"


def test_suspected_hubs_are_tried_at_once_when_the_only_trusted_one_is_stale() -> None:
    """Guards against a gateway that got a change after 4.2 s.

    Its hub was cut off from the quorum and was kept for 2 s more. The two others had failed 6 s
    before, but had recovered and had the new version.
    """
    selector = HubSelector(["a", "b", "c"])
    selector.record_failure("b", 0.0)
    selector.record_failure("c", 0.1)
    assert selector.current == "a"
    selector.record_stale("a", 6.0)
    assert selector.select(6.4) == "b"
    selector.record_success("b")
    assert selector.select(7.4) == "b"


def test_suspected_hubs_that_fail_again_are_tried_once_and_the_stale_one_is_kept() -> None:
    selector = HubSelector(["a", "b", "c"])
    selector.record_failure("b", 0.0)
    selector.record_failure("c", 0.1)
    used = []
    for moment in range(6, 11):
        selector.record_stale("a", float(moment))
        used.append(selector.select(moment + 0.4))
        if selector.current != "a":
            selector.record_failure(selector.current, moment + 0.5)
    assert used[:3] == ["b", "c", "a"]
    assert selector.select(8.0 + STALE_HOLD_S - 0.1) == "a"


def test_no_call_waits_for_a_silent_hub_that_an_exchange_tries_again(
    make_hub: Callable[[], FakeHub], paused_s: Callable[[], float]
) -> None:
    """Guards against calls that go to a hub before it has answered.

    The failure: the nearest hub stood still. Whenever its suspicion was over, an exchange tried it
    for a second, and in that second each call went there as well and waited for two.
    """
    hub, clock = make_hub(), FakeClock()
    known = msgspec.structs.replace(EXCHANGE, settings_version=1)
    with SilentPeer() as silent:
        client = client_of(silent.address, hub.address, clock=clock)
        assert is_failure(client.exchange(known))
        clock.now_s += MAX_PAUSE_S
        assert not is_failure(client.exchange(known))
        clock.now_s += SUSPICION_S
        trial = threading.Thread(target=client.exchange, args=(known,), daemon=True)
        trial.start()
        time.sleep(EXCHANGE_TIMEOUT_S / 4)
        assert client.hub == silent.address
        started_s, paused_before_s = time.monotonic(), paused_s()
        assert client.propose("jobs-0", Increment(1), int) == 1
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        trial.join()
    assert took_s < EXCHANGE_TIMEOUT_S / 2
    assert client.hub == hub.address


def test_a_hub_that_waits_for_a_silent_leader_is_not_left(
    make_hub: Callable[[], FakeHub],
) -> None:
    """Guards against gateways that take their hub for dead because a group's leader is silent.

    The failure: a hub waits 1.5 s for a leader that stands still. The last attempt of a call has
    less time than that, and its timeout counted against the hub: gateways went from hub to hub,
    each of which had to send them the full view.
    """
    near, far = make_hub(), make_hub()
    near.delay_s = ATTEMPT_TIMEOUT_S / 4
    client = ControlClient(RpcClient(KEY, 7), [near.address, far.address])
    reply = client.propose("jobs-0", Increment(1), int, timeout_s=ATTEMPT_TIMEOUT_S / 8)
    assert is_failure(reply)
    assert reply.kind is FailureKind.TIMEOUT
    assert client.hub == near.address


def test_a_hub_that_is_silent_for_a_whole_attempt_is_left(make_hub: Callable[[], FakeHub]) -> None:
    """A hub answers within the time of an attempt even if no leader answers it."""
    hub = make_hub()
    with SilentPeer() as silent:
        client = client_of(silent.address, hub.address)
        assert client.propose("jobs-0", Increment(1), int) == 1
        assert client.hub == hub.address
