"""Unit tests of the pure logic of admission, routing, ejection, retries and the prefix index."""

from __future__ import annotations

import random

import pytest

from leverjunction.backends.types import CHAT_PATH, CacheEvent, CacheEventKind
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission import Admission, Admitted, Queued, QueueLimits
from leverjunction.gateway.drain_rate import DrainRate
from leverjunction.gateway.ejection import FAILURES_TO_EJECT, MAX_EJECTION_S, Ejection
from leverjunction.gateway.prefix_index import PrefixIndex
from leverjunction.gateway.prompt import parse_request
from leverjunction.gateway.retry import MAX_SAVED_RETRIES, RetryBudget, may_retry
from leverjunction.gateway.routing import (
    AffinityPrefix,
    Candidate,
    Exclusion,
    RouteQuery,
    affinity_prefix,
    choose,
)
from leverjunction.settings.resolved import ResolvedLimits

LIMITS = ResolvedLimits(requests_per_s=2.0, burst=3, concurrency=10, max_job_items=1)
QUEUE = QueueLimits(max_queue=2, queue_timeout_s=5.0)


def expect_rejection(outcome: object) -> Failure:
    """Check that a request was rejected without being run, and return the failure."""
    assert isinstance(outcome, Failure)
    assert outcome.execution is Execution.NOT_RUN
    return outcome


def test_token_bucket_rejects_above_the_burst_and_refills() -> None:
    admission = Admission()
    for _ in range(LIMITS.burst):
        assert admission.acquire("acme", LIMITS, 0.0) is None
    rejection = expect_rejection(admission.acquire("acme", LIMITS, 0.0))
    assert rejection.kind is FailureKind.RATE_LIMITED
    assert rejection.retry_after_s == pytest.approx(0.5)
    assert admission.acquire("other", LIMITS, 0.0) is None
    assert admission.acquire("acme", LIMITS, 0.5) is None
    expect_rejection(admission.acquire("acme", LIMITS, 0.5))


def test_concurrency_limit_estimates_when_a_slot_becomes_free() -> None:
    limits = ResolvedLimits(requests_per_s=100.0, burst=100, concurrency=2, max_job_items=1)
    admission = Admission()
    assert [admission.acquire("acme", limits, 0.0) for _ in range(2)] == [None, None]
    expect_rejection(admission.acquire("acme", limits, 0.0))
    admission.release("acme", 1.0)
    assert admission.acquire("acme", limits, 1.0) is None
    rejection = expect_rejection(admission.acquire("acme", limits, 1.0))
    assert rejection.retry_after_s == pytest.approx(10.0)


def test_queue_is_first_in_first_out_and_bounded() -> None:
    admission = Admission()
    assert admission.admit_or_queue("llm", "a", QUEUE, 1, 0.0) == Admitted()
    assert admission.admit_or_queue("llm", "b", QUEUE, 0, 0.0) == Queued(ahead=0)
    # The free slot belongs to the waiting request.
    assert admission.admit_or_queue("llm", "c", QUEUE, 1, 0.0) == Queued(ahead=1)
    full = expect_rejection(admission.admit_or_queue("llm", "d", QUEUE, 0, 0.0))
    assert (full.kind, full.step) == (FailureKind.OVERLOADED, Step.QUEUEING)
    assert admission.pop_admitted("llm", 1) == ["b"]
    assert admission.pop_admitted("llm", 5) == ["c"]


def test_a_wait_beyond_the_deadline_is_rejected_immediately_with_retry_after() -> None:
    admission = Admission()
    for second in range(5):
        admission.request_ended("llm", second * 2.0)
    admission.admit_or_queue("llm", "a", QUEUE, 0, 8.0)
    rejection = expect_rejection(admission.admit_or_queue("llm", "b", QUEUE, 0, 8.0))
    rate = DrainRate()
    for second in range(5):
        rate.record_end(second * 2.0)
    wait_s = rate.wait_s(2, 8.0)
    assert wait_s is not None
    assert rejection.retry_after_s == pytest.approx(wait_s - QUEUE.queue_timeout_s)


def test_a_ticket_expires_at_its_deadline() -> None:
    admission = Admission()
    admission.admit_or_queue("llm", "a", QUEUE, 0, 0.0)
    assert admission.pop_expired("llm", "a", 4.9) is None
    assert expect_rejection(admission.pop_expired("llm", "a", 5.0)).step is Step.QUEUEING
    assert admission.waiting() == 0


def test_total_number_of_waiting_requests_is_bounded() -> None:
    admission = Admission(max_waiting=2)
    admission.admit_or_queue("llm", "a", QUEUE, 0, 0.0)
    admission.admit_or_queue("status", "b", QUEUE, 0, 0.0)
    assert (
        "in this gateway"
        in expect_rejection(admission.admit_or_queue("llm", "c", QUEUE, 0, 0.0)).reason
    )
    admission.remove("status", "b")
    assert admission.admit_or_queue("llm", "c", QUEUE, 0, 0.0) == Queued(ahead=1)


def candidate(name: str, **fields: object) -> Candidate:
    values = {"address": name, "zone": "z1", "load": 0.0, "capacity": 4} | fields
    return Candidate(runner_id=name, **values)  # type: ignore[arg-type]


def chosen(candidates: list[Candidate], prefix_weight: float = 1.0) -> str | None:
    query = RouteQuery(zone="z1", prompt_blocks=10, prefix_weight=prefix_weight)
    choice = choose(candidates, query, random.Random(1))
    return choice.chosen.runner_id if choice.chosen is not None else None


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        ([candidate("near", load=3.0), candidate("far", zone="z2")], "near"),
        ([candidate("near", load=4.0), candidate("far", zone="z2")], "far"),
        ([candidate("a", load=2.0), candidate("b", load=1.0)], "b"),
        ([candidate("a", load=1.0, overlap_blocks=10), candidate("b", load=0.5)], "a"),
        ([candidate("a", load=3.0, overlap_blocks=10), candidate("b", load=0.5)], "b"),
        ([candidate("a", excluded=Exclusion.LEAVING), candidate("b", load=3.0)], "b"),
        ([candidate("a", excluded=Exclusion.EJECTED)], None),
        ([candidate("a", load=4.0)], None),
    ],
)
def test_selection_of_a_runner(candidates: list[Candidate], expected: str | None) -> None:
    assert chosen(candidates) == expected


def blocks_of(conversation: str, count: int) -> list[str]:
    return [f"{conversation}-{index}" for index in range(count)]


def chosen_for(blocks: list[str], runners: list[Candidate], seed: int, zone: str = "z1") -> str:
    query = RouteQuery(
        zone=zone,
        prompt_blocks=len(blocks),
        prefix_weight=4.0,
        region_zones=frozenset({"z1", "z2"}),
        affinity=affinity_prefix(blocks, continues=True, prefix_weight=4.0),
    )
    choice = choose(runners, query, random.Random(seed))
    assert choice.chosen is not None
    return choice.chosen.runner_id


def test_all_gateways_prefer_the_same_runner_for_a_conversation() -> None:
    runners = [candidate(f"e{index}", zone=f"z{index % 2 + 1}") for index in range(6)]
    preferred = set()
    for number in range(20):
        blocks = blocks_of(f"c{number}", 40)
        chosen_by_gateways = {
            chosen_for(blocks[:length], runners, seed, zone)
            for seed, (length, zone) in enumerate([(33, "z1"), (36, "z2"), (40, "z1")])
        }
        assert len(chosen_by_gateways) == 1
        preferred |= chosen_by_gateways
    assert len(preferred) > 2, "conversations are distributed over the runners"


def test_a_removed_runner_moves_only_its_own_conversations() -> None:
    runners = [candidate(f"e{index}") for index in range(6)]
    before = {number: chosen_for(blocks_of(f"c{number}", 32), runners, 1) for number in range(30)}
    remaining = [runner for runner in runners if runner.runner_id != "e3"]
    for number, preferred in before.items():
        if preferred != "e3":
            assert chosen_for(blocks_of(f"c{number}", 32), remaining, 1) == preferred


def test_a_loaded_preferred_runner_is_not_selected() -> None:
    blocks = blocks_of("c", 32)
    runners = [candidate(f"e{index}", capacity=20) for index in range(4)]
    preferred = chosen_for(blocks, runners, 1)
    loaded = [
        candidate(
            runner.runner_id, capacity=20, load=10.0 if runner.runner_id == preferred else 0.0
        )
        for runner in runners
    ]
    assert chosen_for(blocks, loaded, 1) != preferred


def affinity_of(
    blocks: list[str], *, continues: bool = True, prefix_weight: float = 1.0
) -> AffinityPrefix | None:
    return affinity_prefix(blocks, continues=continues, prefix_weight=prefix_weight)


def test_a_first_turn_has_a_preferred_runner_only_with_a_high_prefix_weight() -> None:
    blocks = blocks_of("c", 20)
    assert affinity_of(blocks, continues=False) is None
    assert affinity_of(blocks, continues=False, prefix_weight=4.0) is not None
    answered = '{"model": "m", "messages": [{"role": "%s", "content": "x"}]}'
    for role, continues in (("user", False), ("assistant", True)):
        parsed = parse_request(CHAT_PATH, (answered % role).encode())
        assert not isinstance(parsed, Failure)
        assert parsed.continues is continues


def test_a_short_prompt_has_no_affinity_and_the_prefix_length_doubles() -> None:
    blocks = blocks_of("c", 70)
    assert affinity_of(blocks[:15]) is None
    prefixes = [affinity_of(blocks[:length]) for length in (16, 31, 32, 63, 64, 70)]
    assert [prefix.blocks for prefix in prefixes if prefix is not None] == [16, 16, 32, 32, 64, 64]


def test_a_runner_in_another_zone_is_selected_only_for_a_much_longer_prefix() -> None:
    query = RouteQuery(
        zone="z1", prompt_blocks=40, prefix_weight=4.0, region_zones=frozenset({"z1", "z2"})
    )
    for remote_blocks, expected in ((8, "near"), (30, "far")):
        runners = [candidate("near"), candidate("far", zone="z2", overlap_blocks=remote_blocks)]
        choice = choose(runners, query, random.Random(1))
        assert choice.chosen is not None
        assert choice.chosen.runner_id == expected
    other_region = [candidate("near"), candidate("far", zone="z9", overlap_blocks=40)]
    choice = choose(other_region, query, random.Random(1))
    assert choice.chosen is not None
    assert choice.chosen.runner_id == "near"


def test_gateways_with_the_same_reports_select_different_runners() -> None:
    runners = [candidate(f"e{index}", load=float(index % 2)) for index in range(8)]
    query = RouteQuery(zone="z1", prompt_blocks=0, prefix_weight=1.0)
    names = set()
    for seed in range(40):
        choice = choose(runners, query, random.Random(seed))
        assert choice.chosen is not None
        names.add(choice.chosen.runner_id)
    assert len(names) >= 4


def test_ejection_backs_off_and_a_single_request_probes() -> None:
    ejection, generator = Ejection(), random.Random(1)
    ids = ["a", "b", "c"]
    for _ in range(FAILURES_TO_EJECT - 1):
        assert ejection.record_failure("a", 0.0, generator) is None
    first_s = ejection.record_failure("a", 0.0, generator)
    assert first_s is not None
    assert ejection.blocked(ids, 0.0) == {"a"}
    assert ejection.blocked(ids, first_s) == set()
    assert ejection.start_probe_if_due("a", first_s)
    assert ejection.blocked(ids, first_s) == {"a"}, "only one request probes"
    second_s = ejection.record_failure("a", first_s, generator)
    assert second_s is not None
    assert second_s > 1.5 * first_s
    ejection.record_success("a")
    assert ejection.blocked(ids, first_s) == set()
    for _ in range(40):
        last_s = ejection.record_failure("a", 0.0, generator)
    assert last_s is not None
    assert last_s <= MAX_EJECTION_S * 1.2


def test_a_fault_of_most_runners_ejects_none() -> None:
    ejection, generator = Ejection(), random.Random(1)
    for runner_id in ("a", "b"):
        for _ in range(FAILURES_TO_EJECT):
            ejection.record_failure(runner_id, 0.0, generator)
    assert ejection.blocked(["a", "b", "c"], 0.0) == set()
    assert ejection.blocked(["a", "b", "c", "d"], 0.0) == {"a", "b"}


def test_retries_are_limited_to_a_ratio_of_the_traffic() -> None:
    budget = RetryBudget()
    while budget.take("llm", 0.0):
        pass
    for _ in range(100):
        budget.request("llm", 0.1, 0.0)
    taken = 0
    while budget.take("llm", 0.0):
        taken += 1
    assert taken in (9, 10)
    assert budget.take("llm", 2.0), "a service without traffic accrues a retry over time"
    assert budget.take("other", 0.0)
    assert taken <= MAX_SAVED_RETRIES


@pytest.mark.parametrize(
    ("kind", "execution", "repeatable", "expected"),
    [
        (FailureKind.UNREACHABLE, Execution.NOT_RUN, False, True),
        (FailureKind.OVERLOADED, Execution.NOT_RUN, False, True),
        (FailureKind.BACKEND_FAILED, Execution.UNKNOWN, False, False),
        (FailureKind.BACKEND_MISMATCH, Execution.UNKNOWN, False, False),
        (FailureKind.BACKEND_FAILED, Execution.UNKNOWN, True, True),
        (FailureKind.DEADLINE_EXCEEDED, Execution.NOT_RUN, True, False),
    ],
)
def test_which_failures_may_be_retried(
    kind: FailureKind, execution: Execution, repeatable: bool, expected: bool
) -> None:
    failure = Failure(kind=kind, reason="", step=Step.SENDING, execution=execution)
    assert may_retry(failure, repeatable) is expected


def event(sequence: int, kind: CacheEventKind, *blocks: str) -> CacheEvent:
    return CacheEvent(sequence=sequence, as_of_ms=0, kind=kind, blocks=list(blocks))


def test_prefix_index_applies_events_and_reports_gaps() -> None:
    index = PrefixIndex(max_blocks_per_runner=3)
    assert index.apply("e1", event(4, CacheEventKind.SNAPSHOT, "a", "b"))
    assert index.overlap("e1", ["a", "b", "c"]) == 2
    assert index.apply("e1", event(5, CacheEventKind.STORED, "c"))
    assert index.apply("e1", event(5, CacheEventKind.REMOVED, "c")), "a repeated event"
    assert index.overlap("e1", ["a", "b", "c"]) == 3
    assert not index.apply("e1", event(7, CacheEventKind.REMOVED, "a")), "a gap"
    assert index.overlap("e1", ["a", "b", "c"]) == 0
    index.sent("e1", ["x", "y"])
    assert index.overlap("e1", ["x", "y"]) == 2
    index.forget("e1")
    assert index.overlap("e1", ["x", "y"]) == 0
