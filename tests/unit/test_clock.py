"""Time that a suspended machine did not count must count for leases, deadlines and freshness.

The steady clock that all were judged by stands still while a machine is suspended. A leader that
woke after seconds held its lease for valid, a gateway its table for fresh, and a caller's deadline
for far away: 182 places read that clock, and none counted the time.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from leverjunction.clock import SteadyLoop, SystemClock, steady_s

SUSPENDED_S = 30.0


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list; what is appended to it has passed while the machine was suspended."""
    real = time.clock_gettime
    slept: list[float] = []

    def counted(clock_id: int) -> float:
        return real(clock_id) + (sum(slept) if clock_id == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", counted)
    return slept


def test_the_products_clock_counts_a_suspension(suspend: list[float]) -> None:
    clock = SystemClock()
    before_s = clock.monotonic_s()
    suspend.append(SUSPENDED_S)
    assert clock.monotonic_s() - before_s >= SUSPENDED_S
    assert steady_s() - before_s >= SUSPENDED_S


def test_deadlines_of_a_loop_pass_in_a_suspension(suspend: list[float]) -> None:
    async def wait() -> float:
        loop = asyncio.get_running_loop()
        begun_s = time.monotonic()
        loop.call_later(0.05, suspend.append, SUSPENDED_S)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENDED_S):
                while True:
                    await asyncio.sleep(0.01)
        return time.monotonic() - begun_s

    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        assert runner.run(wait()) < 2.0
