"""The job rows of one command."""

from __future__ import annotations

import sqlite3

from leverjunction.batch.job_rows import JobRow, job_by_id, job_by_number, save_job


class TouchedJobs:
    """The job rows that one command touches: each is loaded once and saved once."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._by_number: dict[int, JobRow] = {}
        self._by_id: dict[str, JobRow | None] = {}

    def by_number(self, number: int) -> JobRow:
        """Return the job of this number, which must exist."""
        job = self._by_number.get(number)
        if job is None:
            job = job_by_number(self._connection, number)
            self._remember(job)
        return job

    def by_id(self, job_id: str) -> JobRow | None:
        """Return the job of this id, or None."""
        if job_id not in self._by_id:
            job = job_by_id(self._connection, job_id)
            self._by_id[job_id] = job
            if job is not None:
                self._remember(job)
        return self._by_id[job_id]

    def save(self, wall_ms: int) -> None:
        """Write all of them back, final if nothing of them is left to do."""
        for job in self._by_number.values():
            job.finish_if_complete(wall_ms)
            save_job(self._connection, job)

    def _remember(self, job: JobRow) -> None:
        job = self._by_number.setdefault(job.number, job)
        self._by_id[job.job_id] = job
