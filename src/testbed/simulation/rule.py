"""A rule of the product that can be broken on purpose."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

Patches = Callable[[], list[Any]]


@dataclass(frozen=True)
class Rule:
    """One rule and how to break it.

    Attributes:
        summary: What is done wrong.
        caught_by: Checker that shall notice.
        patches: Returns the patches that break it.
    """

    summary: str
    caught_by: str
    patches: Patches
