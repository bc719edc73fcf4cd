"""How commands are run by fire: arguments as text, and nothing runs before all are understood."""

from __future__ import annotations

import functools
from collections.abc import Callable, Sequence
from typing import ParamSpec, TypeVar

from fire.parser import DefaultParseValue

from leverjunction.errors import Failure, FailureKind, Step

P = ParamSpec("P")
NumberT = TypeVar("NumberT", int, float)

SET_FLAG = "--set"
SET_SEPARATOR = "\n"
SHARED_FLAGS = (
    "Flags of every operators' command: --control HOST:PORT[,HOST:PORT] (or the variable "
    "LEVERJUNCTION_CONTROL), --token-file FILE (or LEVERJUNCTION_TOKEN_FILE), --json."
)
SWITCHES = frozenset({"--json", "--wait", "--follow"})
_FLAG_PREFIX = "-"
_HELP_FLAGS = frozenset({"--help", "-h", "help"})


class Deferred:
    """A command with its arguments, to be run once fire has understood the whole line.

    Fire calls a method first and complains about left-over arguments afterwards: a mistyped flag
    would be refused only after the change was made. It has no public member that fire could take
    for a sub-command.
    """

    __slots__ = ("_call",)

    def __init__(self, call: Callable[[], int]) -> None:
        """Hold the call."""
        self._call = call


def run_deferred(deferred: Deferred) -> int:
    """Run a command and return its exit code."""
    return deferred._call()


def command(method: Callable[P, int]) -> Callable[P, Deferred]:
    """Make a method a command: calling it only binds its arguments."""

    @functools.wraps(method)
    def bind(*args: P.args, **kwargs: P.kwargs) -> Deferred:
        return Deferred(functools.partial(method, *args, **kwargs))

    return bind


def operators_command(method: Callable[P, int]) -> Callable[P, Deferred]:
    """Make a method a command whose help names the flags that all operators' commands share."""
    bind = command(method)
    summary, _, rest = (method.__doc__ or "").partition("\n")
    bind.__doc__ = f"{summary}\n\n        {SHARED_FLAGS}\n{rest}"
    return bind


def prepare_arguments(arguments: Sequence[str]) -> list[str]:
    """Return the arguments in the form that fire reads as it is meant.

    Fire takes the word after a switch as its value, so switches get theirs; it keeps only the last
    of a repeated flag, so all ``--set`` are joined into one; and it reads ``12e3`` as a number, so
    such words are quoted: an id must stay what it is, and commands parse their own numbers.
    """
    if len(arguments) == 1 and arguments[0] in _HELP_FLAGS:
        # Without a word fire lists the commands; with --help only the shared flags.
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
            prepared.append(f"{flag}={_quoted(value)}")
        else:
            prepared.append(_quoted(argument))
    if assignments:
        prepared.append(f"{SET_FLAG}={_quoted(SET_SEPARATOR.join(assignments))}")
    return prepared


def _quoted(value: str) -> str:
    return value if isinstance(DefaultParseValue(value), str) else repr(value)


def number(text: object, flag: str, number_type: type[NumberT]) -> NumberT | Failure:
    """Return a flag's number, 0 or more; else what was expected and got."""
    try:
        value = number_type(str(text))
    except ValueError:
        value = None
    if value is not None and value >= 0:
        return value
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"{flag}: expected {'a whole' if number_type is int else 'a'} number, 0 or more, "
        f"got {str(text)!r}",
        step=Step.CONFIGURATION,
    )
