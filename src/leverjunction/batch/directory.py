"""Finds the group that stores a job, and reads jobs on behalf of a tenant.

Jobs are distributed over numbered groups (``jobs-N``). The hash of the idempotency key selects the
group of a new job, and the id of a job contains the name of its group.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import xxhash

from leverjunction.batch.commands import GetJob, JobCursor, JobView, ListJobs
from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")


class GroupClient(Protocol):
    """The methods of ``wire.control_client.ControlClient`` that batch code uses."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Replicate a command in a group and return its reply; see ``ControlClient``."""
        ...

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Return the reply to a linearizable query of a group; see ``ControlClient``."""
        ...


def group_for_key(groups: list[str], tenant: str, key: str) -> str:
    """Return the group that stores a tenant's idempotency key.

    All gateways select the same group. ``groups`` holds the names of all job groups, in any order.
    """
    names = sorted(groups)
    digest = xxhash.xxh64_intdigest(f"{tenant}\0{key}".encode())
    # The names are sorted already, and this sort is stable, so the result is in the order of the
    # group numbers: jobs-10 comes after jobs-9.
    names.sort(key=len)
    return names[digest % len(names)]


class JobDirectory:
    """Finds jobs in their groups. It can be shared between threads.

    Args:
        control: Client for commands and queries of the groups.
        groups: Returns the names of all job groups.
        random: Random generator for job ids.
    """

    def __init__(
        self, control: GroupClient, groups: Callable[[], list[str]], random: random_module.Random
    ) -> None:
        self.control = control
        self._groups = groups
        self._random = random

    def new_job_id(self, tenant: str, key: str) -> str:
        """Return a new job id in the group of the key, or in a random group if the key is empty."""
        token = f"{self._random.getrandbits(96):024x}"
        return f"{group_for_key(self._groups(), tenant, key or token)}.{token}"

    def group_of_key(self, tenant: str, key: str) -> str:
        """Return the group that stores the claims and jobs of a tenant's idempotency key."""
        return group_for_key(self._groups(), tenant, key)

    def group_of(self, job_id: str) -> str | None:
        """Return the group named in a job id, or None if there is no such group."""
        group = job_id.rpartition(".")[0]
        return group if group in self._groups() else None

    def find(self, tenant: str, job_id: str) -> JobView | Failure:
        """Return a tenant's job, or a failure.

        The failure is NOT_FOUND when the job does not exist or belongs to another tenant.
        """
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
        """Return a tenant's accepted jobs from all groups, newest first.

        Args:
            tenant: Owner of the jobs.
            limit: Maximum number of jobs.
            before: Last job of the previous page; None for the first page.

        Returns:
            The jobs, or the failure of the first group that could not be queried.
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
        execution=Execution.NOT_RUN,
    )
