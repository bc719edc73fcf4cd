"""What a broken stream's transcript tells: how far it came and with which text. Pure."""

from __future__ import annotations

import msgspec

from leverjunction.backends.sse import DONE_DATA, SseParser

NO_EVENT_ID = "0"


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None
    tool_calls: list[msgspec.Raw] | None = None


class _Choice(msgspec.Struct, frozen=True):
    index: int = 0
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, frozen=True):
    choices: list[_Choice] = []


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a stream came.

    Attributes:
        text: Text of the answer that was passed on.
        last_event_id: Id of the last event since ``segment_start``, ``"0"`` when none.
        finished: True when the chunk with the finish reason was passed on.
        continuable: False when text alone cannot continue it (several choices, tool calls).
    """

    text: str
    last_event_id: str
    finished: bool
    continuable: bool


_DECODER = msgspec.json.Decoder(_Chunk)


def read_progress(transcript: bytes, segment_start: int = 0) -> Progress:
    """Read a transcript of whole SSE events.

    Args:
        transcript: All events that were passed on to the caller.
        segment_start: Where the events of the present runner begin; ids count per runner.
    """
    parts: list[str] = []
    finished = False
    continuable = True
    for event in SseParser().feed(transcript):
        if event.data == DONE_DATA:
            finished = True
            continue
        try:
            chunk = _DECODER.decode(event.data)
        except msgspec.MsgspecError:
            continuable = False
            continue
        for choice in chunk.choices:
            parts.append(_text(choice))
            finished = finished or choice.finish_reason is not None
            continuable = continuable and _is_plain(choice)
    return Progress(
        text="".join(parts),
        last_event_id=_last_id(transcript[segment_start:]),
        finished=finished,
        continuable=continuable,
    )


def _text(choice: _Choice) -> str:
    if choice.delta is not None:
        return choice.delta.content or ""
    return choice.text or ""


def _is_plain(choice: _Choice) -> bool:
    return choice.index == 0 and (choice.delta is None or not choice.delta.tool_calls)


def _last_id(segment: bytes) -> str:
    ids = [event.event_id for event in SseParser().feed(segment) if event.event_id]
    return ids[-1] if ids else NO_EVENT_ID


def with_continue_text(body: bytes, text: str) -> bytes:
    """Return a request body that asks an engine to go on after ``text``."""
    fields: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["continue_text"] = msgspec.Raw(msgspec.json.encode(text))
    return msgspec.json.encode(fields)
