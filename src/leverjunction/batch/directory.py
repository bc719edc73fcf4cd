"""Where jobs are: the group of a key or an id, and reads that respect the tenant."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import xxhash

from leverjunction.batch.commands import GetJob, JobCursor, JobView, ListJobs
from leverjunction.errors import Failure, FailureKind, Step

T = TypeVar("T")


class GroupClient(Protocol):
    """The part of ``wire.control_client.ControlClient`` that batch uses."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Replicate a command; see ``ControlClient``."""
        ...

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Answer a linearizable read; see ``ControlClient``."""
        ...


def group_for_key(groups: list[str], tenant: str, key: str) -> str:
    """Return the group that holds a tenant's idempotency key: the same one on every gateway."""
    names = sorted(groups)
    digest = xxhash.xxh64_intdigest(f"{tenant}\0{key}".encode())
    # Groups are numbered; sorting by number keeps jobs-10 behind jobs-9.
    names.sort(key=len)
    return names[digest % len(names)]


class JobDirectory:
    """Finds jobs through the control client. Safe to share between threads.

    Args:
        control: Client of the control processes.
        groups: Returns the names of all job groups.
        random: Source of job ids.
    """

    def __init__(
        self, control: GroupClient, groups: Callable[[], list[str]], random: random_module.Random
    ) -> None:
        self.control = control
        self._groups = groups
        self._random = random

    def new_job_id(self, tenant: str, key: str) -> str:
        """Return a fresh job id in the group of the key (a random group when it is empty)."""
        token = f"{self._random.getrandbits(96):024x}"
        return f"{group_for_key(self._groups(), tenant, key or token)}.{token}"

    def group_of_key(self, tenant: str, key: str) -> str:
        """Return the group that holds claims and jobs of a tenant's key."""
        return group_for_key(self._groups(), tenant, key)

    def group_of(self, job_id: str) -> str | None:
        """Return the group that a job id names, or None when there is no such group."""
        group = job_id.rpartition(".")[0]
        return group if group in self._groups() else None

    def find(self, tenant: str, job_id: str) -> JobView | Failure:
        """Return a tenant's job; another tenant's job does not exist for it."""
        group = self.group_of(job_id)
        if group is None:
            return _not_found(job_id)
        job = self.control.query(group, GetJob(job_id), JobView)
        if isinstance(job, Failure):
            return job
        return job if job.spec.tenant == tenant else _not_found(job_id)

    def list_accepted(
        self, tenant: str, limit: int, before: JobView | None = None
    ) -> list[JobView] | Failure:
        """Return a tenant's newest accepted jobs over all groups.

        Args:
            tenant: Owner.
            limit: How many at most.
            before: Last job of the page before this one; None for the first page.
        """
        cursor = None if before is None else JobCursor(before.created_ms, before.spec.job_id)
        query = ListJobs(tenant, limit, cursor, accepted_only=True)
        jobs: list[JobView] = []
        for group in self._groups():
            page = self.control.query(group, query, list[JobView])
            if isinstance(page, Failure):
                return page
            jobs += page
        jobs.sort(key=lambda job: (job.created_ms, job.spec.job_id), reverse=True)
        return jobs[:limit]


def _not_found(job_id: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"no job {job_id!r}; list the jobs to see the ids",
        step=Step.QUERYING,
    )
