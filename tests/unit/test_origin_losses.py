"""Streams that went on, or go on, at another version than began them.

Each test is the shortened history of one counterexample that the model found.
"""

from __future__ import annotations

import pytest
from tests.unit.origin_model import (
    IN_FORCE_S,
    PRODUCT,
    SERVICE,
    Disk,
    Gateway,
    Model,
    Stream,
    Ways,
    joined,
)

from leverjunction.registry.origin_reporter import rank_holders
from leverjunction.registry.origins import STREAM_LIFETIME_S, Resumption
from leverjunction.registry.version_leases import CONTROL_LEASE_S, FirstSeen


def start_both(ways: Ways = PRODUCT) -> Model:
    """Return a fleet with two versions, the second of which is widely known."""
    model = Model(3, ways)
    model.put("i-1", "v2")
    for _ in range(2):
        model.advance(3.0)
    return model


def begin(model: Model, gateway: Gateway, version: str) -> Stream:
    """Begin a stream, and give its origin time to be recorded."""
    model.begin(gateway, gateway.known(version)[0])
    model.advance(0.35)
    (stream,) = (item for item in model.streams if item.gateway is gateway)
    assert stream.version == version
    return stream


def begin_and_end(model: Model, gateway: Gateway, version: str) -> Stream | None:
    """Begin a stream at a gateway that ends before it has reported anything.

    Returns:
        The stream; None if none of its events was passed on.
    """
    count = len(model.streams)
    model.begin(gateway, gateway.known(version)[0])
    model.end_gateway(gateway)
    return model.streams[-1] if len(model.streams) > count else None


def check_not_joined(
    model: Model, stream: Stream | None, gateway: Gateway, found: Resumption | None = None
) -> None:
    if stream is None:
        return
    found = found or model.resume(stream, gateway)
    is_joined = model.is_joined(stream, gateway, found)
    assert not is_joined, joined(stream, found)


def test_a_recorded_stream_is_found_after_its_gateway_ended() -> None:
    model = start_both()
    first, second = model.gateways
    stream = begin(model, first, "v2")
    model.end_gateway(first)
    model.advance(59.0)
    found = model.resume(stream, second)
    assert found.origin == stream.origin


def resume_as_late_as_allowed(model: Model, stream: Stream, gateway: Gateway) -> Resumption:
    """Have the caller continue a stream as late as it may."""
    model.advance(stream.last_s + STREAM_LIFETIME_S - model.clock.now_s)
    return model.resume(stream, gateway)


@pytest.mark.parametrize("ends_after_s", [0.01, 0.35])
@pytest.mark.parametrize("resumed_after_s", [20.0, 40.0, 59.0])
def test_a_stream_resumed_late_at_a_gateway_that_ends_at_once_is_not_joined(
    resumed_after_s: float, ends_after_s: float
) -> None:
    model = start_both()
    first, second = model.gateways
    third = model.start_gateway()
    stream = begin(model, first, "v2")
    model.end_gateway(first)
    model.advance(resumed_after_s)
    assert model.resume(stream, second).origin == stream.origin
    model.advance(ends_after_s)
    model.end_gateway(second)
    assert resume_as_late_as_allowed(model, stream, third).origin == stream.origin


@pytest.mark.parametrize("ends_after_s", [0.0, 0.35])
@pytest.mark.parametrize("paused_s", [14.0, 24.0, 26.0, 50.0, 85.0])
def test_a_stream_that_paused_before_its_last_event_is_not_joined(
    paused_s: float, ends_after_s: float
) -> None:
    model = start_both()
    first, second = model.gateways
    stream = begin(model, first, "v2")
    model.advance(paused_s)
    model.event(stream)
    if ends_after_s:
        model.advance(ends_after_s)
    model.end_gateway(first)
    if model.clock.now_s - stream.last_s <= STREAM_LIFETIME_S:
        assert resume_as_late_as_allowed(model, stream, second).origin == stream.origin


@pytest.mark.parametrize("away_s", [45.0, 49.0, 51.0, 58.0, 61.0, 64.0, 69.0, 71.0])
def test_a_version_that_comes_back_after_a_minute_joins_no_streams(away_s: float) -> None:
    model = start_both()
    first, second = model.gateways
    model.remove("i-0")
    model.advance(away_s)
    model.put("i-0", "v1")
    model.advance(3.0)
    third = model.start_gateway()
    stream = begin_and_end(model, first, "v1")
    check_not_joined(model, stream, second)
    check_not_joined(model, begin_and_end(model, third, "v2"), second)


@pytest.mark.parametrize("cut_off_s", [35.0, 45.0, 55.0, 65.0, 75.0])
def test_a_gateway_cut_off_while_a_version_comes_back_joins_no_streams(cut_off_s: float) -> None:
    model = start_both()
    first, second = model.gateways
    begin(model, first, "v2")
    model.remove("i-0")
    model.advance(2.0)
    first.is_cut_off = True
    model.advance(8.0)
    model.put("i-2", "v1")
    model.advance(cut_off_s - 8.0)
    first.is_cut_off = False
    model.advance(3.0)
    stream = begin_and_end(model, first, "v2")
    check_not_joined(model, stream, second)


@pytest.mark.parametrize("cut_off_s", [5.0, 20.0, 80.0, 120.0])
def test_a_stream_of_a_gateway_that_is_cut_off_for_long_is_not_joined(cut_off_s: float) -> None:
    model = start_both()
    first, second = model.gateways
    stream = begin(model, first, "v2")
    first.is_cut_off = True
    model.flows = True
    model.advance(cut_off_s)
    model.end_gateway(first)
    found = resume_as_late_as_allowed(model, stream, second)
    check_not_joined(model, stream, second, found)


@pytest.mark.parametrize("away_s", [54.0, 60.0, 66.0, 75.0, 130.0])
def test_a_gateway_that_missed_the_absence_of_a_version_joins_no_streams(away_s: float) -> None:
    """It takes the version for the base version, which another one is by now."""
    model = start_both()
    first, second = model.gateways
    first.is_cut_off = True
    model.advance(2.0)
    model.remove("i-0")
    model.advance(away_s)
    model.put("i-0", "v1")
    for _ in range(2):
        model.advance(3.0)
    first.is_cut_off = False
    for _ in range(2):
        model.advance(3.0)
    stream = begin_and_end(model, first, "v1")
    check_not_joined(model, stream, second)


def test_a_stream_passed_on_without_record_is_not_joined() -> None:
    model = start_both()
    model.remove("i-0")
    model.advance(3.0)
    first, second = model.gateways
    for control in model.controls[:2]:
        control.is_silent = True
    stream = begin(model, first, "v2")
    model.end_gateway(first)
    for control in model.controls[:2]:
        control.backlog.clear()
        control.wake()
    model.controls[2].is_silent = True
    model.put("i-0", "v1")
    model.advance(3.0)
    check_not_joined(model, stream, second)


def test_a_stream_that_is_not_recorded_sends_no_event() -> None:
    """It does not begin anew under its key: a control process that is silent may know the key."""
    model = start_both()
    first, second = model.gateways
    for control in model.controls:
        control.is_silent = True
    model.begin(first, first.known("v2")[0])
    first.flush()
    model.advance(0.35)
    assert model.streams == []
    # A new attempt, while recording does not work.
    model.begin(first, first.known("v2")[0])
    (stream,) = model.streams
    assert stream.version == "v1"
    model.end_gateway(first)
    for control in model.controls:
        control.wake()
    model.advance(2.0)
    assert model.resume(stream, second).origin == stream.origin


def test_a_gateway_cut_off_as_a_version_starts_joins_no_streams() -> None:
    """Streams begin at the version that is widely known for as long as others may be cut off."""
    model = Model(3)
    first, second = model.gateways
    model.put("i-1", "v2")
    for control in model.controls[:2]:
        control.hear()
    first.hear(model.controls[0])
    second.is_cut_off = True
    model.begin(first, first.known("v2")[0])
    first.flush()
    (stream,) = model.streams
    assert stream.version == "v1"
    model.end_gateway(first)
    check_not_joined(model, stream, second)
    third = model.start_gateway()
    for _ in range(2):
        model.advance(3.0)
    stream = begin(model, third, "v2")
    model.end_gateway(third)
    check_not_joined(model, stream, second)


def test_a_gateway_cut_off_as_most_back_ends_get_a_version_joins_no_streams() -> None:
    model = Model(3)
    first, second = model.gateways
    for number in (1, 2):
        model.put(f"i-{number}", "v2")
    for control in model.controls[:2]:
        control.hear()
    first.hear(model.controls[0])
    second.is_cut_off = True
    model.begin(first, first.known("v2")[0])
    first.flush()
    (stream,) = model.streams
    model.end_gateway(first)
    check_not_joined(model, stream, second)


AFTER_S = (0.1, 0.5, 1.5, 1.9, 2.1, 3.0, 5.0, 6.7, 6.9, 7.9, 8.1, 8.5, 15.0, 79.0)
"""Times from the start of a version to the begin of a stream at it."""


def follow(model: Model, for_s: float) -> None:
    """Have time pass in which whoever is not cut off hears of each change at once."""
    for _ in range(max(1, round(for_s / 0.1))):
        for control in model.controls:
            control.hear()
        for gateway in model.gateways:
            for control in model.controls:
                gateway.hear(control)
        model.advance(0.1)


def take_up_where_a_version_was_missed(
    after_s: float, new: int, out_of_step: str, *, has_lost_quorum: bool = False
) -> Stream | None:
    """Have a version start while a gateway, or a control process too, is cut off or stands still.

    A stream that begins then at another gateway breaks and is taken up at the first one, before
    that hears from a control process that knows the version.

    Returns:
        The stream, None if none began at the new version.
    """
    model = Model(3)
    first, second = model.gateways
    third = model.start_gateway()
    follow(model, 12.0)
    away = [second, third] if "gateways" in out_of_step else [second]
    for gateway in away:
        gateway.is_cut_off = True
    lost = model.controls[2]
    if "control" in out_of_step:
        # It answers gateways again before it follows the leader again.
        lost.is_silent = lost.loses_reports = lost.is_cut_off = True
    for number in range(1, new + 1):
        model.put(f"i-{number}", "v2")
    follow(model, after_s)
    model.begin(first, first.known("v2")[0])
    follow(model, 0.1)
    stream = next((item for item in model.streams if item.version == "v2"), None)
    if has_lost_quorum:
        for control in model.controls[:2]:
            control.is_silent = True
    model.end_gateway(first)
    lost.is_silent = False
    for gateway in away:
        gateway.is_cut_off = "reach nobody" in out_of_step
        check_not_joined(model, stream, gateway)
    return stream


OUT_OF_STEP = (
    "a gateway",
    "gateways",
    "a gateway and a control process",
    "gateways and a control process",
    "gateways that reach nobody",
)


@pytest.mark.parametrize("has_lost_quorum", [False, True])
@pytest.mark.parametrize("out_of_step", OUT_OF_STEP)
@pytest.mark.parametrize("new", [1, 3])
@pytest.mark.parametrize("after_s", AFTER_S)
def test_a_gateway_out_of_step_during_a_release_joins_no_streams(
    after_s: float, new: int, out_of_step: str, has_lost_quorum: bool
) -> None:
    stream = take_up_where_a_version_was_missed(
        after_s, new, out_of_step, has_lost_quorum=has_lost_quorum
    )
    held_s = CONTROL_LEASE_S if "control" in out_of_step else IN_FORCE_S
    assert (stream is not None) == (after_s > held_s)


def test_streams_joined_if_a_version_was_used_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise the rows above would show nothing."""
    monkeypatch.setattr(FirstSeen, "is_widely_known", lambda *_: True)
    with pytest.raises(AssertionError, match="a stream of v2 goes on at v1: only version"):
        take_up_where_a_version_was_missed(1.5, 3, "a gateway")


def test_streams_joined_if_control_processes_held_no_version_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They tell of one version for longer than gateways do."""

    def is_widely_known(seen: FirstSeen, _shared: object, now_s: float, lease_s: float) -> bool:
        return now_s - seen.at_s > lease_s

    monkeypatch.setattr(FirstSeen, "is_widely_known", is_widely_known)
    with pytest.raises(AssertionError, match="a stream of v2 goes on at v1: only version"):
        take_up_where_a_version_was_missed(
            5.0, 1, "a gateway and a control process", has_lost_quorum=True
        )


def test_streams_go_on_though_the_quorum_is_lost() -> None:
    """One version all along, and no gateway's state is recent enough to show it."""
    model = Model(3)
    first, second = model.gateways
    follow(model, 12.0)
    third = model.start_gateway()
    follow(model, 2.5)
    model.begin(first, first.known()[0])
    (stream,) = model.streams
    for control in model.controls[:2]:
        control.is_silent = True
    model.controls[2].is_cut_off = True
    follow(model, 2.5)
    model.end_gateway(first)
    assert model.resume(stream, second).origin == stream.origin
    model.advance(CONTROL_LEASE_S)
    assert model.resume(stream, third).origin is None


def test_a_gateway_that_starts_uses_versions_that_all_know() -> None:
    """Though the registry has just changed, and a gateway that was killed has not acknowledged."""
    model = Model(3)
    model.put("i-1", "v2")
    follow(model, 12.0)
    model.end_gateway(model.gateways[0])
    model.put("i-2", "v1")
    for control in model.controls:
        control.hear()
    assert model.start_gateway().origins.widely_known_version(SERVICE) is None
    model.put("i-2", "v3")
    for control in model.controls:
        control.hear()
    assert model.start_gateway().origins.widely_known_version(SERVICE) is not None


def test_gateways_in_step_use_a_version_without_delay() -> None:
    model = Model(3)
    follow(model, 12.0)
    model.put("i-1", "v2")
    follow(model, 0.4)
    assert all(item.origins.widely_known_version(SERVICE) is None for item in model.gateways)


def test_a_gateway_that_starts_beside_a_new_version_does_not_have_its_streams_joined() -> None:
    model = Model(3)
    second = model.gateways[1]
    second.is_cut_off = True
    model.put("i-1", "v2")
    for control in model.controls[:2]:
        control.hear()
    third = model.start_gateway()
    third.hear(model.controls[0])
    model.begin(third, third.known("v2")[0])
    third.flush()
    (stream,) = model.streams
    model.end_gateway(third)
    check_not_joined(model, stream, second)


def test_a_stream_of_an_older_gateway_that_reported_nothing_is_not_joined() -> None:
    model = start_both()
    model.start_gateway(is_older=True)
    stream = begin_and_end(model, model.gateways[-1], "v2")
    assert stream is not None
    assert stream.version == "v2"
    check_not_joined(model, stream, model.gateways[0])


def test_control_processes_that_start_again_at_an_old_state_do_not_join_streams() -> None:
    model = start_both()
    first, second = model.gateways
    stream = begin(model, first, "v2")
    for control in model.controls:
        control.start(views_lost=3)
    model.end_gateway(first)
    assert model.resume(stream, second).origin is None
    model.advance(3.0)
    assert model.resume(stream, second).origin is None


LOSSES = ("killed", "power", "power and a disk", "power, and what was written is kept")


def end_all(model: Model, loss: str, lost_disk: int = 0) -> Gateway:
    """Have all control processes and gateways end; return the gateway that starts again."""
    for gateway in list(model.gateways):
        model.end_gateway(gateway)
    if loss == "killed":
        for control in model.controls:
            control.start()
    else:
        kept = 2 if "kept" in loss else 0
        model.lose_power(kept, [lost_disk] if "disk" in loss else [])
    for control in model.controls:
        control.hear()
    gateway = model.start_gateway()
    for control in model.controls:
        gateway.hear(control)
    return gateway


@pytest.mark.parametrize("lost_disk", range(3))
@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("known_s", [2.1, 2.5, 15.0, 31.0, 61.0, 119.0, 300.0])
@pytest.mark.parametrize("stands_still", [(), (0,), (0, 1, 2)])
def test_a_stream_recorded_just_before_all_end_is_not_joined(
    known_s: float, loss: str, lost_disk: int, stands_still: tuple[int, ...]
) -> None:
    model = Model(3)
    model.put("i-1", "v2")
    for control in model.controls:
        control.hear()
        control.disk.stands_still = control in [model.controls[item] for item in stands_still]
    for gateway in model.gateways:
        gateway.hear(model.controls[0])
    model.advance(known_s)
    first = model.gateways[0]
    model.begin(first, first.known("v2")[0])
    first.flush()
    streams = list(model.streams)
    assert streams or len(stands_still) > 1
    gateway = end_all(model, loss, lost_disk)
    for stream in streams:
        check_not_joined(model, stream, gateway)


@pytest.mark.parametrize("loss", LOSSES)
def test_a_stream_of_the_base_version_goes_on_after_all_end_as_another_one_starts(
    loss: str,
) -> None:
    model = Model(3)
    first = model.gateways[0]
    model.begin(first, first.known()[0])
    (stream,) = model.streams
    model.put("i-1", "v2")
    for control in model.controls:
        control.hear()
    gateway = end_all(model, loss)
    assert model.resume(stream, gateway).origin == stream.origin


def test_a_version_acknowledged_before_it_is_on_disk_would_be_joined(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise the rows above would show nothing."""
    monkeypatch.setattr(Disk, "wait_synced", lambda *_, **__: True)
    with pytest.raises(AssertionError, match="goes on at"):
        test_a_stream_recorded_just_before_all_end_is_not_joined(2.1, "power", 0, (0, 1, 2))


def lose_unacknowledged(ways: Ways) -> tuple[Model, Stream | None]:
    """Have a gateway end as soon as one control process, or none if none is waited for, stored.

    Returns:
        The fleet, and the stream if it sent an event.
    """
    model = start_both(ways)
    first = model.gateways[0]
    model.begin(first, first.known("v2")[0])
    first.flush([0] if ways.acks != 0 else [])
    model.end_gateway(first)
    model.advance(1.0)
    holder = rank_holders(first.name, [item.member for item in model.controls], 0)[0]
    model.slow = {item for item in model.controls if item.address == holder}
    return model, next(iter(model.streams), None)


@pytest.mark.parametrize(
    ("ways", "is_joined"),
    [
        pytest.param(Ways(), False, id="as the product does"),
        pytest.param(Ways(acks=0), True, id="no acknowledgement"),
        pytest.param(Ways(acks=1), True, id="one acknowledgement"),
        pytest.param(Ways(acks=0, use_after_s=2.0), True, id="2 s before a version is used"),
    ],
)
def test_the_model_shows_streams_that_other_rules_would_join(ways: Ways, is_joined: bool) -> None:
    """A model that found nothing wrong with them would show nothing for the product's rules."""
    model, stream = lose_unacknowledged(ways)
    found = None if stream is None else model.resume(stream, model.gateways[0])
    assert is_joined == (
        stream is not None
        and found is not None
        and model.is_joined(stream, model.gateways[0], found)
    )
