"""Streams whose gateway ends are resumed at another one, on real processes.

While at least two back ends of the version that began them serve, they go on at no less than half
of the share at which new streams begin, and no stream holds events of two versions.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from tests.unit.resumed_streams_support import (
    BACK_ENDS,
    LEAST_RESUMED,
    LINES,
    NEW,
    OLD,
    Play,
    play,
)

pytestmark = pytest.mark.fleet


@pytest.mark.parametrize("line", LINES)
def test_resumed_streams_go_on_where_new_ones_begin(line: str, tmp_path: Path) -> None:
    counts = play(line, tmp_path)
    assert not counts.broken, f"{counts.broken}; {counts.text()}"
    assert counts.resumed >= LEAST_RESUMED, counts.text()
    if LINES[line].is_promised:
        assert counts.began > 0, f"no new stream began: {counts.text()}"
        assert counts.keeps_promise(), counts.text()


def test_a_new_version_does_not_wait_where_all_gateways_know_it(tmp_path: Path) -> None:
    """Gateways that may not know it would cost 2 s (``bounds.in_force_ms``)."""
    deployment = Play(tmp_path, seed=1)
    try:
        deployment.start([OLD] * BACK_ENDS)
        deployment.start_second_version()
        assert deployment.begin_until_used(NEW) < 1.0
    finally:
        deployment.close()


def test_streams_that_go_on_at_any_version_are_found(tmp_path: Path) -> None:
    counts = play("nothing else", tmp_path, streams=24, rule="continue_anywhere")
    assert any("holds events of ['v1', 'v1.1']" in line for line in counts.broken), counts.text()


def test_a_gateway_that_trusts_its_state_while_it_is_cut_off_is_found(tmp_path: Path) -> None:
    line = "a gateway is cut off for 7 s as a second version starts"
    counts = play(line, tmp_path, rule="trust_states_of_any_age")
    assert any("holds events of ['v1', 'v1.1']" in line for line in counts.broken), counts.text()
