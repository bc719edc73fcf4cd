"""Tests that names of the platform's interface appear in its adapter only."""

from __future__ import annotations

import re
from pathlib import Path

SOURCES = Path(__file__).parent.parent.parent / "src"
ADAPTER = SOURCES / "leverjunction" / "platform"
ADAPTER_LINES_MOST = 1500
NAMES = re.compile(
    r"Leverjunction-[A-Z]|Instances\.(Heartbeat|Leave)|Config\.(Replace|Get)"
    r"|Retire\.(Start|Get)|NodeName|InternalPorts|RouteKind|GapAimMs|TrafficSplit"
    r"|/api/(lots|items|ready)|AfterRevision|NextToken|TargetLatencyMs"
)


def test_nothing_outside_the_adapter_knows_a_name_of_the_pages() -> None:
    product = SOURCES / "leverjunction"
    found = [
        f"{path.relative_to(SOURCES)}:{number}: {line.strip()}"
        for path in product.rglob("*.py")
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text(encoding="utf8").splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []


def test_the_product_does_not_import_the_adapter() -> None:
    product = SOURCES / "leverjunction"
    found = [
        str(path.relative_to(SOURCES))
        for path in product.rglob("*.py")
        if ADAPTER not in path.parents
        and "leverjunction.platform" in path.read_text(encoding="utf8")
    ]
    assert found == []


def test_the_adapter_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py"))
    assert lines < ADAPTER_LINES_MOST
