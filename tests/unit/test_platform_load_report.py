"""Load reports in the header fields of back ends' responses."""

from __future__ import annotations

import pytest

from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.dialect import EngineLoad
from testbed.platform_words import INSTANCE_LOAD


def read(text: str) -> EngineLoad | None:
    return PlatformDialect().read_response([(INSTANCE_LOAD.encode(), text.encode())]).load


@pytest.mark.parametrize(
    ("text", "slowdown"),
    [
        ("3,1,8", None),
        ("3,1,8,100", 1.0),
        ("3,1,8,250", 2.5),
        ("3,1,8,40", 0.4),
        (" 3, 1, 8, 120 ", 1.2),
        ("3,1,8,100,7,x", 1.0),
    ],
)
def test_a_report_tells_requests_slots_and_how_long_work_takes(
    text: str, slowdown: float | None
) -> None:
    load = read(text)
    assert load is not None
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert load.slowdown == slowdown


@pytest.mark.parametrize(
    "figure", ["", "x", "0", "-100", "inf", "nan", "1e9", "1" * 400, "1e999", "-0"]
)
def test_an_invalid_time_of_work_leaves_the_counts(figure: str) -> None:
    load = read(f"3,1,8,{figure}")
    assert load is not None
    assert (load.running, load.waiting, load.slots, load.slowdown) == (3, 1, 8, None)


@pytest.mark.parametrize("text", ["", "3", "3,1", "3,,8,100", "-3,1,8,100", "3,1,1e9,100", "a,b,c"])
def test_a_report_without_its_counts_is_ignored(text: str) -> None:
    assert read(text) is None
