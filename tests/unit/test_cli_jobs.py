"""Tests of ``jobs submit`` after lost responses and of the progress of ``jobs results``."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest
from tests.unit.cli_support import Operator, OperatorsStub, run_command, serve

from leverjunction.batch.commands import (
    GetJob,
    GetResults,
    ItemState,
    JobSpec,
    JobState,
    JobView,
    ResultLine,
    ResultPage,
)
from leverjunction.cli import jobs
from leverjunction.cli.output import ExitCode
from leverjunction.cli.pending import STATE_FOLDER_VARIABLE


@contextmanager
def gateway(answer: bytes) -> Iterator[tuple[str, list[str]]]:
    """Run a gateway that records idempotency keys; an empty ``answer`` closes the connection."""
    keys: list[str] = []

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            self.rfile.read(int(self.headers["Content-Length"]))
            keys.append(self.headers["Idempotency-Key"])
            if answer:
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

        def log_message(self, format: str, *arguments: object) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}", keys
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def test_a_resend_to_another_gateway_carries_the_same_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv(STATE_FOLDER_VARIABLE, str(tmp_path / "state"))
    (tmp_path / "items.jsonl").write_text("{}\n")
    (tmp_path / "key").write_text("tenant-key")
    command = ["jobs", "submit", str(tmp_path / "items.jsonl"), "--key-file", str(tmp_path / "key")]
    with gateway(b"") as (silent, first), gateway(b'{"id":"batch_j"}') as (other, second):
        assert run_command(*command, "--gateway", silent) == ExitCode.UNREACHABLE
        assert "run the command again" in capsys.readouterr().err
        assert run_command(*command, "--gateway", other) == ExitCode.OK
        assert run_command(*command, "--gateway", other) == ExitCode.OK
    assert second[0] == first[0], "the resend carries the same key"
    assert second[1] != first[0], "after a response, submitting the same file creates a new job"


def test_results_print_progress(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(jobs, "POLL_INTERVAL_S", 0.01)
    stub = OperatorsStub()
    stub.job_replies = {
        GetJob: [job_view(items=2)],
        GetResults: [
            ResultPage(lines=[], next_cursor=0, complete=False),
            ResultPage(lines=[], next_cursor=0, complete=False),
            ResultPage(lines=[line(1)], next_cursor=1, complete=False),
            ResultPage(lines=[line(2)], next_cursor=2, complete=True),
        ],
    }
    with serve(stub) as address:
        operator = Operator(stub, address, tmp_path)
        assert operator.run("jobs", "results", "jobs-0.a", "--follow") == ExitCode.OK
    captured = capsys.readouterr()
    assert [text.split(":")[1][0] for text in captured.out.splitlines()] == ["1", "2"]
    assert captured.err.splitlines() == [
        "0 of 2 items are final",
        "1 of 2 items are final",
        "complete, cursor 2",
    ]


def line(cursor: int) -> ResultLine:
    return ResultLine(
        cursor=cursor,
        index=cursor,
        custom_id=str(cursor),
        state=ItemState.DONE,
        status_code=200,
        body="{}",
    )


def job_view(items: int) -> JobView:
    spec = JobSpec(
        job_id="jobs-0.a",
        tenant="t",
        idempotency_key="k",
        content_hash="h",
        service="s",
        batch_class="",
        item_count=items,
        may_repeat=True,
        deadline_ms=1,
    )
    return JobView(
        spec=spec,
        state=JobState.ACCEPTED,
        created_ms=1,
        finished_ms=0,
        received=items,
        pending=items,
        leased=0,
        done=0,
        failed=0,
        unknown=0,
        cancelled=0,
        expired=0,
        discarded=0,
    )
