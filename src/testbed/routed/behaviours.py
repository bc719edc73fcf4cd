"""The ways in which a back end can answer, misbehaviours included, by their names."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from testbed import platform_words as words
from testbed.routed.exchange import (
    BEHAVIOUR_HEADER,
    READ_BYTES,
    RESUMABLE_FOLDER,
    STAMP_HEADER,
    Exchange,
)

NOT_RUN_HEADER = words.NOT_EXECUTED
LONG_EVENTS = 2000
ENDLESS_PAUSE_S = 0.02
"""Between two pieces of what never ends."""

PAUSE_S = 3.0
"""Of a run that lives on in silence, as one that was preempted."""

WORK_S = 0.05
"""Of a request by path that is no stream: time for its connection to come to harm."""

Behaviour = Callable[[Exchange], Awaitable[None]]
BEHAVIOURS: dict[str, Behaviour] = {}
SURPLUS_S = 0.02
"""Time from an answer to its late copy."""

LARGE_SURPLUS_BYTES = 1024 * 1024

LATE_S = 0.15
"""Time to the head of an answer that is late but whole."""

ENDED_HERE = frozenset({"answer lost", "rest lost", "end lost"})
"""The back end is done with the request, though its sender waits on: its report tells of none."""


def behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
    """Register the decorated function as the behaviour of a name."""

    def register(function: Behaviour) -> Behaviour:
        BEHAVIOURS[name] = function
        return function

    return register


@behaviour("whole")
async def _whole(exchange: Exchange) -> None:
    body = b"answer to " + exchange.seen.target.encode()
    exchange.head(200, [*exchange.headers(), ("Content-Length", str(len(body)))])
    exchange.data(body)
    exchange.end()


@behaviour("late")
async def _late(exchange: Exchange) -> None:
    await asyncio.sleep(LATE_S)
    await _whole(exchange)


@behaviour("unprocessable")
async def _unprocessable(exchange: Exchange) -> None:
    exchange.head(422, [*exchange.headers(), ("Content-Length", "3")])
    exchange.data(b"bad")
    exchange.end()


@behaviour("fault")
async def _fault(exchange: Exchange) -> None:
    exchange.head(500, [*exchange.headers(), ("Content-Length", "5")])
    exchange.data(b"fault")
    exchange.end()


@behaviour("no length")
async def _no_length(exchange: Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    for name, value in exchange.headers():
        exchange.raw(f"{name}: {value}\r\n".encode())
    exchange.raw(b"Connection: close\r\n\r\nuntil the end")
    await exchange.flush()
    exchange.close()


@behaviour("no length, reset")
async def _no_length_reset(exchange: Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    for name, value in exchange.headers():
        exchange.raw(f"{name}: {value}\r\n".encode())
    exchange.raw(b"Connection: close\r\n\r\nuntil the")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.reset()


@behaviour("cut body")
async def _cut_body(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Length", "1000")])
    exchange.data(b"only this")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.close()


@behaviour("no answer")
async def _no_answer(exchange: Exchange) -> None:
    exchange.close()


@behaviour("reset")
async def _reset(exchange: Exchange) -> None:
    exchange.reset()


@behaviour("no bytes of HTTP")
async def _garbage(exchange: Exchange) -> None:
    exchange.raw(b"\x00\x01 this is no answer\r\n\r\n")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.close()


@behaviour("silent")
async def _silent(exchange: Exchange) -> None:
    await exchange.until_gone()


@behaviour("not run")
async def _not_run(exchange: Exchange) -> None:
    headers = [*exchange.headers(), (NOT_RUN_HEADER, "1"), ("Content-Length", "0")]
    exchange.head(503, headers)
    exchange.end()


@behaviour("another")
async def _another(exchange: Exchange) -> None:
    exchange.head(421, [*exchange.headers(), ("Content-Length", "0")])
    exchange.end()


@behaviour("503 without a word")
async def _bare_503(exchange: Exchange) -> None:
    exchange.head(503, [*exchange.headers(), ("Content-Length", "0")])
    exchange.end()


@behaviour("crossed")
async def _crossed(exchange: Exchange) -> None:
    headers = exchange.headers("of-another")
    exchange.head(200, [*headers, ("Content-Length", "7")])
    exchange.data(b"crossed")
    exchange.end()


@behaviour("crossed refusal")
async def _crossed_refusal(exchange: Exchange) -> None:
    fields = [*exchange.headers("of-another"), (NOT_RUN_HEADER, "1"), ("Content-Length", "0")]
    exchange.head(503, fields)
    exchange.end()


@behaviour("unsigned")
async def _unsigned(exchange: Exchange) -> None:
    exchange.head(200, [("Content-Length", "8")])
    exchange.data(b"unsigned")
    exchange.end()


@behaviour("surplus")
async def _surplus(exchange: Exchange) -> None:
    await _whole(exchange)
    exchange.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus")
    await exchange.flush()


@behaviour("not run, again late")
async def _not_run_again_late(exchange: Exchange) -> None:
    copy = exchange.answer_again(503, [*exchange.headers(), (NOT_RUN_HEADER, "1")], b"")
    exchange.send_later(copy, SURPLUS_S)


@behaviour("not run, again with the next")
async def _not_run_again_with_the_next(exchange: Exchange) -> None:
    copy = exchange.answer_again(503, [*exchange.headers(), (NOT_RUN_HEADER, "1")], b"")
    exchange.send_with_next(copy)


@behaviour("not run, without an id")
async def _not_run_without_id(exchange: Exchange) -> None:
    exchange.head(503, [(STAMP_HEADER, "stamp"), (NOT_RUN_HEADER, "1"), ("Content-Length", "0")])
    exchange.end()


@behaviour("another, without an id")
async def _another_without_id(exchange: Exchange) -> None:
    exchange.head(421, [(STAMP_HEADER, "stamp"), ("Content-Length", "0")])
    exchange.end()


@behaviour("fault, again with the next")
async def _fault_again_with_the_next(exchange: Exchange) -> None:
    exchange.send_with_next(exchange.answer_again(500, exchange.headers(), b"fault"))


@behaviour("whole, again with the next")
async def _whole_again_with_the_next(exchange: Exchange) -> None:
    body = f"answer to {exchange.seen.target}".encode()
    exchange.send_with_next(exchange.answer_again(200, exchange.headers(), body))


@behaviour("large, again with the next")
async def _large_again_with_the_next(exchange: Exchange) -> None:
    body = b"x" * LARGE_SURPLUS_BYTES
    exchange.send_with_next(exchange.answer_again(200, exchange.headers(), body))


@behaviour("stream")
async def _stream(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    await exchange.flush()
    await exchange.pass_gate()
    for event in exchange.events():
        if exchange.is_gone():
            raise ConnectionResetError
        exchange.data(event)
        await exchange.flush()
        await asyncio.sleep(exchange.pause_s())
    exchange.end()


@behaviour("stream in halves")
async def _stream_in_halves(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        for half in (event[:7], event[7:]):
            exchange.data(half)
            await exchange.flush()
            await asyncio.sleep(0.01)
    exchange.end()


@behaviour("stream cut in an event")
async def _stream_cut(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    events = exchange.events()
    for piece in (*events[:1], *(event[:9] for event in events[1:2])):
        exchange.data(piece)
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.reset()


def _begin_without_length(exchange: Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    fields = [*exchange.headers(), ("Content-Type", "text/event-stream"), ("Connection", "close")]
    for name, value in fields:
        exchange.raw(f"{name}: {value}\r\n".encode())
    exchange.raw(b"\r\n")


async def _send_without_end(exchange: Exchange, piece: bytes) -> None:
    while not exchange.is_gone():
        exchange.raw(piece)
        await exchange.flush()
        await asyncio.sleep(ENDLESS_PAUSE_S)


@behaviour("head without end")
async def _head_without_end(exchange: Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    await _send_without_end(exchange, b"X-Filler: " + b"x" * 500 + b"\r\n")


@behaviour("event without end")
async def _event_without_end(exchange: Exchange) -> None:
    _begin_without_length(exchange)
    await _send_without_end(exchange, b"data: " + b"x" * 60_000)


@behaviour("stream without length")
async def _stream_without_length(exchange: Exchange) -> None:
    _begin_without_length(exchange)
    for event in exchange.events():
        exchange.raw(event)
        await exchange.flush()
        await asyncio.sleep(exchange.pause_s())
    exchange.close()


@behaviour("stream without length, ends before an event")
async def _stream_without_length_empty(exchange: Exchange) -> None:
    _begin_without_length(exchange)
    await exchange.flush()
    exchange.close()


@behaviour("stream without length, ends in an event")
async def _stream_without_length_cut(exchange: Exchange) -> None:
    _begin_without_length(exchange)
    events = exchange.events()
    for piece in (*events[:1], *(event[:9] for event in events[1:2])):
        exchange.raw(piece)
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.close()


@behaviour("stream without length, reset")
async def _stream_without_length_reset(exchange: Exchange) -> None:
    _begin_without_length(exchange)
    for event in exchange.events()[:1]:
        exchange.raw(event)
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.reset()


@behaviour("stream that stops")
async def _stream_stops(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events()[:1]:
        exchange.data(event)
    await exchange.flush()
    await exchange.until_gone()


@behaviour("answer lost")
async def _answer_lost(exchange: Exchange) -> None:
    await exchange.until_gone()


@behaviour("rest lost")
async def _rest_lost(exchange: Exchange) -> None:
    await _stream_stops(exchange)


@behaviour("end lost")
async def _end_lost(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        exchange.data(event)
    await exchange.flush()
    await exchange.until_gone()


@behaviour("stream with a pause")
async def _stream_with_a_pause(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        exchange.data(event)
        await exchange.flush()
        if event.startswith(b"id: 1\n"):
            await asyncio.sleep(PAUSE_S)
    exchange.end()


@behaviour("long stream")
async def _long_stream(exchange: Exchange) -> None:
    """Send more than any buffer holds, until the sender leaves."""
    started_s = asyncio.get_running_loop().time()
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    try:
        for number in range(LONG_EVENTS):
            exchange.data(b"id: %d\ndata: %s\n\n" % (number, b"x" * READ_BYTES))
            await exchange.flush()
    except ConnectionError:
        exchange.seen.gone_after_s = asyncio.get_running_loop().time() - started_s
        return
    exchange.end()


@behaviour("by path")
async def _by_path(exchange: Exchange) -> None:
    """Stream below the folders of streams and batches, answer whole elsewhere."""
    async with exchange.places:
        exchange.seen.placed_s = time.monotonic()
        if exchange.is_gone():
            raise ConnectionResetError
        asked = exchange.seen.headers.get(BEHAVIOUR_HEADER.lower(), "")
        if asked:
            await BEHAVIOURS[asked](exchange)
        elif exchange.seen.target.startswith(("/stream/", "/batch/", RESUMABLE_FOLDER)):
            await _stream(exchange)
        else:
            await asyncio.sleep(WORK_S)
            await _whole(exchange)
