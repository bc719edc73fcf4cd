"""The bench of the job state machine runs and counts what it did."""

from __future__ import annotations

from pathlib import Path

from testbed.load.jobs_bench import measure


def test_bench_runs_all_items(tmp_path: Path) -> None:
    report = measure(items=300, other_jobs=5, body_bytes=50, path=tmp_path / "jobs.sqlite")
    assert (report.items, report.other_jobs) == (300, 5)
    assert report.run_items_per_s > 0
    assert report.resident_mb_peak > 0
