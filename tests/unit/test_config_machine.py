"""Settings of a process in a seeded deployment: what fits together and what does not."""

from __future__ import annotations

import pytest
from pydantic import ValidationError

from leverjunction.config.machine import MachineElections


def test_the_usual_times_fit_together() -> None:
    times = MachineElections()
    assert times.heartbeat_s * 2 <= times.timeout_min_s < times.timeout_max_s


@pytest.mark.parametrize(
    "wrong",
    [
        {"heartbeat_s": 0.3},
        {"timeout_min_s": 0.8},
        {"timeout_max_s": 0.4},
        {"heartbeat_s": 0},
        {"timeout_min": 0.5},
    ],
    ids=["heartbeats too rare", "no spread", "order", "zero", "unknown key"],
)
def test_times_that_do_not_fit_together_are_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(ValidationError):
        MachineElections.model_validate(wrong)
