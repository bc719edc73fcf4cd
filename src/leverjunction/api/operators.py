"""Operators' HTTP API of a control process. It uses bearer tokens and JSON bodies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

import cherrypy
import msgspec

from leverjunction.api.auth import authenticate_operator
from leverjunction.api.errors import error_response
from leverjunction.batch.commands import (
    CancelJob,
    GetJob,
    GetResults,
    JobView,
    ListJobs,
    ResultPage,
)
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import (
    ApplyChange,
    ChangeOutcome,
    ChangeRecord,
    GetHistory,
    GetSettings,
    SettingsDelta,
)
from leverjunction.settings.proposal import check_proposal
from leverjunction.wire.codec import decode, encode

T = TypeVar("T")

ROOT_GROUP = "root"
CALL_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_JOBS_LISTED = 1000
MAX_HISTORY = 1000
MAX_RESULTS = 5000


class Groups(Protocol):
    """The part of ``control.group_host.GroupHost`` that the operators' API uses."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Replicate a command in a group and return the reply of its state machine."""
        ...

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Return the reply to a linearizable read of a group."""
        ...


class OperatorsApi:
    """Handlers below ``/operator``. CherryPy calls them from its worker threads.

    Args:
        groups: Runs commands and queries in the replicated groups.
        job_groups: Names of the job groups.
        status: Returns the status of the cluster as a message.
        token: The operators' bearer token.
    """

    def __init__(
        self, groups: Groups, job_groups: list[str], status: Callable[[], object], token: str
    ) -> None:
        self._status = status
        self._token = token
        self.settings = SettingsApi(groups, token)
        self.jobs = JobsApi(groups, job_groups, token)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def status(self) -> bytes:
        """Serve ``GET /operator/status``: the status of the cluster."""
        refusal = _find_refusal(self._token)
        return _respond(refusal if refusal is not None else self._status())


class SettingsApi:
    """Handlers of ``/operator/settings``: read and change the settings, list their changes."""

    def __init__(self, groups: Groups, token: str) -> None:
        self._groups = groups
        self._token = token

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self, after: str = "0") -> bytes:
        """Serve ``GET /operator/settings?after=V``: the settings changed after a version."""
        version = _parse_number("after", after, 2**62)
        refusal = _find_refusal(self._token, version)
        if refusal is not None:
            return _respond(refusal)
        assert isinstance(version, int)
        query = GetSettings(after_version=version)
        return _respond(self._groups.query(ROOT_GROUP, query, SettingsDelta, CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def history(self, limit: str = "50") -> bytes:
        """Serve ``GET /operator/settings/history?limit=N``: accepted changes, newest first."""
        count = _parse_number("limit", limit, MAX_HISTORY)
        refusal = _find_refusal(self._token, count)
        if refusal is not None:
            return _respond(refusal)
        assert isinstance(count, int)
        query = GetHistory(limit=count)
        return _respond(self._groups.query(ROOT_GROUP, query, list[ChangeRecord], CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    @cherrypy.config(**{"request.process_request_body": False})
    def apply(self) -> bytes:
        """Serve ``POST /operator/settings/apply``: change the settings by compare-and-set."""
        refusal = _find_refusal(self._token)
        if refusal is not None:
            return _respond(refusal)
        body = _read_body()
        change = body if isinstance(body, Failure) else _decode_change(body)
        if isinstance(change, Failure):
            return _respond(change)
        invalid = self._validate(change)
        if invalid is not None:
            return _respond(invalid)
        outcome = self._groups.propose(ROOT_GROUP, change, ChangeOutcome, CALL_TIMEOUT_S)
        return _respond(outcome)

    def _validate(self, change: ApplyChange) -> Failure | None:
        """Return a Failure when a change would make the settings invalid, otherwise None."""
        query = GetSettings(after_version=0)
        current = self._groups.query(ROOT_GROUP, query, SettingsDelta, CALL_TIMEOUT_S)
        return current if isinstance(current, Failure) else check_proposal(change, current)


@cherrypy.popargs("job_id")
class JobsApi:
    """Handlers of ``/operator/jobs``: list, show and cancel any tenant's jobs, read results."""

    def __init__(self, groups: Groups, job_groups: list[str], token: str) -> None:
        self._groups = groups
        self._job_groups = job_groups
        self._token = token

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self, job_id: str = "", tenant: str = "", limit: str = "100") -> bytes:
        """Serve ``GET /operator/jobs[?tenant=T]`` and ``GET /operator/jobs/ID``."""
        count = _parse_number("limit", limit, MAX_JOBS_LISTED)
        refusal = _find_refusal(self._token, count)
        if refusal is not None:
            return _respond(refusal)
        if not job_id:
            assert isinstance(count, int)
            return _respond(self._list(tenant, count))
        return _respond(self._query(job_id, GetJob(job_id=job_id), JobView))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    @cherrypy.config(**{"request.process_request_body": False})
    def cancel(self, job_id: str = "") -> bytes:
        """Serve ``POST /operator/jobs/ID/cancel``: cancel a job. Cancelling is idempotent."""
        body = _read_body()
        refusal = _find_refusal(self._token, body)
        if refusal is not None:
            return _respond(refusal)
        group = self._group_of(job_id)
        if isinstance(group, Failure):
            return _respond(group)
        command = CancelJob(job_id=job_id)
        return _respond(self._groups.propose(group, command, JobView, CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def results(self, job_id: str = "", after: str = "0", limit: str = "1000") -> bytes:
        """Serve ``GET /operator/jobs/ID/results?after=CURSOR``: a page of final items."""
        cursor = _parse_number("after", after, 2**62)
        count = _parse_number("limit", limit, MAX_RESULTS)
        refusal = _find_refusal(self._token, cursor, count)
        if refusal is not None:
            return _respond(refusal)
        assert isinstance(cursor, int)
        assert isinstance(count, int)
        query = GetResults(job_id=job_id, after=cursor, limit=count)
        return _respond(self._query(job_id, query, ResultPage))

    def _list(self, tenant: str, limit: int) -> list[JobView] | Failure:
        jobs_found: list[JobView] = []
        for group in self._job_groups:
            query = ListJobs(tenant=tenant, limit=limit)
            jobs = self._groups.query(group, query, list[JobView], CALL_TIMEOUT_S)
            if isinstance(jobs, Failure):
                return jobs
            jobs_found += jobs
        jobs_found.sort(key=lambda job: job.created_ms, reverse=True)
        return jobs_found[:limit]

    def _query(self, job_id: str, query: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        group = self._group_of(job_id)
        if isinstance(group, Failure):
            return group
        return self._groups.query(group, query, reply_type, CALL_TIMEOUT_S)

    def _group_of(self, job_id: str) -> str | Failure:
        group = job_id.partition(".")[0]
        if group in self._job_groups:
            return group
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"there is no job {job_id!r}: its id does not name a job group",
            step=Step.QUERYING,
            execution=Execution.NOT_RUN,
        )


def _find_refusal(token: str, *checked: object) -> Failure | None:
    """Return why the current request is refused, or None.

    Args:
        token: The operators' bearer token. A failed authentication takes precedence.
        checked: Parsed values of the request; the first that is a Failure is returned.
    """
    refusal = authenticate_operator(cherrypy.request, token)
    if refusal is not None:
        return refusal
    return next((value for value in checked if isinstance(value, Failure)), None)


def _parse_number(name: str, text: str, maximum: int) -> int | Failure:
    if text.isascii() and text.isdigit() and int(text) <= maximum:
        return int(text)
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"query parameter {name} must be a number from 0 to {maximum}, got {text!r}",
        step=Step.PARSING,
        execution=Execution.NOT_RUN,
    )


def _read_body() -> bytes | Failure:
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    if length > MAX_BODY_BYTES:
        return Failure(
            kind=FailureKind.TOO_LARGE,
            reason=f"the body has {length} bytes, the limit is {MAX_BODY_BYTES}",
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )
    return bytes(cherrypy.request.rfile.read(length)) if length else b""


def _decode_change(body: bytes) -> ApplyChange | Failure:
    change = decode(body, ApplyChange)
    if isinstance(change, Failure):
        return msgspec.structs.replace(change, kind=FailureKind.BAD_REQUEST, step=Step.PARSING)
    return change


def _respond(result: object) -> bytes:
    if isinstance(result, Failure):
        request_id = cherrypy.request.headers.get("X-Request-Id") or ""
        return error_response(result, request_id)
    cherrypy.response.headers["Content-Type"] = "application/json"
    return encode(result)
