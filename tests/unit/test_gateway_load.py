"""Expected load of runners: outdated reports corrected by own sends, without batch work."""

from __future__ import annotations

from leverjunction.backends.types import LoadReport
from leverjunction.gateway.owner import digest_of
from leverjunction.gateway.send_ledger import SendLedger
from leverjunction.wire.messages import RunnerDigest


def report(**fields: int) -> LoadReport:
    values: dict[str, int] = {
        "as_of_ms": 1000,
        "incarnation": 1,
        "running": 0,
        "waiting": 0,
        "batch_running": 0,
        "batch_waiting": 0,
        "kv_blocks_used": 0,
        "kv_blocks_total": 10,
    }
    return LoadReport(step_ms=1.0, **(values | fields))


def digest(**fields: int) -> RunnerDigest:
    return digest_of("e1", report(**fields))


def test_batch_work_is_not_counted_as_online_load() -> None:
    ledger = SendLedger()
    batch_only = digest(running=8, batch_running=8, waiting=40, batch_waiting=40)
    assert ledger.expected_load("e1", batch_only) == 0
    mixed = digest(running=8, batch_running=6, waiting=40, batch_waiting=39)
    assert ledger.expected_load("e1", mixed) == 3


def test_the_digest_has_the_counts_of_the_report() -> None:
    load_digest = digest(running=3, waiting=5, batch_running=1, batch_waiting=4)
    assert (load_digest.running, load_digest.waiting) == (3, 5)
    assert (load_digest.batch_running, load_digest.batch_waiting) == (1, 4)


def test_sends_after_the_report_are_added_and_ended_sends_subtracted() -> None:
    ledger = SendLedger()
    ledger.sent("e1", "old", 900)
    ledger.sent("e1", "new", 1100)
    # The report counts "old" and two requests of other gateways.
    load_digest = digest(running=3)
    assert ledger.expected_load("e1", load_digest) == 4
    ledger.finished("e1", "old", 1200)
    assert ledger.expected_load("e1", load_digest) == 3
    ledger.finished("e1", "new", 1300)
    assert ledger.expected_load("e1", load_digest) == 2


def test_own_open_sends_are_a_lower_bound() -> None:
    ledger = SendLedger()
    ledger.sent("e1", "a", 900)
    assert ledger.expected_load("e1", digest()) == 1
    assert ledger.expected_load("e1", None) == 1
