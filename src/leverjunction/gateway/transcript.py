"""Reads the progress of a broken stream from the transcript of its events. Pure: no I/O."""

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
    """Progress of a stream up to its break.

    Attributes:
        text: Text of the response that was relayed.
        last_event_id: Id of the last event since ``segment_start``, ``"0"`` if there is none.
        finished: True if the chunk with the finish reason was relayed.
        continuable: False if the response cannot be continued from its text alone, because it has
            several choices, tool calls or unreadable events.
    """

    text: str
    last_event_id: str
    finished: bool
    continuable: bool


_DECODER = msgspec.json.Decoder(_Chunk)


def read_progress(transcript: bytes, segment_start: int = 0) -> Progress:
    """Return the progress of a stream.

    Args:
        transcript: All complete server-sent events that were relayed to the caller.
        segment_start: Offset of the first event from the current runner; each runner numbers its
            events separately.
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
    """Return a request body that makes an engine continue the response after ``text``.

    Args:
        body: JSON body of the original request.
        text: Text of the response so far.
    """
    fields: dict[str, msgspec.Raw] = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["continue_text"] = msgspec.Raw(msgspec.json.encode(text))
    return msgspec.json.encode(fields)
