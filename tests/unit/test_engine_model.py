"""The engine model: batching, priorities, KV limit, prefix cache, lag, loading, fences."""

from __future__ import annotations

import random

import pytest

from testbed.engine.model import EngineModel
from testbed.engine.text import Answer, block_hashes, chat_prompt
from testbed.engine.types import (
    EngineConfig,
    EngineOrder,
    EngineRequest,
    FinishReason,
    OrderFence,
    Submission,
)

MODEL = "m"


def make_engine(**changes: object) -> EngineModel:
    values: dict[str, object] = {"models": [MODEL], "cache_event_gap_ratio": 0.0, **changes}
    return EngineModel(EngineConfig(**values), random.Random(1))  # type: ignore[arg-type]


def request(name: str, **changes: object) -> EngineRequest:
    values: dict[str, object] = {"model": MODEL, "prompt": f"a question {name}", **changes}
    return EngineRequest(request_id=name, **values)  # type: ignore[arg-type]


def run(engine: EngineModel, now_s: float = 0.0) -> tuple[dict[str, str], dict[str, str], float]:
    texts: dict[str, str] = {}
    reasons: dict[str, str] = {}
    while engine.has_work():
        outcome = engine.step(now_s)
        now_s += outcome.duration_s
        for emission in outcome.emissions:
            texts[emission.request_id] = texts.get(emission.request_id, "") + emission.text
            if emission.finish_reason:
                reasons[emission.request_id] = emission.finish_reason
    return texts, reasons, now_s


def test_answers_are_whole_and_the_same_anywhere() -> None:
    engine = make_engine()
    for name in ("a", "b"):
        assert engine.submit(request(name, prompt="same prompt"), 0.0) is Submission.ACCEPTED
    texts, reasons, _ = run(engine)
    answer = Answer(MODEL, "same prompt", 16, 64)
    assert texts["a"] == texts["b"] == answer.text(answer.length)
    assert reasons == {"a": FinishReason.STOP, "b": FinishReason.STOP}


@pytest.mark.parametrize("already", [1, 5, 9])
def test_continuation_yields_the_rest_of_the_same_answer(already: int) -> None:
    whole = Answer(MODEL, "p q r", 16, 64)
    engine = make_engine()
    start = whole.text(already)
    engine.submit(request("c", prompt="p q r", continue_text=start, max_tokens=10), 0.0)
    texts, reasons, _ = run(engine)
    assert start + texts["c"] == whole.text(10)
    assert reasons["c"] is FinishReason.LENGTH


def test_cancel_ends_a_request_with_what_it_has() -> None:
    engine = make_engine()
    engine.submit(request("x", min_tokens=50), 0.0)
    first = engine.step(0.0)
    last = engine.cancel("x")
    assert last is not None and last.finish_reason is FinishReason.CANCELLED
    assert last.index == len(first.emissions) == 1
    assert engine.cancel("x") is None and not engine.has_work()


def test_higher_priority_preempts_and_the_preempted_answer_stays_whole() -> None:
    engine = make_engine(max_running=1)
    engine.submit(request("batch", priority=1, max_tokens=6, min_tokens=6), 0.0)
    engine.step(0.0)
    engine.submit(request("online", priority=7, max_tokens=2), 0.1)
    order = []
    now_s = 0.1
    while engine.has_work():
        outcome = engine.step(now_s)
        now_s += outcome.duration_s
        order += [emission.request_id for emission in outcome.emissions]
    assert order == ["online"] * 2 + ["batch"] * 5


def test_step_time_grows_with_sequences_and_prefill() -> None:
    engine = make_engine()
    engine.submit(request("a", prompt="w " * 100), 0.0)
    alone = engine.step(0.0).duration_s
    engine.submit(request("b", prompt="v " * 600, priority=7), 0.1)
    assert engine.step(0.1).prefill_tokens == engine.config.prefill_chunk_tokens
    assert engine.step(0.2).duration_s > alone


def test_kv_limit_holds_by_preemption() -> None:
    engine = make_engine(kv_blocks=8)
    for name in ("a", "b", "c"):
        engine.submit(request(name, prompt="w " * 30, max_tokens=60, min_tokens=60), 0.0)
    now_s = 0.0
    while engine.has_work():
        now_s += engine.step(now_s).duration_s
        assert engine.load_now(now_s).kv_blocks_used <= 8
    assert len(engine.cache) <= 8


def test_cached_prefix_is_not_read_again_and_its_event_comes_late() -> None:
    engine = make_engine()
    prompt = "w " * 64
    engine.submit(request("a", prompt=prompt, max_tokens=1), 0.0)
    assert engine.step(0.0).prefill_tokens == 64
    engine.submit(request("b", prompt=prompt, max_tokens=1), 1.0)
    assert engine.step(1.0).prefill_tokens == 1
    assert engine.cache_events(0, 0.1) == []
    (event,) = engine.cache_events(0, 1.0)
    assert event.kind == "stored" and event.blocks == block_hashes(prompt)


def test_lost_cache_events_leave_a_gap_in_the_sequence() -> None:
    engine = make_engine(cache_event_gap_ratio=0.5)
    for number in range(20):
        engine.submit(request(f"r{number}", prompt=f"{number} " * 16, max_tokens=1), number)
        engine.step(float(number))
    sequences = [event.sequence for event in engine.cache_events(0, 100.0)]
    assert 0 < len(sequences) < 20 and engine.cache.snapshot(100.0).sequence == 20


def test_load_report_lags() -> None:
    engine = make_engine(load_interval_s=0.1, load_lag_s=0.2)
    engine.load_report(0.0)
    engine.submit(request("a", min_tokens=60), 1.0)
    engine.step(1.0)
    assert engine.load_report(1.1).running == 0
    assert engine.load_report(1.25).running == 0
    assert engine.load_report(1.5).running == 1


@pytest.mark.parametrize(
    ("changes", "arguments", "answer"),
    [
        ({}, {"model": "other"}, Submission.MODEL_NOT_LOADED),
        ({"max_waiting": 0}, {}, Submission.FULL),
        ({}, {}, Submission.ACCEPTED),
    ],
)
def test_submission(
    changes: dict[str, object], arguments: dict[str, object], answer: Submission
) -> None:
    assert make_engine(**changes).submit(request("a", **arguments), 0.0) is answer


def load_order(term: int, sequence: int, order_id: str) -> EngineOrder:
    fence = OrderFence(term, sequence)
    return EngineOrder(fence=fence, order_id=order_id, action="load", model="n", version="2")


def test_orders_are_fenced_and_loading_takes_time() -> None:
    engine = make_engine(weights_bytes=100, weights_bytes_per_s=10.0)
    assert engine.order(load_order(2, 5, "one"), 0.0).accepted
    assert engine.order(load_order(2, 5, "one"), 0.0).accepted
    assert not engine.order(load_order(2, 5, "other"), 0.0).accepted
    refused = engine.order(load_order(1, 9, "old"), 0.0)
    assert not refused.accepted and refused.fence == OrderFence(2, 5)
    assert engine.submit(request("a", model="n"), 9.0) is Submission.MODEL_NOT_LOADED
    assert engine.submit(request("a", model="n"), 10.0) is Submission.ACCEPTED
    assert engine.placement.versions()["n"] == "2"


def test_a_load_gets_ready_on_an_engine_without_requests() -> None:
    engine = make_engine(weights_bytes=100, weights_bytes_per_s=10.0)
    engine.order(load_order(1, 1, "one"), 0.0)
    assert "n" not in engine.load_report(9.0).models
    engine.load_report(11.0)
    assert "n" in engine.load_report(12.0).models


def test_chat_prompt_joins_messages() -> None:
    messages = [{"role": "system", "content": "be brief"}, {"role": "user", "content": "hello"}]
    assert chat_prompt(messages) == "system: be brief user: hello"
