"""Commands of the testbed that are programs of their own: found by their words, run in place.

They are imported only when they are called, so that ``testbed engine`` starts fast and needs none
of the simulator's or the plots' libraries.
"""

from __future__ import annotations

import importlib.util
import runpy
import sys
from collections.abc import Sequence

import msgspec

EXIT_BAD_INPUT = 2


class Delegate(msgspec.Struct, frozen=True):
    """A command line program: the words that name it, and its module.

    Attributes:
        words: Words after ``testbed``.
        module: Module that runs as a program and ends by ``sys.exit``.
        takes_words: True when the program wants its own words among its arguments.
    """

    words: tuple[str, ...]
    module: str
    takes_words: bool = False


DELEGATES = (
    Delegate(("simulate",), "testbed.simulation.cli", takes_words=True),
    Delegate(("scale", "slopes"), "testbed.scale.slopes_cli"),
    Delegate(("scale",), "testbed.scale.cli"),
    Delegate(("load",), "testbed.fleet.load_command"),
    Delegate(("experiment", "harm"), "testbed.load.harm.cli"),
    Delegate(("experiment", "prefix"), "testbed.load.prefix_experiment"),
    Delegate(("experiment", "placement"), "testbed.placement.cli"),
    Delegate(("experiment", "changes"), "testbed.simulation.seeded.changes_cli"),
    Delegate(("bench", "relay"), "testbed.load.relay_bench"),
    Delegate(("bench", "consensus"), "testbed.load.consensus_bench"),
    Delegate(("bench", "settings"), "testbed.load.settings_bench"),
    Delegate(("bench", "jobs"), "testbed.load.jobs_bench"),
)


def is_delegated(arguments: Sequence[str]) -> bool:
    """Return whether the arguments name a program of its own, or half of such a name."""
    return bool(arguments) and any(delegate.words[0] == arguments[0] for delegate in DELEGATES)


def run_delegate(arguments: Sequence[str]) -> int:
    """Run the program that the arguments name, and return its exit status.

    Args:
        arguments: Arguments of ``testbed``.

    Returns:
        The program's status; 2 when there is no such program or its input is wrong.
    """
    delegate = _find(arguments)
    if delegate is None:
        return _refuse(f"expected one of: {', '.join(_names(arguments[0]))}")
    name = " ".join(delegate.words)
    if importlib.util.find_spec(delegate.module) is None:
        return _refuse(f"{name} is not part of this installation ({delegate.module} is missing)")
    rest = list(arguments[len(delegate.words) :])
    sys.argv = [f"testbed {name}", *(delegate.words if delegate.takes_words else ()), *rest]
    return _run_module(delegate.module, name)


def _run_module(module: str, name: str) -> int:
    try:
        runpy.run_module(module, run_name="__main__", alter_sys=True)
    except SystemExit as ended:
        return _status(ended.code)
    except (msgspec.ValidationError, FileNotFoundError) as error:
        return _refuse(f"{name}: {error}")
    return 0


def _find(arguments: Sequence[str]) -> Delegate | None:
    for delegate in DELEGATES:
        if tuple(arguments[: len(delegate.words)]) == delegate.words:
            return delegate
    return None


def _names(first_word: str) -> list[str]:
    return [" ".join(d.words) for d in DELEGATES if d.words[0] == first_word]


def _status(code: object) -> int:
    if code is None:
        return 0
    if isinstance(code, int):
        return code
    print(code, file=sys.stderr)
    return 1


def _refuse(reason: str) -> int:
    print(f"testbed: {reason}", file=sys.stderr)
    return EXIT_BAD_INPUT
