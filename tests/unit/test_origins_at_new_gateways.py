"""Streams that a gateway begins before a control process has told it the base version."""

from __future__ import annotations

import pytest
from tests.unit.origin_model import Gateway, Model
from tests.unit.test_origin_losses import begin, begin_and_end, check_not_joined, start_both


def start_gateway(model: Model) -> Gateway:
    """Return a gateway that has started beside two versions, and knows both for long enough."""
    gateway = model.start_gateway()
    model.advance(3.0)
    return gateway


@pytest.mark.parametrize("streams", [1, 3])
def test_a_gateway_that_is_cut_off_before_its_first_report_joins_no_streams(streams: int) -> None:
    model = start_both()
    second, started = model.gateways[1], start_gateway(model)
    started.is_cut_off = True
    for _ in range(streams):
        model.begin(started, started.known("v2")[0])
        model.advance(0.35)
    begun = [stream for stream in model.streams if stream.gateway is started]
    model.end_gateway(started)
    for stream in begun:
        check_not_joined(model, stream, second)


@pytest.mark.parametrize("last", [0, 1, 2])
def test_a_control_process_that_knows_no_base_version_joins_no_streams_of_a_new_gateway(
    last: int,
) -> None:
    """The others, which do not answer for a while, know the base version all the same."""
    model = start_both()
    second, started = model.gateways[1], start_gateway(model)
    begin(model, started, "v2")
    restarted = model.controls[last]
    restarted.start()
    for control in model.controls:
        control.is_silent = control is not restarted
        control.loses_reports = control.is_silent
    model.begin(started, started.known("v2")[0])
    model.advance(0.35)
    model.begin(started, started.known("v2")[0])
    model.advance(0.35)
    stream = begin_and_end(model, started, "v2")
    for control in model.controls:
        control.loses_reports = False
        control.wake()
    model.advance(3.0)
    check_not_joined(model, stream, second)
