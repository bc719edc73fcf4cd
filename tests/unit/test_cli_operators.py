"""Output and exit codes of the operator commands against the real operator API."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.cli_support import (
    TOKEN,
    Operator,
    OperatorsStub,
    cluster_status,
    gateway_state,
    run_command,
    serve,
    settings_folder,
)

from leverjunction.cli import apply
from leverjunction.cli.output import ExitCode
from leverjunction.cli.pending import STATE_FOLDER_VARIABLE
from leverjunction.cli_client import OperatorClient
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.change import plan_change, to_command
from leverjunction.settings.commands import ChangeOutcome, SettingsDelta

Capture = pytest.CaptureFixture[str]


@pytest.fixture
def operator(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Operator]:
    monkeypatch.setenv(STATE_FOLDER_VARIABLE, str(tmp_path / "state"))
    monkeypatch.setattr(apply, "POLL_INTERVAL_S", 0.01)
    stub = OperatorsStub()
    with serve(stub) as address:
        yield Operator(stub, address, tmp_path)


def test_status_shows_the_cluster_status(operator: Operator, capsys: Capture) -> None:
    assert operator.run("status") == ExitCode.FAILED, "the stub lists no jobs"
    shown = capsys.readouterr().out
    row = next(line for line in shown.splitlines() if line.startswith("runner-1  "))
    assert row.split() == ["runner-1", "z1", "s", "5", "3", "2", "50%", "m", "live"]
    assert "WARNING: no contact with control process control-2" in shown
    assert "WARNING: placement is blocked: m on runner-2: why" in shown
    assert "WARNING: group jobs-1 did not respond" in shown
    assert "runner-1: load m version 1" in shown


def test_status_as_json_prints_the_whole_reply(operator: Operator, capsys: Capture) -> None:
    assert operator.run("status", "--json") == ExitCode.OK
    assert json.loads(capsys.readouterr().out)["placement"]["leads"] is True


def test_apply_then_nothing_to_change(operator: Operator, tmp_path: Path, capsys: Capture) -> None:
    folder = str(settings_folder(tmp_path, 1))
    assert operator.run("settings", "apply", folder) == ExitCode.OK
    assert operator.run("settings", "apply", folder) == ExitCode.OK
    assert "nothing to change, version 1 is in force" in capsys.readouterr().out


def test_nothing_to_change_on_another_base_is_a_conflict(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    assert operator.run("settings", "apply", folder) == ExitCode.OK
    assert operator.run("settings", "apply", folder, "--base", "99") == ExitCode.CONFLICT
    assert "version 1 is in force, not 99" in capsys.readouterr().err


def test_conflict_reports_author_time_and_paths(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    operator.run("settings", "apply", folder)
    settings_folder(tmp_path, 2)
    assert operator.run("settings", "apply", folder, "--base", "1", "--author", "amina") == 0
    settings_folder(tmp_path, 3)
    code = operator.run("settings", "apply", folder, "--base", "1", "--author", "juma")
    assert code == ExitCode.CONFLICT
    error_output = capsys.readouterr().err
    assert "amina committed version 2 at 1970-01-01 00:00:02 UTC" in error_output
    assert "  differs: defaults/serving/max_queue" in error_output
    assert "settings plan" in error_output, "the message says what to do next"


def test_resend_after_a_lost_response_applies_the_change_once(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    operator.stub.lost_responses = 1
    assert operator.run("settings", "apply", folder) == ExitCode.FAILED
    other = str(settings_folder(tmp_path, 2, "other"))
    assert operator.run("settings", "apply", other, "--author", "juma") == ExitCode.OK
    capsys.readouterr()
    assert operator.run("settings", "apply", folder) == ExitCode.OK
    captured = capsys.readouterr()
    assert "version 1 is committed" in captured.out
    assert "version 2 is now in force" in captured.err


def test_rejected_change_is_neither_reported_unknown_nor_resent(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    refusal = Failure(
        kind=FailureKind.BAD_REQUEST,
        reason="no good",
        step=Step.PROPOSING,
        execution=Execution.NOT_RUN,
    )
    operator.stub.rejections = [refusal]
    assert operator.run("settings", "apply", folder) == ExitCode.BAD_INPUT
    error_output = capsys.readouterr().err
    assert "no good" in error_output
    assert "unknown" not in error_output
    assert operator.run("settings", "apply", folder) == ExitCode.OK
    assert "resending" not in capsys.readouterr().err


def test_wait_lists_the_gateways_that_lag(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    gateways = [gateway_state("fresh", 1), gateway_state("late", 0), gateway_state("old", 0, True)]
    operator.stub.current = cluster_status(1, gateways=gateways)
    code = operator.run("settings", "apply", folder, "--wait", "--wait_s", "0")
    assert code == ExitCode.NOT_IN_FORCE
    error_output = capsys.readouterr().err
    assert "version 1 is committed but not in force at: late (has 0)" in error_output


def test_wait_reports_that_no_gateway_is_live(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    folder = str(settings_folder(tmp_path, 1))
    operator.stub.current = cluster_status(1, gateways=[])
    code = operator.run("settings", "apply", folder, "--wait", "--wait_s", "0")
    assert code == ExitCode.NOT_IN_FORCE
    assert "no gateway is live" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "code", "expected_error"),
    [
        (["settings", "explain", "services/none"], ExitCode.FAILED, "nothing is set at"),
        (["settings", "show", "services/none"], ExitCode.FAILED, "nothing is set at"),
        (["settings", "explain", "services/s/serving/max_q"], ExitCode.BAD_INPUT, "max_queue"),
        (["settings", "explain", "tenants/t/limits/burts"], ExitCode.BAD_INPUT, "burst"),
        (["settings", "history", "--limit", "-1"], ExitCode.BAD_INPUT, "--limit"),
        (["jobs", "results", "jobs-0.f", "--after", "-1"], ExitCode.BAD_INPUT, "--after"),
        (["jobs", "show", "jobs-0.f"], ExitCode.FAILED, "no job"),
    ],
)
def test_refusals(
    operator: Operator,
    tmp_path: Path,
    capsys: Capture,
    arguments: list[str],
    code: int,
    expected_error: str,
) -> None:
    operator.run("settings", "apply", str(settings_folder(tmp_path, 1)))
    assert operator.run(*arguments) == code
    assert expected_error in capsys.readouterr().err


def test_missing_job_prints_no_cursor(operator: Operator, capsys: Capture) -> None:
    assert operator.run("jobs", "results", "jobs-0.f") == ExitCode.FAILED
    assert "--after" not in capsys.readouterr().err


def test_a_wrong_token_is_refused(operator: Operator, capsys: Capture) -> None:
    operator.token_file.write_text("other")
    assert operator.run("settings", "show") == ExitCode.FAILED
    assert "token is missing or wrong" in capsys.readouterr().err


@pytest.mark.parametrize("address", ["nonsense", "127.0.0.1:port", "127.0.0.1:70000", ":80"])
def test_invalid_address_is_rejected(operator: Operator, capsys: Capture, address: str) -> None:
    shared = ["--control", address, "--token-file", str(operator.token_file)]
    assert run_command("status", *shared) == ExitCode.BAD_INPUT
    assert f"expected host:port, got '{address}'" in capsys.readouterr().err


def test_addresses_may_be_urls(operator: Operator) -> None:
    shared = ["--control", f"http://{operator.address}/", "--token-file", str(operator.token_file)]
    assert run_command("settings", "history", *shared) == ExitCode.OK


def test_retries_of_an_unreachable_control_process_are_reported(
    operator: Operator, capsys: Capture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("leverjunction.cli_client.RETRY_FOR_S", 0.2)
    shared = ["--control", "127.0.0.1:9", "--token-file", str(operator.token_file)]
    assert run_command("status", *shared) == ExitCode.UNREACHABLE
    error_output = capsys.readouterr().err
    assert "cannot connect to 127.0.0.1:9: nothing listens there" in error_output
    assert "retrying for" in error_output
    assert "whether they reach a quorum" in error_output


def test_submit_that_never_connected_has_a_known_outcome(
    operator: Operator, tmp_path: Path, capsys: Capture
) -> None:
    file = tmp_path / "items.jsonl"
    file.write_text("{}\n")
    arguments = ["jobs", "submit", str(file), "--gateway", "127.0.0.1:9"]
    arguments += ["--key-file", str(operator.token_file)]
    assert run_command(*arguments) == ExitCode.UNREACHABLE
    error_output = capsys.readouterr().err
    assert "cannot connect to 127.0.0.1:9" in error_output
    assert "unknown" not in error_output


def test_change_posted_without_the_command_line_is_validated(
    operator: Operator, tmp_path: Path
) -> None:
    operator.run("settings", "apply", str(settings_folder(tmp_path, 1)))
    client = OperatorClient([operator.address], TOKEN, retry_for_s=0)
    bad: dict[str, object] = {"defaults/serving/max_queue": "lots", "services/s/models/m": {}}
    in_force = client.get("/operator/settings", SettingsDelta, {"after": "0"})
    assert not isinstance(in_force, Failure)
    change = to_command(plan_change(in_force, bad), "raw", "script")
    refusal = client.post("/operator/settings/apply", change, ChangeOutcome)
    assert isinstance(refusal, Failure)
    assert refusal.kind is FailureKind.BAD_REQUEST
    assert "defaults/serving/max_queue: expected a valid integer" in refusal.reason
    assert operator.stub.proposals == 1, "only the first apply was proposed"


def test_frozen_process_delays_only_the_first_call(operator: Operator) -> None:
    """A frozen process accepts connections but never responds; the next call tries it last."""
    with socket.create_server(("127.0.0.1", 0)) as frozen:
        host, port = frozen.getsockname()
        client = OperatorClient([f"{host}:{port}", operator.address], TOKEN)
        durations_s = []
        for _ in range(2):
            started_s = time.monotonic()
            reply = client.get("/operator/settings", SettingsDelta, {"after": "0"})
            durations_s.append(time.monotonic() - started_s)
            assert isinstance(reply, SettingsDelta)
    assert durations_s[0] < 3.0
    assert durations_s[1] < 1.0
