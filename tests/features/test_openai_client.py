"""The official ``openai`` client, unmodified, against a fleet of real processes."""

from __future__ import annotations

import io
import json
from collections.abc import Iterator

import openai
import pytest
from tests.features.conftest import FleetPool
from tests.features.world import World

from testbed.engine.text import Answer
from testbed.fleet.caller import expected_text, result_text

pytestmark = pytest.mark.fleet

TOKENS = 12
LONG_TOKENS = 2000
ITEMS = 20
CONCURRENCY_PATH = "tenants/event-labels/limits/concurrency"
INHERITED_CONCURRENCY = 128


@pytest.fixture
def world(fleet_pool: FleetPool) -> World:
    return World(fleet_pool.healthy("kilimo"))


@pytest.fixture
def model(world: World) -> str:
    return world.fleet.scenario.online_model()


def client_of(world: World, key: str = "", gateway: int = 0) -> openai.OpenAI:
    url = f"{world.fleet.gateway_urls()[gateway]}/v1"
    return openai.OpenAI(
        base_url=url, api_key=key or world.fleet.scenario.online_key, max_retries=0
    )


@pytest.fixture
def client(world: World) -> openai.OpenAI:
    return client_of(world)


def question(world: World) -> list[dict[str, str]]:
    return [{"role": "user", "content": f"{world.label} asks"}]


def test_chat(world: World, client: openai.OpenAI, model: str) -> None:
    answer = client.chat.completions.create(
        model=model,
        messages=question(world),  # type: ignore[arg-type]
        max_tokens=TOKENS,
        extra_body={"min_tokens": TOKENS},
    )
    (choice,) = answer.choices
    assert choice.message.content == expected_text(model, f"{world.label} asks", TOKENS)
    assert choice.finish_reason == "length"
    assert answer.usage is not None and answer.usage.completion_tokens == TOKENS


def test_chat_stream(world: World, client: openai.OpenAI, model: str) -> None:
    chunks = client.chat.completions.create(
        model=model,
        messages=question(world),  # type: ignore[arg-type]
        max_tokens=TOKENS,
        stream=True,
        extra_body={"min_tokens": TOKENS},
    )
    choices = [chunk.choices[0] for chunk in chunks]
    text = "".join(choice.delta.content or "" for choice in choices)
    assert text == expected_text(model, f"{world.label} asks", TOKENS)
    assert choices[-1].finish_reason == "length"


@pytest.mark.parametrize("stream", [False, True])
def test_completion(world: World, client: openai.OpenAI, model: str, stream: bool) -> None:
    prompt = f"{world.label} text"
    answer = client.completions.create(
        model=model,
        prompt=prompt,
        max_tokens=TOKENS,
        stream=stream,
        extra_body={"min_tokens": TOKENS},
    )
    parts = answer if stream else [answer]
    text = "".join(part.choices[0].text for part in parts)  # type: ignore[union-attr]
    assert text == Answer(model, prompt, TOKENS, TOKENS).text(TOKENS)


def test_models(world: World, client: openai.OpenAI) -> None:
    listed = {each.id for each in client.models.list()}
    services = world.fleet.scenario.services.values()
    assert {name for service in services for name in service.models} <= listed


def test_file_and_batch(world: World) -> None:
    key = world.fleet.scenario.batch_key
    client, other = client_of(world, key), client_of(world, key, gateway=1)
    body = "\n".join(json.dumps(line) for line in world.job_lines(ITEMS)).encode()
    file = client.files.create(file=("items.jsonl", io.BytesIO(body)), purpose="batch")
    batch = client.batches.create(
        input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    world.wait(lambda: other.batches.retrieve(batch.id).status == "completed", "the batch is done")
    done = other.batches.retrieve(batch.id)
    assert done.request_counts is not None and done.request_counts.completed == ITEMS
    assert batch.id in {each.id for each in other.batches.list()}
    assert done.output_file_id is not None
    output = [json.loads(line) for line in other.files.content(done.output_file_id).iter_lines()]
    assert sorted(line["custom_id"] for line in output) == sorted(world.contents)
    for line in output:
        assert result_text(line) == world.expected_item(line["custom_id"]), line


def test_batch_cancel(world: World) -> None:
    client = client_of(world, world.fleet.scenario.batch_key)
    body = "\n".join(json.dumps(line) for line in world.job_lines(2000)).encode()
    file = client.files.create(file=("items.jsonl", io.BytesIO(body)), purpose="batch")
    batch = client.batches.create(
        input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    assert client.batches.cancel(batch.id).status in ("cancelling", "cancelled")
    world.wait(lambda: client.batches.retrieve(batch.id).status == "cancelled", "it is cancelled")


def test_unknown_key(world: World, model: str) -> None:
    with pytest.raises(openai.AuthenticationError) as caught:
        client_of(world, "no-such-key").chat.completions.create(
            model=model,
            messages=question(world),  # type: ignore[arg-type]
        )
    assert caught.value.body["execution"] == "not_run"  # type: ignore[index]


def test_unknown_model(world: World, client: openai.OpenAI) -> None:
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(
            model="no-such-model",
            messages=question(world),  # type: ignore[arg-type]
        )
    assert caught.value.body["execution"] == "not_run"  # type: ignore[index]


def test_bad_body(world: World, client: openai.OpenAI, model: str) -> None:
    with pytest.raises(openai.BadRequestError) as caught:
        client.chat.completions.create(model=model, messages="not a list")  # type: ignore[call-overload]
    assert caught.value.body["execution"] == "not_run"


@pytest.fixture
def one_at_a_time(world: World) -> Iterator[None]:
    """Let the batch tenant have one request open at a gateway."""
    _set_concurrency(world, 1)
    yield
    _set_concurrency(world, INHERITED_CONCURRENCY)


def _set_concurrency(world: World, value: int) -> None:
    version = world.operator.set(CONCURRENCY_PATH, value).version
    world.wait(
        lambda: all(g.settings_version >= version for g in world.operator.gateways()),
        "the limit is in force",
    )


@pytest.mark.usefixtures("one_at_a_time")
def test_rate_limit(world: World, model: str) -> None:
    client = client_of(world, world.fleet.scenario.batch_key)
    stream = client.chat.completions.create(
        model=model,
        messages=question(world),  # type: ignore[arg-type]
        max_tokens=LONG_TOKENS,
        stream=True,
        extra_body={"min_tokens": LONG_TOKENS},
    )
    next(iter(stream))
    refused = f"{world.label} refused"
    with pytest.raises(openai.RateLimitError) as caught:
        client.chat.completions.create(
            model=model, messages=[{"role": "user", "content": refused}], max_tokens=1
        )
    stream.close()
    assert int(caught.value.response.headers["retry-after"]) >= 1
    assert caught.value.body["execution"] == "not_run"  # type: ignore[index]
    assert not world.fleet.executions(refused)
