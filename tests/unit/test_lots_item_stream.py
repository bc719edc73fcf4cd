"""An item's output is assembled from the events of its runs."""

from __future__ import annotations

import pytest

from leverjunction.lots.item_stream import ItemStream
from leverjunction.proxy.events import EventSplitter

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


@pytest.mark.parametrize("size", [1, 2, 5, 100])
def test_text_does_not_depend_on_chunking(size: int) -> None:
    stream = ItemStream()
    for offset in range(0, len(EVENTS), size):
        stream.feed(EVENTS[offset : offset + size])
    assert (stream.text(), stream.last_id, stream.is_between_events) == ("one\ntwo", "2", True)


def test_next_run_continues_after_the_last_whole_event() -> None:
    stream = ItemStream()
    stream.feed(EVENTS[:25])
    assert (stream.last_id, stream.is_between_events) == ("1", False)
    stream.discard_partial()
    stream.feed(b"id: 2\ndata: two\n\n")
    assert stream.text() == "one\ntwo"


def test_crlf_is_accepted_and_other_fields_are_ignored() -> None:
    stream = ItemStream()
    stream.feed(b"versions: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n: comment\n\n")
    assert stream.text() == "a\nb"
    assert stream.count == 1


@pytest.mark.parametrize("size", [1, 3, 7, 100])
def test_splitter_returns_whole_events_only(size: int) -> None:
    splitter = EventSplitter()
    chunks = []
    for offset in range(0, len(EVENTS), size):
        whole = splitter.feed(EVENTS[offset : offset + size])
        assert whole == b"" or whole.endswith(b"\n\n")
        chunks.append(whole)
    assert (b"".join(chunks), splitter.last_id, splitter.pending_bytes) == (EVENTS, "2", 0)


def test_splitter_keeps_an_incomplete_event() -> None:
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[:25]) == EVENTS[:17]
    assert (splitter.last_id, splitter.pending_bytes) == ("1", 8)


def test_recorded_events_are_dropped() -> None:
    stream = ItemStream(recorded=3, last_id="3")
    stream.feed(b"id: 4\ndata: four\n\nid: 5\ndata: five\n\n")
    stream.mark_recorded(1)
    assert (stream.recorded, stream.count, stream.text(), stream.last_id) == (4, 1, "five", "5")
