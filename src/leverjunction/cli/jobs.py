"""The ``leverjunction jobs`` commands: submit, list, show, cancel and results."""

from __future__ import annotations

import hashlib
import sys
import time
from pathlib import Path
from typing import IO
from urllib.parse import quote
from uuid import uuid4

import msgspec
import urllib3

from leverjunction.api.batches_schemas import BATCH_PREFIX
from leverjunction.batch.commands import JobView, ResultPage
from leverjunction.cli.command import command, operator_command, parse_number
from leverjunction.cli.options import Options, parse_address
from leverjunction.cli.output import (
    ExitCode,
    exit_code,
    format_utc,
    print_failure,
    print_json,
    print_progress,
    print_table,
)
from leverjunction.cli.pending import PendingRecord, default_state_folder
from leverjunction.cli_client import (
    CONNECT_TIMEOUT_S,
    OperatorClient,
    connection_failure,
    failure_from_response,
    read_secret,
)
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode
from leverjunction.wire.whole_heads import new_pool_manager

SUBMIT_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 1.0
BYTES_PER_MB = 1_000_000
LARGE_BODY_BYTES = BYTES_PER_MB


class SubmittedJob(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a gateway's batch object that the command line prints."""

    id: str
    status: str = ""


class PendingJob(msgspec.Struct, frozen=True, kw_only=True):
    """The idempotency key of a submission whose response has not arrived, kept for resends."""

    idempotency_key: str


class JobsCommands:
    """Submit, list, show and cancel batch jobs, and read their results."""

    def __init__(self, options: Options) -> None:
        """Store the options that all commands share."""
        self._options = options

    @command
    def submit(
        self,
        file: str,
        gateway: str,
        key_file: str,
        idempotency_key: str = "",
        batch_class: str = "",
    ) -> int:
        """Submit a JSONL file of requests as one job.

        Running the command again after a lost response sends the same idempotency key, which
        returns the same job. No operator token is needed; --json prints the response as JSON.

        Args:
            file: JSONL file with one request per line, in the format of OpenAI's batch files.
            gateway: Address of a gateway, as host:port or URL.
            key_file: File with the tenant's API key.
            idempotency_key: Key that identifies the job in resends; by default generated and saved.
            batch_class: Name of a batch class in the settings.
        """
        address = parse_address(gateway, "--gateway")
        if isinstance(address, Failure):
            return print_failure(address)
        key = read_secret(key_file, "API key (--key-file)")
        if isinstance(key, Failure):
            return print_failure(key)
        try:
            body = Path(file).read_bytes()
        except OSError as error:
            return print_failure(_file_failure(file, error))
        # The gateway is not part of the record name: a resend may go to another gateway.
        pending = PendingRecord(
            default_state_folder(), "job", _sha256_hex(key.encode()), _sha256_hex(body)
        )
        saved = pending.load(PendingJob)
        job_key = idempotency_key or (saved.idempotency_key if saved else uuid4().hex)
        pending.save(PendingJob(idempotency_key=job_key))
        if len(body) > LARGE_BODY_BYTES:
            print_progress(f"sending {len(body) / BYTES_PER_MB:.0f} MB to {address}")
        job = _submit(address, key, body, job_key, batch_class)
        if isinstance(job, Failure):
            if job.execution != Execution.UNKNOWN:
                pending.clear()
            else:
                print_progress("it is unknown whether the job was created: run the command again")
            return print_failure(job)
        pending.clear()
        if self._options.as_json:
            print_json(job)
        else:
            print(job.id)
        return ExitCode.OK

    @operator_command
    def list(self, tenant: str = "") -> int:
        """List jobs, newest first.

        Args:
            tenant: Only jobs of this tenant.
        """
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        parameters = {"tenant": tenant} if tenant else {}
        jobs = client.get("/operator/jobs", list[JobView], parameters)
        if isinstance(jobs, Failure):
            return print_failure(jobs)
        if self._options.as_json:
            print_json(jobs)
            return ExitCode.OK
        print_table("jobs", JOB_COLUMNS, [job_row(job) for job in jobs])
        return ExitCode.OK

    @operator_command
    def show(self, job_id: str) -> int:
        """Show one job.

        Args:
            job_id: Id of the job.
        """
        return self._print_job(f"/operator/jobs/{quote(_strip_batch_prefix(job_id))}", post=False)

    @operator_command
    def cancel(self, job_id: str) -> int:
        """Cancel a job: its waiting items never start and its running items are dropped.

        Args:
            job_id: Id of the job.
        """
        return self._print_job(
            f"/operator/jobs/{quote(_strip_batch_prefix(job_id))}/cancel", post=True
        )

    @operator_command
    def results(self, job_id: str, after: str = "0", output: str = "", follow: bool = False) -> int:
        """Write the results of a job's final items as JSON lines.

        Args:
            job_id: Id of the job.
            after: Cursor to continue from, as printed by an earlier run.
            output: File to write to; standard output by default.
            follow: Keep reading until the job is final.
        """
        cursor = parse_number(after, "--after", int)
        if isinstance(cursor, Failure):
            return print_failure(cursor)
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        job_id = _strip_batch_prefix(job_id)
        if not output:
            return _write_results(client, job_id, cursor, follow, sys.stdout.buffer)
        try:
            with Path(output).open("ab" if cursor else "wb") as target:
                return _write_results(client, job_id, cursor, follow, target)
        except OSError as error:
            return print_failure(_file_failure(output, error))

    def _print_job(self, path: str, post: bool) -> int:
        client = self._options.client()
        if isinstance(client, Failure):
            return print_failure(client)
        job = client.post(path, None, JobView) if post else client.get(path, JobView)
        if isinstance(job, Failure):
            return print_failure(job)
        if self._options.as_json:
            print_json(job)
            return ExitCode.OK
        print_table("job", JOB_COLUMNS, [job_row(job)])
        return ExitCode.OK


def _write_results(
    client: OperatorClient, job_id: str, after: int, follow: bool, target: IO[bytes]
) -> ExitCode:
    """Write pages of results until none are left, or with ``follow`` until the job is final."""
    path = f"/operator/jobs/{quote(job_id)}"
    job = client.get(path, JobView)
    if isinstance(job, Failure):
        return print_failure(job)
    cursor = after
    last_progress = ""
    while True:
        page = client.get(f"{path}/results", ResultPage, {"after": str(cursor)})
        if isinstance(page, Failure):
            if exit_code(page) == ExitCode.UNREACHABLE:
                print_progress(f"read up to cursor {cursor}: continue with --after {cursor}")
            return print_failure(page)
        for line in page.lines:
            target.write(msgspec.json.encode(line) + b"\n")
        target.flush()
        cursor = page.next_cursor
        if page.complete or not (page.lines or follow):
            break
        progress = f"{cursor} of {job.spec.item_count} items are final"
        if progress != last_progress:
            print_progress(progress)
        last_progress = progress
        if not page.lines:
            time.sleep(POLL_INTERVAL_S)
    state = "complete" if page.complete else "not final yet"
    print_progress(f"{state}, cursor {cursor}")
    return ExitCode.OK


def _strip_batch_prefix(job_id: str) -> str:
    """Return a job id without the prefix that gateways add to ids in their responses."""
    return job_id.removeprefix(BATCH_PREFIX)


JOB_COLUMNS = (
    "job",
    "tenant",
    "service",
    "state",
    "items",
    "done",
    "failed",
    "unknown",
    "running",
    "pending",
    "created (UTC)",
    "deadline (UTC)",
)


def job_row(job: JobView) -> tuple[object, ...]:
    """Return a job's table row, with the columns of ``JOB_COLUMNS``."""
    spec = job.spec
    return (
        spec.job_id,
        spec.tenant,
        spec.service,
        job.state.value,
        spec.item_count,
        job.done,
        job.failed,
        job.unknown,
        job.leased,
        job.pending,
        format_utc(job.created_ms),
        format_utc(spec.deadline_ms),
    )


def _submit(
    gateway: str, key: str, body: bytes, job_key: str, batch_class: str
) -> SubmittedJob | Failure:
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": job_key,
        "Content-Type": "application/jsonl",
    }
    if batch_class:
        headers["X-Batch-Class"] = batch_class
    pool = new_pool_manager(
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=SUBMIT_TIMEOUT_S)
    )
    try:
        response = pool.request("POST", f"http://{gateway}/v1/batches", body=body, headers=headers)
    except urllib3.exceptions.HTTPError as error:
        return connection_failure(gateway, error)
    if response.status not in range(200, 300):
        return failure_from_response(response.status, response.data, gateway)
    return decode(response.data, SubmittedJob, gateway)


def _sha256_hex(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


def _file_failure(path: str, error: OSError) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"{path}: {error.strerror}",
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )
