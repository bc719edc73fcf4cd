"""Prometheus metrics of the lots runner in this process.

The gauges on items and records are zero while this store does not lead the lots group.
"""

from __future__ import annotations

from prometheus_client import Counter, Gauge

OPEN_ITEMS = Gauge(
    "lots_open_items", "Open items, by the reason why they do not run now", ["reason"]
)
LONGEST_REASON_S = Gauge(
    "lots_open_reason_seconds", "Longest time for which a reason has applied to an item", ["reason"]
)
OLDEST_OPEN_S = Gauge("lots_oldest_open_seconds", "Age of the open item that was taken first")
LONGEST_QUIET_S = Gauge(
    "lots_longest_quiet_seconds", "Longest time for which an open item got no event"
)
ENDED = Counter(
    "lots_ended_items", "Items that are no longer open, by outcome: when, and how", ["outcome"]
)
ENDED_S = Counter(
    "lots_ended_item_seconds", "Time that ended items spent in each phase", ["outcome", "phase"]
)
LATE_ITEMS = Gauge("lots_late_items", "Waiting items that are not expected to be done when due")
SLOT_S = Counter(
    "lots_slot_seconds", "Slot-seconds while items wait, by use, or why they are idle", ["use"]
)
STARTS = Counter("lots_run_starts", "Runs that were started at a back end")
RUNS = Counter("lots_runs", "Runs that ended, by how", ["end"])
ANSWERS = Counter(
    "lots_back_end_answers",
    "Heads of answers of back ends, by the request that they belong to",
    ["owner"],
)
PARKS = Counter("lots_parks", "Runs that were parked, by what needed their slot", ["reason"])
RECORDS = Counter("lots_records", "Commands with results, failures and progress", ["result"])
RECORDS_WAITING = Gauge("lots_records_waiting", "Results that the group does not have yet")
RECORD_UNDER_WAY_S = Gauge(
    "lots_record_under_way_seconds", "Time since a command was sent whose reply is not here"
)
SINCE_START_S = Gauge(
    "lots_seconds_since_start_of_run", "Time since a run was started, or the lead began"
)
SINCE_RECORD_S = Gauge(
    "lots_seconds_since_record", "Time since the group took a command, or the lead began"
)
STALLED = Gauge("lots_stalled", "1 while items wait beside room and nothing is started or recorded")
STEP_AGE_S = Gauge("lots_step_age_seconds", "Time since the runner's loop last took a step")
REGISTRY_AGE_S = Gauge("lots_registry_age_seconds", "Time since a control process last answered")
LOOK_S = Counter("lots_look_seconds", "Processor time that these figures have cost")
SIGHT_FAULTS = Counter("lots_sight_faults", "Faults of these figures and lines themselves")
LINES_LEFT_OUT = Counter("lots_lines_left_out", "Lines on items beyond the bound", ["line"])
LINES_LOST = Counter("log_lines_lost", "Lines on items lost to a slow reader")
