"""Rules that can be broken on purpose, to prove that each checker can fail."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from types import TracebackType
from unittest import mock


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
    patches: Callable[[], list[mock._patch]]


RULES: dict[str, Rule] = {}


class BrokenRule:
    """Context in which one rule is broken; with an empty name nothing is."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._stack = ExitStack()

    def __enter__(self) -> BrokenRule:
        if self._name:
            for patch in RULES[self._name].patches():
                self._stack.enter_context(patch)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self._stack.close()
