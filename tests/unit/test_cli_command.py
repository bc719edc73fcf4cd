"""Tests of arguments, configuration flags and exit codes of the command line."""

from __future__ import annotations

from pathlib import Path

import pytest

from leverjunction.cli import commands
from leverjunction.cli.command import prepare_arguments
from leverjunction.cli.commands import main, parse_assignments
from leverjunction.cli.options import CONTROL_VARIABLE, TOKEN_FILE_VARIABLE, make_options
from leverjunction.cli.output import ExitCode
from leverjunction.errors import Failure

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "kilimo" / "settings")


def run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert isinstance(caught.value.code, int)
    return caught.value.code


@pytest.mark.parametrize(
    ("given", "prepared"),
    [
        (["--help"], []),
        (["settings", "plan", "--json", "d"], ["settings", "plan", "--json=True", "d"]),
        (["x", "--set", "a=1", "--set=b=2"], ["x", "--set=a=1\nb=2"]),
        (["why", "12e3"], ["why", "'12e3'"]),
        (["x", "--after=5"], ["x", "--after='5'"]),
    ],
)
def test_prepared_arguments(given: list[str], prepared: list[str]) -> None:
    assert prepare_arguments(given) == prepared


def test_assignments_are_yaml_and_may_repeat() -> None:
    assert parse_assignments("a.b=1\nhubs=[x, y]\nname=n=m") == {
        "a.b": 1,
        "hubs": ["x", "y"],
        "name": "n=m",
    }
    assert isinstance(parse_assignments("no value"), Failure)
    assert isinstance(parse_assignments("a=[1"), Failure)


@pytest.mark.parametrize(
    ("arguments", "code", "expected_error"),
    [
        (["settings", "check", EXAMPLE], ExitCode.OK, ""),
        (["settings", "check", "missing"], ExitCode.BAD_INPUT, "yml files, got no such directory"),
        (["settings", "check", EXAMPLE, "--bogus", "1"], ExitCode.BAD_INPUT, "--bogus"),
        (["settings", "apply", EXAMPLE, "--wait_s", "soon"], ExitCode.BAD_INPUT, "--wait_s"),
        (["settings", "plan", EXAMPLE], ExitCode.BAD_INPUT, CONTROL_VARIABLE),
        (["status", "--control", "127.0.0.1:1"], ExitCode.BAD_INPUT, TOKEN_FILE_VARIABLE),
        (["gateway", "missing.yaml"], ExitCode.BAD_INPUT, "missing.yaml"),
        (["jobs", "results", "j", "--after", "x"], ExitCode.BAD_INPUT, "--after"),
        (["nonsense"], ExitCode.BAD_INPUT, "nonsense"),
        ([], ExitCode.OK, ""),
        (["settings", "apply", "--help"], ExitCode.OK, "--token-file FILE"),
        (["--version"], ExitCode.OK, ""),
        (["jobs", "submit", EXAMPLE, "x", EXAMPLE], ExitCode.BAD_INPUT, "expected host:port"),
    ],
)
def test_exit_codes(
    arguments: list[str],
    code: int,
    expected_error: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.delenv(CONTROL_VARIABLE, raising=False)
    monkeypatch.delenv(TOKEN_FILE_VARIABLE, raising=False)
    assert run(*arguments) == code
    assert expected_error in capsys.readouterr().err


@pytest.mark.parametrize(("raised", "code"), [(KeyboardInterrupt(), 130), (BrokenPipeError(), 141)])
def test_an_interrupted_command_ends_without_a_traceback(
    raised: BaseException, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def interrupt(_deferred: object) -> int:
        raise raised

    monkeypatch.setattr(commands, "run_command", interrupt)
    assert run("settings", "check", EXAMPLE) == code


def test_flags_override_the_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(CONTROL_VARIABLE, "127.0.0.1:1, 127.0.0.1:2")
    monkeypatch.setenv(TOKEN_FILE_VARIABLE, "env")
    assert make_options("", "", False).control == ["127.0.0.1:1", "127.0.0.1:2"]
    options = make_options("127.0.0.1:3", "flag", True)
    assert (options.control, options.token_file) == (["127.0.0.1:3"], "flag")
