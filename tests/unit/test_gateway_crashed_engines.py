"""An engine that was found crashed gets no further requests, before its owner has polled it."""

from __future__ import annotations

import random
import time
from pathlib import Path

import pytest
from tests.unit.gateway_support import MESSAGES, MODEL, TEXT
from tests.unit.test_gateway_crashing_requests import CrashingFleet

from leverjunction.gateway import owner
from leverjunction.gateway.ejection import FIRST_EJECTION_S, JITTER_RATIO, Ejection

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

SOUND_REQUESTS = 20


def test_sound_requests_are_not_sent_to_crashed_engines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With three attempts and three crashed engines, a request may otherwise end with a 502."""
    monkeypatch.setattr(owner, "IDLE_POLL_INTERVAL_S", 60.0)
    fleet = CrashingFleet(tmp_path, 1)
    try:
        fleet.send(0, stream=False)
        assert fleet.crashes() == 3
        client = fleet.client(0, 0)
        for _ in range(SOUND_REQUESTS):
            answer = client.chat.completions.create(model=MODEL, messages=MESSAGES)
            assert answer.choices[0].message.content == TEXT
        registry = fleet.gateways[0].counters.registry
        unreachable = registry.get_sample_value(
            "leverjunction_attempts_total", {"outcome": "unreachable"}
        )
        assert not unreachable
    finally:
        fleet.stop()


def test_sound_requests_are_not_sent_to_crashed_engines_after_their_ejection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that find out for a gateway that a crashed engine is still down.

    The failure: once the ejections of 1 s were over, the next sound requests were sent to the
    crashed engines as probes. On a busy machine this happened within the test above.
    """
    monkeypatch.setattr(owner, "IDLE_POLL_INTERVAL_S", 60.0)
    fleet = CrashingFleet(tmp_path, 1)
    try:
        fleet.send(0, stream=False)
        assert fleet.crashes() == 3
        time.sleep(FIRST_EJECTION_S * (1 + JITTER_RATIO))
        client = fleet.client(0, 0)
        for _ in range(SOUND_REQUESTS):
            answer = client.chat.completions.create(model=MODEL, messages=MESSAGES)
            assert answer.choices[0].message.content == TEXT
        registry = fleet.gateways[0].counters.registry
        unreachable = registry.get_sample_value(
            "leverjunction_attempts_total", {"outcome": "unreachable"}
        )
        assert not unreachable
    finally:
        fleet.stop()


def test_a_crashed_engine_is_used_again_after_its_restart() -> None:
    ejection, generator = Ejection(), random.Random(1)
    ids = ["a", "b", "c"]
    first_s = ejection.record_crash("a", 0.0, generator)
    assert first_s is not None
    assert not ejection.start_check_if_due("a", first_s / 2), "it is ejected"
    assert not ejection.start_check_if_due("b", first_s), "it has not crashed"
    assert ejection.start_check_if_due("a", first_s)
    assert ejection.blocked(ids, first_s) == {"a"}
    assert not ejection.start_check_if_due("a", first_s), "one check at a time"
    second_s = ejection.end_check("a", False, first_s, generator)
    assert second_s is not None
    assert second_s > 1.5 * first_s
    now_s = first_s + second_s
    assert ejection.start_check_if_due("a", now_s)
    assert ejection.end_check("a", True, now_s, generator) is None
    assert not ejection.start_check_if_due("a", now_s), "it is running"
    assert ejection.start_probe_if_due("a", now_s), "the next request probes it"
    ejection.record_success("a")
    assert ejection.blocked(ids, now_s) == set()


def test_a_crash_ejects_at_once_and_its_further_reports_change_nothing() -> None:
    ejection, generator = Ejection(), random.Random(1)
    ids = ["a", "b", "c"]
    ejection.record_failure("a", 0.0, generator)
    first_s = ejection.record_crash("a", 0.0, generator)
    assert first_s is not None
    assert ejection.blocked(ids, 0.0) == {"a"}
    for _ in range(12):
        assert ejection.record_crash("a", 0.5, generator) is None
    assert ejection.blocked(ids, first_s) == set()
    ejection.record_success("a")
    assert ejection.blocked(ids, 0.0) == set()
