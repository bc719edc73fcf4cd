"""A planned stop of a gateway, on real processes: each request that it reads gets a whole answer.

Not counted is only what LOST leaves out: the deadline or the route's timeout was reached, or a back
end that answers was still at work in the last sixth of the grace on a request sent in time.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from tests.unit.planned_stops_support import LINES, play

pytestmark = pytest.mark.fleet


@pytest.mark.parametrize("line", LINES)
def test_requests_that_a_stopping_gateway_has_read_get_whole_answers(
    line: str, tmp_path: Path
) -> None:
    outcome = play(line, tmp_path)
    assert not outcome.cut, f"{outcome.cut}; {outcome.text()}"
    assert not outcome.cut_elsewhere, f"{outcome.cut_elsewhere}; {outcome.text()}"
    assert not outcome.broken, f"{outcome.broken}; {outcome.text()}"
    assert outcome.sent_late > 0, f"shows nothing: {outcome.text()}"
