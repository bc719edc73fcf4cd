"""The operators' HTTP API of a control process; bearer token, JSON."""

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
from leverjunction.errors import Failure, FailureKind, Step
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
MAX_CHANGE_BYTES = 64 * 1024 * 1024
MAX_JOBS_LISTED = 1000
MAX_HISTORY = 1000
MAX_RESULTS = 5000


class Groups(Protocol):
    """The part of ``control.group_host.GroupHost`` that operators reach."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Replicate a command and return its reply."""
        ...

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Answer a linearizable read."""
        ...


class OperatorsApi:
    """Handlers below ``/operator``. Called by CherryPy's worker threads.

    Args:
        groups: Proposals and queries.
        job_groups: Names of the job groups.
        status: Returns the cluster's status, as a typed message.
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
        """``GET /operator/status``: the cluster at a glance."""
        refusal = _refusal(self._token)
        return _answer(refusal if refusal is not None else self._status())


class SettingsApi:
    """``/operator/settings``: read the settings, change them, list changes."""

    def __init__(self, groups: Groups, token: str) -> None:
        self._groups = groups
        self._token = token

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self, after: str = "0") -> bytes:
        """``GET /operator/settings?after=V``: leaves changed after a version."""
        version = _number("after", after, 2**62)
        refusal = _refusal(self._token, version)
        if refusal is not None:
            return _answer(refusal)
        assert isinstance(version, int)
        query = GetSettings(after_version=version)
        return _answer(self._groups.query(ROOT_GROUP, query, SettingsDelta, CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def history(self, limit: str = "50") -> bytes:
        """``GET /operator/settings/history?limit=N``: accepted changes, newest first."""
        count = _number("limit", limit, MAX_HISTORY)
        refusal = _refusal(self._token, count)
        if refusal is not None:
            return _answer(refusal)
        assert isinstance(count, int)
        query = GetHistory(limit=count)
        return _answer(self._groups.query(ROOT_GROUP, query, list[ChangeRecord], CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    @cherrypy.config(**{"request.process_request_body": False})
    def apply(self) -> bytes:
        """``POST /operator/settings/apply``: change the settings by compare-and-set."""
        refusal = _refusal(self._token)
        if refusal is not None:
            return _answer(refusal)
        body = _read_body()
        change = body if isinstance(body, Failure) else _decode_change(body)
        if isinstance(change, Failure):
            return _answer(change)
        invalid = self._check(change)
        if invalid is not None:
            return _answer(invalid)
        outcome = self._groups.propose(ROOT_GROUP, change, ChangeOutcome, CALL_TIMEOUT_S)
        return _answer(outcome)

    def _check(self, change: ApplyChange) -> Failure | None:
        """Return why a change must not be proposed: it would make the settings invalid."""
        query = GetSettings(after_version=0)
        in_force = self._groups.query(ROOT_GROUP, query, SettingsDelta, CALL_TIMEOUT_S)
        return in_force if isinstance(in_force, Failure) else check_proposal(change, in_force)


@cherrypy.popargs("job_id")
class JobsApi:
    """``/operator/jobs``: list, show, cancel, results; any tenant's."""

    def __init__(self, groups: Groups, job_groups: list[str], token: str) -> None:
        self._groups = groups
        self._job_groups = job_groups
        self._token = token

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def index(self, job_id: str = "", tenant: str = "", limit: str = "100") -> bytes:
        """``GET /operator/jobs[?tenant=T]`` and ``GET /operator/jobs/ID``."""
        count = _number("limit", limit, MAX_JOBS_LISTED)
        refusal = _refusal(self._token, count)
        if refusal is not None:
            return _answer(refusal)
        if not job_id:
            assert isinstance(count, int)
            return _answer(self._list(tenant, count))
        return _answer(self._query(job_id, GetJob(job_id=job_id), JobView))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    @cherrypy.config(**{"request.process_request_body": False})
    def cancel(self, job_id: str = "") -> bytes:
        """``POST /operator/jobs/ID/cancel``: cancel a job; cancelling twice is one."""
        body = _read_body()
        refusal = _refusal(self._token, body)
        if refusal is not None:
            return _answer(refusal)
        group = self._group_of(job_id)
        if isinstance(group, Failure):
            return _answer(group)
        command = CancelJob(job_id=job_id)
        return _answer(self._groups.propose(group, command, JobView, CALL_TIMEOUT_S))

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def results(self, job_id: str = "", after: str = "0", limit: str = "1000") -> bytes:
        """``GET /operator/jobs/ID/results?after=CURSOR``: a page of final items."""
        cursor = _number("after", after, 2**62)
        count = _number("limit", limit, MAX_RESULTS)
        refusal = _refusal(self._token, cursor, count)
        if refusal is not None:
            return _answer(refusal)
        assert isinstance(cursor, int)
        assert isinstance(count, int)
        query = GetResults(job_id=job_id, after=cursor, limit=count)
        return _answer(self._query(job_id, query, ResultPage))

    def _list(self, tenant: str, limit: int) -> list[JobView] | Failure:
        found: list[JobView] = []
        for group in self._job_groups:
            query = ListJobs(tenant=tenant, limit=limit)
            jobs = self._groups.query(group, query, list[JobView], CALL_TIMEOUT_S)
            if isinstance(jobs, Failure):
                return jobs
            found += jobs
        found.sort(key=lambda job: job.created_ms, reverse=True)
        return found[:limit]

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
            reason=f"there is no job {job_id!r}: its id names no job group",
            step=Step.QUERYING,
        )


def _refusal(token: str, *checked: object) -> Failure | None:
    """Return why a request is refused: no token first, then the first bad value."""
    refusal = authenticate_operator(cherrypy.request, token)
    if refusal is not None:
        return refusal
    return next((value for value in checked if isinstance(value, Failure)), None)


def _number(name: str, text: str, highest: int) -> int | Failure:
    if text.isascii() and text.isdigit() and int(text) <= highest:
        return int(text)
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"query parameter {name} must be a number from 0 to {highest}, got {text!r}",
        step=Step.PARSING,
    )


def _read_body() -> bytes | Failure:
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    if length > MAX_CHANGE_BYTES:
        return Failure(
            kind=FailureKind.TOO_LARGE,
            reason=f"the body has {length} bytes, at most {MAX_CHANGE_BYTES} are taken",
            step=Step.PARSING,
        )
    return bytes(cherrypy.request.rfile.read(length)) if length else b""


def _decode_change(body: bytes) -> ApplyChange | Failure:
    change = decode(body, ApplyChange)
    if isinstance(change, Failure):
        return msgspec.structs.replace(change, kind=FailureKind.BAD_REQUEST, step=Step.PARSING)
    return change


def _answer(result: object) -> bytes:
    if isinstance(result, Failure):
        request_id = cherrypy.request.headers.get("X-Request-Id") or ""
        return error_response(result, request_id)
    cherrypy.response.headers["Content-Type"] = "application/json"
    return encode(result)
