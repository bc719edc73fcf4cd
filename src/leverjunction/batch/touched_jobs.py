"""Caches the job rows that one command reads or changes."""

from __future__ import annotations

import sqlite3

from leverjunction.batch import job_spread
from leverjunction.batch.job_rows import JobRow, job_by_id, job_by_number, save_job


class TouchedJobs:
    """The job rows that one command uses. Each row is loaded once and saved once."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._by_number: dict[int, JobRow] = {}
        self._by_id: dict[str, JobRow | None] = {}

    def by_number(self, number: int) -> JobRow:
        """Return the job with this row number, which must exist."""
        job = self._by_number.get(number)
        if job is None:
            job = job_by_number(self._connection, number)
            self._add(job)
        return job

    def by_id(self, job_id: str) -> JobRow | None:
        """Return the job with this id, or None."""
        if job_id not in self._by_id:
            job = job_by_id(self._connection, job_id)
            self._by_id[job_id] = job
            if job is not None:
                self._add(job)
        return self._by_id[job_id]

    def save(self, wall_ms: int) -> None:
        """Save all loaded rows, after making every job final that has no unfinished item.

        Args:
            wall_ms: Wall-clock time of the log entry, in milliseconds.
        """
        for job in self._by_number.values():
            job.finish_if_complete(wall_ms)
            save_job(self._connection, job)
            if job.is_final:
                job_spread.forget(self._connection, job.number)

    def all(self) -> list[JobRow]:
        """Return the loaded rows, in the order in which they were loaded."""
        return list(self._by_number.values())

    def _add(self, job: JobRow) -> None:
        job = self._by_number.setdefault(job.number, job)
        self._by_id[job.job_id] = job
