"""Property tests: a stream holds the events of one version, whatever ends, stalls or restarts.

What the model takes for granted, and what guarantees it:

- A process that lost its disk was no part of a majority that lost theirs (consensus).
- A registry change is applied by a majority of the control processes; one that does not hear of
  it knows after ``MAX_CONTACT_AGE_S`` that it is not current (consensus, ``RegistryHub.stale``).
- A back end that has left the registry writes nothing more (nothing guarantees it for one that is
  cut off and still reachable by a gateway that is cut off, too).
- A caller comes back within ``STREAM_LIFETIME_S`` of the last event (contract with callers).
- A gateway trusts its state for at most ``IN_FORCE_S`` (``StreamOrigins``, ``RegistryFollower``).
- A gateway reaches as many control processes as one origin needs at least every
  ``MAX_UNREACHED_S``: only a renewal after ``RENEW_LATEST_S`` waits, and that one goes on all the
  same (nothing guarantees it; ``test_origin_losses`` shows what happens without it).

Streams of which these rows of ``test_origin_losses`` tell are not checked: those that were passed
on though their record was waited for in vain, and those that began at a version of which other
gateways may not have heard, since no back end of the former one was left or since their gateway is
of an older build.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)
from tests.unit.origin_model import Gateway, Model, Stream, Ways, joined

from leverjunction.registry.origin_fence import OriginFence
from leverjunction.registry.origins import (
    KEEP_ORIGIN_S,
    RENEW_LATEST_S,
    STREAM_LIFETIME_S,
)

EXAMPLES = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
RUNNERS = ("i-0", "i-1", "i-2")
VERSIONS = ("v1", "v2", "v3")
STEPS_S = (0.05, 0.35, 1.0, 1.9, 6.0, 14.0, 31.0, 59.0, 61.0, 64.0, 100.0)
PAUSES_S = (14.0, 24.0, 26.0, 50.0, 80.0)
PARTS = st.sampled_from((0.0, 0.0, 0.01, 0.3, 0.99))
"""Parts of a stream's lifetime after which its caller comes back."""

MAX_GATEWAYS = 3
MAX_UNREACHED_S = KEEP_ORIGIN_S - STREAM_LIFETIME_S - RENEW_LATEST_S
NUMBERS = st.integers(0, 5)
ORDERS = st.permutations(range(5))
REPORTERS = st.sampled_from(((), (), (0,), (1,), (0, 2), (0, 1, 2)))
SLOW = st.sets(st.integers(0, 4), max_size=2)
KEPT = st.integers(0, 2)
"""Records that survive a loss of power though they were not synced."""

LOST_DISKS = st.sets(st.integers(0, 4), max_size=2)


class Fleet(RuleBasedStateMachine):
    """A fleet in which anything may happen that the model allows."""

    controls = 3
    ways = Ways(max_unreached_s=MAX_UNREACHED_S)
    has_older_gateways = False

    def __init__(self) -> None:
        super().__init__()
        self.model = Model(self.controls, self.ways)

    def gateway(self, number: int) -> Gateway:
        if not self.model.gateways:
            self.model.start_gateway()
        return self.model.gateways[number % len(self.model.gateways)]

    def other_gateway(self, stream: Stream) -> Gateway:
        """Return a gateway that did not relay a stream."""
        for gateway in self.model.gateways:
            if stream.key not in gateway.origins.live():
                return gateway
        return self.model.start_gateway()

    def stream(self, number: int) -> Stream:
        return self.model.streams[-1 - number % len(self.model.streams)]

    @initialize(newer=st.sampled_from(["v2", "v2", "v2", ""]), is_used=st.booleans())
    def release_begins(self, newer: str, is_used: bool) -> None:
        if newer:
            self.back_end_starts_and_all_hear("i-1", newer)
        if is_used:
            self.stream_begins_and_is_recorded(0, 0)

    @rule(for_s=st.sampled_from(STEPS_S), flows=st.booleans())
    def time_passes(self, for_s: float, flows: bool) -> None:
        self.model.flows = flows
        self.model.advance(for_s)

    @rule(runner=st.sampled_from(RUNNERS), version=st.sampled_from(VERSIONS))
    def back_end_starts(self, runner: str, version: str) -> None:
        self.model.put(runner, version)

    @rule(runner=st.sampled_from(RUNNERS))
    def back_end_ends(self, runner: str) -> None:
        self.model.remove(runner)

    @rule(number=NUMBERS)
    def control_hears(self, number: int) -> None:
        self.model.controls[number % self.controls].hear()

    @rule(number=NUMBERS)
    def control_reports(self, number: int) -> None:
        self.model.exchange(self.model.controls[number % self.controls])

    @rule(number=NUMBERS, control=NUMBERS)
    def gateway_hears(self, number: int, control: int) -> None:
        self.gateway(number).hear(self.model.controls[control % self.controls])

    @rule(number=NUMBERS, reporters=REPORTERS)
    def reports_are_sent(self, number: int, reporters: Collection[int]) -> None:
        self.gateway(number).flush(reporters)

    @rule(number=NUMBERS, runner=NUMBERS, reporters=REPORTERS)
    def stream_begins(self, number: int, runner: int, reporters: Collection[int]) -> None:
        gateway = self.gateway(number)
        known = gateway.known()
        if known:
            self.model.begin(gateway, known[-1 - runner % len(known)])
            gateway.flush(reporters)

    @rule(number=NUMBERS, runner=NUMBERS)
    def stream_begins_and_is_recorded(self, number: int, runner: int) -> None:
        self.stream_begins(number, runner, ())
        self.model.advance(0.35)

    @precondition(lambda self: self.model.streams)
    @rule(number=NUMBERS, pause_s=st.sampled_from(PAUSES_S))
    def stream_pauses(self, number: int, pause_s: float) -> None:
        stream = self.stream(number)
        self.model.flows = False
        self.model.advance(pause_s)
        self.model.event(stream)

    @rule(runner=st.sampled_from(RUNNERS), version=st.sampled_from(VERSIONS))
    def back_end_starts_and_all_hear(self, runner: str, version: str) -> None:
        self.model.put(runner, version)
        for _ in range(2):
            self.model.advance(3.0)

    @rule(number=NUMBERS, runner=NUMBERS, reporters=REPORTERS, after=PARTS, order=ORDERS, slow=SLOW)
    def stream_begins_and_its_gateway_ends(
        self,
        number: int,
        runner: int,
        reporters: Collection[int],
        after: float,
        order: list[int],
        slow: set[int],
    ) -> None:
        count = len(self.model.streams)
        self.stream_begins(number, runner, reporters)
        if len(self.model.streams) > count:
            self.gateway_of_a_stream_ends(0, after, order, slow)

    @precondition(lambda self: self.model.streams)
    @rule(
        number=NUMBERS,
        pause_s=st.sampled_from(PAUSES_S),
        reporters=REPORTERS,
        after=PARTS,
        order=ORDERS,
        slow=SLOW,
    )
    def stream_pauses_and_its_gateway_ends(
        self,
        number: int,
        pause_s: float,
        reporters: Collection[int],
        after: float,
        order: list[int],
        slow: set[int],
    ) -> None:
        stream = self.stream(number)
        self.stream_pauses(number, pause_s)
        if stream.gateway is not None:
            stream.gateway.flush(reporters)
            self.gateway_of_a_stream_ends(number, after, order, slow)

    @precondition(lambda self: self.model.streams)
    @rule(number=NUMBERS, after=PARTS, order=ORDERS, slow=SLOW)
    def gateway_of_a_stream_ends(
        self, number: int, after: float, order: list[int], slow: set[int]
    ) -> None:
        """Its caller comes back after a part of the time that it has."""
        stream = self.stream(number)
        if stream.gateway is None:
            return
        self.model.end_gateway(stream.gateway)
        left_s = stream.last_s + STREAM_LIFETIME_S - self.model.clock.now_s
        if after and left_s > 0:
            self.model.advance(after * left_s)
        self.resume(stream, self.other_gateway(stream), order, slow)

    @precondition(lambda self: self.model.streams)
    @rule(number=NUMBERS)
    def stream_goes_on(self, number: int) -> None:
        self.model.event(self.stream(number))

    @rule(number=NUMBERS)
    def gateway_ends(self, number: int) -> None:
        self.model.end_gateway(self.gateway(number))

    @rule(seen_back=st.integers(0, 3), is_older=st.booleans())
    def gateway_starts(self, seen_back: int, is_older: bool) -> None:
        if len(self.model.gateways) < MAX_GATEWAYS:
            newest = len(self.model.registry.views) - 1
            self.model.start_gateway(
                newest - seen_back, is_older=is_older and self.has_older_gateways
            )

    @precondition(lambda self: self.model.streams)
    @rule(number=NUMBERS, order=ORDERS, slow=SLOW)
    def caller_resumes(self, number: int, order: list[int], slow: set[int]) -> None:
        stream = self.stream(number)
        self.resume(stream, self.other_gateway(stream), order, slow)

    def resume(self, stream: Stream, at: Gateway, order: list[int], slow: set[int]) -> None:
        model = self.model
        if at.is_older or model.clock.now_s - stream.last_s > STREAM_LIFETIME_S:
            return
        model.ask_order = [model.controls[item] for item in order if item < self.controls]
        model.slow = {model.controls[item] for item in slow if item < self.controls}
        found = model.resume(stream, at)
        is_checked = not stream.is_early and stream.key not in model.unrecorded
        assert not (is_checked and model.is_joined(stream, at, found)), joined(stream, found)


class FaultyFleet(Fleet):
    """Control processes end, stall and are cut off, and gateways are cut off."""

    @rule(number=NUMBERS, views_lost=st.integers(0, 3))
    def control_starts_again(self, number: int, views_lost: int) -> None:
        control = self.model.controls[number % self.controls]
        control.is_silent = False
        control.start(views_lost)

    @rule(number=NUMBERS, loses_reports=st.booleans())
    def control_stalls_or_wakes(self, number: int, loses_reports: bool) -> None:
        control = self.model.controls[number % self.controls]
        if control.is_silent:
            control.wake()
        else:
            control.is_silent, control.loses_reports = True, loses_reports

    @rule(number=NUMBERS)
    def control_is_cut_off_or_returns(self, number: int) -> None:
        control = self.model.controls[number % self.controls]
        control.is_cut_off = not control.is_cut_off

    @rule()
    def leader_changes(self) -> None:
        self.model.change_leader()

    @rule(number=NUMBERS)
    def replies_get_lost_or_through(self, number: int) -> None:
        control = self.model.controls[number % self.controls]
        control.loses_replies = not control.loses_replies

    @rule(number=NUMBERS)
    def gateway_is_cut_off_or_returns(self, number: int) -> None:
        gateway = self.gateway(number)
        gateway.is_cut_off = not gateway.is_cut_off


class FleetWithoutPower(FaultyFleet):
    """Control processes also lose power, and disks, of which as many as consensus survives."""

    @rule(number=NUMBERS, kept=KEPT)
    def control_loses_power(self, number: int, kept: int) -> None:
        control = self.model.controls[number % self.controls]
        control.is_silent = False
        control.restart_after_power_loss(kept=kept)

    @rule(number=NUMBERS)
    def control_loses_its_disk(self, number: int) -> None:
        control = self.model.controls[number % self.controls]
        if self.controls > 2:
            control.is_silent = False
            control.restart_after_disk_loss()

    @rule(number=NUMBERS)
    def disk_stands_still_or_goes_on(self, number: int) -> None:
        disk = self.model.controls[number % self.controls].disk
        disk.stands_still = not disk.stands_still

    @rule(kept=KEPT, lost=LOST_DISKS)
    def all_controls_lose_power(self, kept: int, lost: set[int]) -> None:
        self.model.lose_power(kept, sorted(lost)[: (self.controls - 1) // 2])

    @rule()
    def all_controls_are_killed(self) -> None:
        for control in self.model.controls:
            control.is_silent = False
            control.start()

    @rule(
        number=NUMBERS,
        runner=NUMBERS,
        reporters=REPORTERS,
        kept=KEPT,
        lost=LOST_DISKS,
        order=ORDERS,
        slow=SLOW,
    )
    def stream_begins_and_all_lose_power(
        self,
        number: int,
        runner: int,
        reporters: Collection[int],
        kept: int,
        lost: set[int],
        order: list[int],
        slow: set[int],
    ) -> None:
        """Its gateway ends with the control processes; they are current when its caller is back."""
        count = len(self.model.streams)
        self.stream_begins(number, runner, reporters)
        if len(self.model.streams) > count:
            self.all_lose_power_beside_a_stream(0, kept, lost, order, slow)

    @precondition(lambda self: self.model.streams)
    @rule(number=NUMBERS, kept=KEPT, lost=LOST_DISKS, order=ORDERS, slow=SLOW)
    def all_lose_power_beside_a_stream(
        self, number: int, kept: int, lost: set[int], order: list[int], slow: set[int]
    ) -> None:
        stream = self.stream(number)
        if stream.gateway is not None:
            self.model.end_gateway(stream.gateway)
        self.all_controls_lose_power(kept, lost)
        for control in self.model.controls:
            control.hear()
        gateway = self.other_gateway(stream)
        for control in self.model.controls:
            gateway.hear(control)
        self.resume(stream, gateway, order, slow)


def run(base: type[Fleet], how: settings = EXAMPLES, **attributes: Any) -> None:
    run_state_machine_as_test(type(base.__name__, (base,), attributes), settings=how)


@pytest.mark.parametrize("controls", [1, 2, 3, 5])
def test_a_stream_holds_the_events_of_one_version(controls: int) -> None:
    run(FaultyFleet, controls=controls)


def test_a_stream_holds_the_events_of_one_version_beside_gateways_of_an_older_build() -> None:
    run(FaultyFleet, controls=3, has_older_gateways=True)


@pytest.mark.parametrize("controls", [1, 2, 3, 5])
def test_a_stream_holds_the_events_of_one_version_whatever_loses_power(controls: int) -> None:
    run(FleetWithoutPower, controls=controls)


def test_a_stream_holds_the_events_of_one_version_beside_older_gateways_and_losses() -> None:
    run(FleetWithoutPower, controls=3, has_older_gateways=True)


@pytest.mark.parametrize("use_after_s", [0.0, 2.0])
def test_streams_that_wait_for_no_acknowledgement_are_joined(use_after_s: float) -> None:
    """Otherwise the search would show nothing for streams that do wait."""
    how = settings(EXAMPLES, max_examples=1000, phases=[Phase.generate])
    ways = Ways(acks=0, use_after_s=use_after_s, max_unreached_s=MAX_UNREACHED_S)
    with pytest.raises(AssertionError, match="goes on at"):
        run(FaultyFleet, how, controls=3, ways=ways)


def test_streams_are_joined_by_starts_that_trust_the_registry_whatever_their_logs_say(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the search would show nothing for the product's trust in base versions."""
    monkeypatch.setattr(OriginFence, "may_lack", lambda *_: False)
    how = settings(EXAMPLES, max_examples=1000, phases=[Phase.generate])
    with pytest.raises(AssertionError, match="goes on at"):
        run(FleetWithoutPower, how, controls=3)
