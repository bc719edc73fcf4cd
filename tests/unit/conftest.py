"""Fixtures that several modules of unit tests use, and the order of the tests."""

from __future__ import annotations

import pytest
from tests.unit.gateway_support import extended_poll_timeout


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Spread the tests that start real processes evenly over the run.

    Workers take contiguous parts of the list, so in the order of their names the processes of many
    such tests run at the same time.
    """
    fleets = [item for item in items if item.get_closest_marker("fleet")]
    others = [item for item in items if not item.get_closest_marker("fleet")]
    items[:] = spread(fleets, others)


def spread(few: list[pytest.Item], many: list[pytest.Item]) -> list[pytest.Item]:
    """Return both lists as one, the first evenly among the second; both keep their orders."""
    ranked = [((rank + 0.5) / len(few), item) for rank, item in enumerate(few)]
    ranked += [((rank + 0.5) / len(many), item) for rank, item in enumerate(many)]
    return [item for _, item in sorted(ranked, key=lambda pair: pair[0])]


__all__ = ["extended_poll_timeout"]
