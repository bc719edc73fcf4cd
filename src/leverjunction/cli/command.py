"""Adapts commands to fire: arguments stay text, and a command runs only after all are parsed."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from typing import ParamSpec, TypeVar

from fire.parser import DefaultParseValue

from leverjunction.errors import Execution, Failure, FailureKind, Step

P = ParamSpec("P")
NumberT = TypeVar("NumberT", int, float)

SET_FLAG = "--set"
SET_SEPARATOR = "\n"
SHARED_FLAGS = (
    "Flags of all operator commands: --control HOST:PORT[,HOST:PORT] (or the variable "
    "LEVERJUNCTION_CONTROL), --token-file FILE (or LEVERJUNCTION_TOKEN_FILE), --json."
)
SWITCHES = frozenset({"--json", "--wait", "--follow"})
_FLAG_PREFIX = "-"
_HELP_FLAGS = frozenset({"--help", "-h", "help"})


class DeferredCommand:
    """A command bound to its arguments, run once fire has parsed the whole command line.

    Fire calls a method before it reports unused arguments, so without deferral a mistyped flag
    would be rejected only after the change was made. The class has no public members, since fire
    would treat them as subcommands.
    """

    __slots__ = ("_call",)

    def __init__(self, call: Callable[[], int]) -> None:
        """Store the call that runs the command and returns its exit code."""
        self._call = call


def run_command(deferred: DeferredCommand) -> int:
    """Run a deferred command and return its exit code."""
    return deferred._call()


def command(method: Callable[P, int]) -> Callable[P, DeferredCommand]:
    """Turn a method into a command: calling it binds its arguments without running it."""

    @functools.wraps(method)
    def bind(*args: P.args, **kwargs: P.kwargs) -> DeferredCommand:
        return DeferredCommand(functools.partial(method, *args, **kwargs))

    return bind


def operator_command(method: Callable[P, int]) -> Callable[P, DeferredCommand]:
    """Turn a method into a command whose help also lists the flags shared by operator commands."""
    bind = command(method)
    summary, _, rest = (method.__doc__ or "").partition("\n")
    bind.__doc__ = f"{summary}\n\n        {SHARED_FLAGS}\n{rest}"
    return bind


def prepare_arguments(arguments: Sequence[str]) -> list[str]:
    """Rewrite the arguments so that fire parses them as intended.

    - Fire takes the word after a switch as its value, so switches get an explicit ``=True``.
    - Fire keeps only the last occurrence of a repeated flag, so all ``--set`` are joined into one.
    - Fire parses ``12e3`` as a number, so such words are quoted: ids must reach the command
      unchanged, and commands parse their own numbers.
    """
    if len(arguments) == 1 and arguments[0] in _HELP_FLAGS:
        # Fire lists the commands when it gets no arguments; with --help, only the shared flags.
        return []
    prepared: list[str] = []
    assignments: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        if argument == SET_FLAG:
            assignments.append(next(rest, ""))
        elif argument.startswith(SET_FLAG + "="):
            assignments.append(argument.removeprefix(SET_FLAG + "="))
        elif argument in SWITCHES:
            prepared.append(f"{argument}=True")
        elif argument.startswith(_FLAG_PREFIX) and "=" in argument:
            flag, _, value = argument.partition("=")
            prepared.append(f"{flag}={_quote_non_text(value)}")
        else:
            prepared.append(_quote_non_text(argument))
    if assignments:
        prepared.append(f"{SET_FLAG}={_quote_non_text(SET_SEPARATOR.join(assignments))}")
    return prepared


def _quote_non_text(value: str) -> str:
    return value if isinstance(DefaultParseValue(value), str) else repr(value)


def parse_number(text: object, flag: str, number_type: type[NumberT]) -> NumberT | Failure:
    """Parse a non-negative number; return a failure that names the flag if the text is invalid."""
    try:
        value = number_type(str(text))
    except ValueError:
        value = None
    if value is not None and value >= 0:
        return value
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"{flag}: expected {'an integer' if number_type is int else 'a number'} "
        f"of 0 or more, got {str(text)!r}",
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )
