"""Tests of how soon a control process hears of a gateway's streams, in virtual time."""

from __future__ import annotations

import pytest

from leverjunction.registry.origin_reporter import BURST_REPORTS, COLLECT_S, MEAN_INTERVALS_S
from leverjunction.registry.report_pace import ReportPace

STREAM_INTERVAL_S = 0.005
CALL_S = 0.006


def longest_lag_s(mean_s: float, lasting_s: float) -> float:
    """Return the longest time from the begin of a stream until its report is sent."""
    pace = ReportPace(COLLECT_S, mean_s, BURST_REPORTS)
    began = [number * STREAM_INTERVAL_S for number in range(int(lasting_s / STREAM_INTERVAL_S))]
    now_s, longest_s = 0.0, 0.0
    while began:
        now_s = max(now_s, began[0], pace.due_s())
        longest_s = max(longest_s, now_s - began[0])
        began = [at_s for at_s in began if at_s > now_s]
        pace.sent(now_s)
        now_s += CALL_S
    return longest_s


@pytest.mark.parametrize("mean_s", MEAN_INTERVALS_S)
def test_streams_that_begin_together_are_known_at_each_holder_after_a_moment(
    mean_s: float,
) -> None:
    """Else those of the last 0.2 s are lost if two control processes end with the gateway."""
    assert longest_lag_s(mean_s, lasting_s=0.4) <= 2 * COLLECT_S


def test_reports_that_go_on_for_long_keep_to_their_mean() -> None:
    pace, sent, now_s = ReportPace(COLLECT_S, 0.2, BURST_REPORTS), 0, 0.0
    while now_s < 60.0:
        pace.sent(now_s)
        sent, now_s = sent + 1, max(now_s + CALL_S, pace.due_s())
    assert sent <= 60.0 / 0.2 + BURST_REPORTS + 1
