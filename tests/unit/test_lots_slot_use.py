"""What slots are used for while items wait."""

from __future__ import annotations

import pytest

from leverjunction.lots.batch_capacity import WINDOW_S, ServiceCapacity
from leverjunction.lots.slot_use import MAX_GAP_S, SlotSeconds, SlotUse, current_use

SLOTS = 8


def _service(online: list[int], batch: list[int], now_s: float) -> ServiceCapacity:
    service = ServiceCapacity()
    service.set_gateway_reports(1, 0.005, 0)
    for number, (at_online, at_batch) in enumerate(zip(online, batch, strict=True)):
        runner = service.runner(f"b{number}", SLOTS)
        for _ in range(at_batch):
            runner.add_run()
        runner.report_online(at_online, now_s)
        runner.record_sample(at_online + at_batch, 0, now_s)
    return service


def test_every_slot_has_one_use() -> None:
    service = _service([2, 9], [3, 1], 0.0)
    service.runner("never heard", SLOTS)
    service.update(0.0)
    use = current_use(service, 100, 0.0)
    assert use[SlotUse.ONLINE] == 10
    assert use[SlotUse.BATCH] == 3, (
        "a run at a back end that is full of online requests has no slot"
    )
    assert use[SlotUse.NOT_READ] == SLOTS
    assert use[SlotUse.STARTABLE] + use[SlotUse.UNWATCHED] == 3
    assert sum(use.values()) == 3 * SLOTS


def test_idle_slots_are_reserved_once_arrivals_are_known() -> None:
    service = _service([0], [0], 0.0)
    service.update(0.0)
    now_s = WINDOW_S + 1
    service.runner("b0", SLOTS).report_online(4, now_s)
    service.runner("b0", SLOTS).record_sample(4, 0, now_s)
    service.update(now_s)
    service.runner("b0", SLOTS).report_online(0, now_s + 0.5)
    service.runner("b0", SLOTS).record_sample(0, 0, now_s + 0.5)
    use = current_use(service, 100, now_s + 0.5)
    assert use[SlotUse.RESERVED] > 0
    assert use[SlotUse.RESERVED] + use[SlotUse.STARTABLE] == SLOTS


@pytest.mark.parametrize("waiting", [0, 1, 2])
def test_no_more_slots_are_idle_than_items_wait(waiting: int) -> None:
    service = _service([0], [0], 0.0)
    service.runner("never heard", SLOTS)
    service.update(0.0)
    use = current_use(service, waiting, 0.0)
    idle = sum(use.get(kind, 0) for kind in SlotUse) - use[SlotUse.ONLINE] - use[SlotUse.BATCH]
    assert idle == waiting


def test_slot_seconds_add_up_and_skip_long_gaps() -> None:
    seconds = SlotSeconds()
    assert seconds.record(10.0, {SlotUse.BATCH: 4}) == {}
    assert seconds.record(10.5, {SlotUse.BATCH: 2, SlotUse.RESERVED: 6}) == {SlotUse.BATCH: 2.0}
    seconds.record(11.0, {SlotUse.BATCH: 1})
    assert seconds.totals[SlotUse.BATCH] == pytest.approx(3.0)
    assert seconds.totals[SlotUse.RESERVED] == pytest.approx(3.0)
    assert seconds.record(11.0 + 2 * MAX_GAP_S, {}) == {}
    assert "reserved 3.0" in str(seconds)
