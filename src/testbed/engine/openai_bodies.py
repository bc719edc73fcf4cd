"""OpenAI-shaped bodies of the stand-in: requests in, chunks and answers out."""

from __future__ import annotations

import time

import msgspec

from testbed.engine.runtime import LiveRequest
from testbed.engine.text import chat_prompt
from testbed.engine.types import Emission, EngineRequest, FinishReason

DEFAULT_PRIORITY = 5
DONE_EVENT = b"data: [DONE]\n\n"


class OpenAiRequest(msgspec.Struct, kw_only=True):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    messages: list[dict[str, object]] = []
    prompt: str = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    min_tokens: int = 0
    stream: bool = False
    continue_text: str = ""


def to_engine_request(
    body: OpenAiRequest, request_id: str, attempt: int, priority: int, owner: str = ""
) -> EngineRequest:
    """Return the request as the model runs it."""
    return EngineRequest(
        request_id=request_id,
        attempt=attempt,
        model=body.model,
        prompt=chat_prompt(body.messages) if body.messages else body.prompt,
        priority=priority,
        max_tokens=body.max_tokens or body.max_completion_tokens or 0,
        min_tokens=body.min_tokens,
        continue_text=body.continue_text,
        owner=owner,
    )


def sse_event(live: LiveRequest, emission: Emission, is_chat: bool) -> bytes:
    """Return the SSE event of one emission."""
    choice: dict[str, object] = {"index": 0, "finish_reason": emission.finish_reason}
    if is_chat:
        choice["delta"] = {"role": "assistant", "content": emission.text}
    else:
        choice["text"] = emission.text
    chunk = _envelope(live, "chat.completion.chunk" if is_chat else "text_completion")
    chunk["choices"] = [choice]
    if emission.finish_reason is not None:
        chunk["usage"] = _usage(live, emission.index)
    return b"id: %d\ndata: %s\n\n" % (emission.index, msgspec.json.encode(chunk))


def whole_answer(live: LiveRequest, is_chat: bool) -> bytes:
    """Return the body of an answer that is not streamed."""
    text = live.text()
    choice: dict[str, object] = {"index": 0, "finish_reason": live.finish}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = _envelope(live, "chat.completion" if is_chat else "text_completion")
    body["choices"] = [choice]
    body["usage"] = _usage(live, live.continued + live.generated())
    return msgspec.json.encode(body)


def is_finished(emission: Emission) -> bool:
    """Return whether this is the last emission of its request."""
    return isinstance(emission.finish_reason, FinishReason)


def _envelope(live: LiveRequest, kind: str) -> dict[str, object]:
    return {
        "id": f"cmpl-{live.request.request_id}",
        "object": kind,
        "created": int(time.time()),
        "model": live.request.model,
    }


def _usage(live: LiveRequest, completion_tokens: int) -> dict[str, int]:
    prompt_tokens = len(live.request.prompt.split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }
