"""The text of an item, put together from the events of its runs."""

from __future__ import annotations

import pytest

from leverjunction.lots.item_stream import ItemStream
from leverjunction.proxy.events import EventSplitter

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


@pytest.mark.parametrize("size", [1, 2, 5, 100])
def test_the_text_does_not_depend_on_how_the_bytes_come(size: int) -> None:
    stream = ItemStream()
    for at in range(0, len(EVENTS), size):
        stream.feed(EVENTS[at : at + size])
    assert (stream.text(), stream.last_id, stream.is_between_events) == ("one\ntwo", "2", True)


def test_a_run_that_breaks_in_an_event_is_continued_after_the_last_whole_one() -> None:
    stream = ItemStream()
    stream.feed(EVENTS[:25])
    assert (stream.last_id, stream.is_between_events) == ("1", False)
    stream.discard_partial()
    stream.feed(b"id: 2\ndata: two\n\n")
    assert stream.text() == "one\ntwo"


def test_carriage_returns_and_other_fields() -> None:
    stream = ItemStream()
    stream.feed(b"versions: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n: comment\n\n")
    assert stream.text() == "a\nb"
    assert stream.count == 1


@pytest.mark.parametrize("size", [1, 3, 7, 100])
def test_the_splitter_gives_whole_events_only(size: int) -> None:
    splitter = EventSplitter()
    out = []
    for at in range(0, len(EVENTS), size):
        whole = splitter.feed(EVENTS[at : at + size])
        assert whole == b"" or whole.endswith(b"\n\n")
        out.append(whole)
    assert (b"".join(out), splitter.last_id, splitter.pending_bytes) == (EVENTS, "2", 0)


def test_the_splitter_holds_half_an_event_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[:25]) == EVENTS[:17]
    assert (splitter.last_id, splitter.pending_bytes) == ("1", 8)


def test_what_the_group_has_is_not_kept() -> None:
    stream = ItemStream(recorded=3, last_id="3")
    stream.feed(b"id: 4\ndata: four\n\nid: 5\ndata: five\n\n")
    stream.mark_recorded(1)
    assert (stream.recorded, stream.count, stream.text(), stream.last_id) == (4, 1, "five", "5")
