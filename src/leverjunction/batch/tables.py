"""Tables of the job state machine, and the integer keys of their rows.

Request bodies and results are stored in other tables than the small state rows. A change of state
thus never rewrites a payload, and payloads are read from disk only when an item is leased or its
result is read. Keys begin with the job number, so the rows of a job are adjacent on disk.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable

import msgspec

INDEX_BITS = 20
MAX_ITEMS_PER_JOB = (1 << INDEX_BITS) - 2
"""Upper limit set by the layout of the keys; the limits of tenants in the settings are lower."""

_SCHEMA = (
    # One row per job. The counters are stored here so that neither a view of a job nor the check
    # whether it is complete scans its items.
    """
    CREATE TABLE IF NOT EXISTS sm_jobs (
        number INTEGER PRIMARY KEY,
        job_id TEXT NOT NULL UNIQUE,
        tenant TEXT NOT NULL,
        idempotency_key TEXT NOT NULL,
        content_hash TEXT NOT NULL,
        items_hash TEXT NOT NULL,
        service TEXT NOT NULL,
        batch_class TEXT NOT NULL,
        item_count INTEGER NOT NULL,
        may_repeat INTEGER NOT NULL,
        deadline_ms INTEGER NOT NULL,
        state TEXT NOT NULL,
        created_ms INTEGER NOT NULL,
        finished_ms INTEGER NOT NULL,
        closed INTEGER NOT NULL,
        received INTEGER NOT NULL,
        pending INTEGER NOT NULL,
        leased INTEGER NOT NULL,
        done INTEGER NOT NULL,
        failed INTEGER NOT NULL,
        unknown INTEGER NOT NULL,
        cancelled INTEGER NOT NULL,
        expired INTEGER NOT NULL,
        discarded INTEGER NOT NULL,
        retention_ms INTEGER NOT NULL,
        weight_milli INTEGER NOT NULL,
        keep_until_ms INTEGER NOT NULL,
        removed_ms INTEGER NOT NULL
    )
    """,
    """
    CREATE UNIQUE INDEX IF NOT EXISTS sm_jobs_key ON sm_jobs (tenant, idempotency_key)
    WHERE idempotency_key != ''
    """,
    # Listings, newest first: the jobs of one tenant, and the jobs of all tenants.
    "CREATE INDEX IF NOT EXISTS sm_jobs_listed ON sm_jobs (tenant, created_ms, job_id)",
    "CREATE INDEX IF NOT EXISTS sm_jobs_created ON sm_jobs (created_ms, job_id)",
    # Jobs that can still reach their deadline. ExpireDeadlines reads the start of this index.
    """
    CREATE INDEX IF NOT EXISTS sm_jobs_deadline ON sm_jobs (deadline_ms)
    WHERE closed = 0
    """,
    # Final jobs whose results are still stored, and jobs whose results were removed.
    """
    CREATE INDEX IF NOT EXISTS sm_jobs_kept ON sm_jobs (keep_until_ms)
    WHERE keep_until_ms > 0 AND removed_ms = 0
    """,
    "CREATE INDEX IF NOT EXISTS sm_jobs_removed ON sm_jobs (removed_ms) WHERE removed_ms > 0",
    """
    CREATE INDEX IF NOT EXISTS sm_jobs_cancelled ON sm_jobs (finished_ms, number)
    WHERE state = 'cancelled'
    """,
    # Numbers of removed jobs whose rows are being deleted, a limited number of rows per command.
    "CREATE TABLE IF NOT EXISTS sm_removals (job INTEGER PRIMARY KEY)",
    # Requests of the items; they never change.
    """
    CREATE TABLE IF NOT EXISTS sm_items (
        item_key INTEGER PRIMARY KEY,
        custom_id TEXT NOT NULL,
        model TEXT NOT NULL,
        url TEXT NOT NULL,
        body TEXT NOT NULL
    )
    """,
    # Pending items: the items that wait to be leased.
    """
    CREATE TABLE IF NOT EXISTS sm_pending (
        job INTEGER NOT NULL,
        model TEXT NOT NULL,
        item_index INTEGER NOT NULL,
        PRIMARY KEY (job, model, item_index)
    ) WITHOUT ROWID
    """,
    # State of the items that were leased at least once. An item without a row was never leased.
    """
    CREATE TABLE IF NOT EXISTS sm_item_states (
        item_key INTEGER PRIMARY KEY,
        state TEXT NOT NULL,
        attempt INTEGER NOT NULL,
        lease INTEGER NOT NULL
    )
    """,
    """
    CREATE INDEX IF NOT EXISTS sm_item_states_lease ON sm_item_states (lease) WHERE lease > 0
    """,
    # How many runs of an item lost their runner. Most items have no row.
    """
    CREATE TABLE IF NOT EXISTS sm_item_losses (
        item_key INTEGER PRIMARY KEY,
        lost_runs INTEGER NOT NULL
    )
    """,
    # Accepted jobs with pending items, by model. A grant chooses from these rows.
    """
    CREATE TABLE IF NOT EXISTS sm_runnable (
        service TEXT NOT NULL,
        model TEXT NOT NULL,
        tenant TEXT NOT NULL,
        deadline_ms INTEGER NOT NULL,
        job INTEGER NOT NULL,
        pending INTEGER NOT NULL,
        PRIMARY KEY (service, model, tenant, deadline_ms, job)
    ) WITHOUT ROWID
    """,
    # Tenants with pending items in a service, and the share of the service that each was served.
    """
    CREATE TABLE IF NOT EXISTS sm_shares (
        service TEXT NOT NULL,
        tenant TEXT NOT NULL,
        served INTEGER NOT NULL,
        pending INTEGER NOT NULL,
        PRIMARY KEY (service, tenant)
    ) WITHOUT ROWID
    """,
    "CREATE INDEX IF NOT EXISTS sm_shares_served ON sm_shares (service, served)",
    # Order of turns among the tenants with pending items of a model. ``served`` is copied from
    # ``sm_shares``.
    """
    CREATE TABLE IF NOT EXISTS sm_turns (
        service TEXT NOT NULL,
        tenant TEXT NOT NULL,
        model TEXT NOT NULL,
        served INTEGER NOT NULL,
        PRIMARY KEY (service, tenant, model)
    ) WITHOUT ROWID
    """,
    """
    CREATE INDEX IF NOT EXISTS sm_turns_order ON sm_turns (service, model, served, tenant)
    """,
    # Totals of each service: its tenants with pending items, and its pending items.
    """
    CREATE TABLE IF NOT EXISTS sm_waiting (
        service TEXT PRIMARY KEY,
        tenants INTEGER NOT NULL,
        pending INTEGER NOT NULL
    ) WITHOUT ROWID
    """,
    # Outcomes of items. The key contains the cursor, which follows the order in which items became
    # final.
    """
    CREATE TABLE IF NOT EXISTS sm_results (
        result_key INTEGER PRIMARY KEY,
        item_index INTEGER NOT NULL,
        state TEXT NOT NULL,
        status_code INTEGER NOT NULL,
        body TEXT NOT NULL
    )
    """,
    # Leases. An ended lease is kept for ``LEASE_RETENTION_MS``, so that a late resend of its grant
    # does not lease items again.
    """
    CREATE TABLE IF NOT EXISTS sm_leases (
        number INTEGER PRIMARY KEY,
        lease_id TEXT NOT NULL UNIQUE,
        owner TEXT NOT NULL,
        service TEXT NOT NULL,
        granted_ms INTEGER NOT NULL,
        open_items INTEGER NOT NULL
    )
    """,
    "CREATE INDEX IF NOT EXISTS sm_leases_open ON sm_leases (owner) WHERE open_items > 0",
    "CREATE INDEX IF NOT EXISTS sm_leases_ended ON sm_leases (granted_ms) WHERE open_items = 0",
    # Jobs that are leased to a limited number of owners; see ``job_spread``. Most jobs have no row.
    # ``owners`` is the number of admitted owners.
    """
    CREATE TABLE IF NOT EXISTS sm_spread (
        job INTEGER PRIMARY KEY,
        owners INTEGER NOT NULL,
        proven INTEGER NOT NULL,
        answered INTEGER NOT NULL,
        careful_until_ms INTEGER NOT NULL,
        apart_until_ms INTEGER NOT NULL,
        held_until_ms INTEGER NOT NULL
    )
    """,
    # The owners of leased items of these jobs.
    """
    CREATE TABLE IF NOT EXISTS sm_spread_owners (
        job INTEGER NOT NULL,
        owner TEXT NOT NULL,
        leased INTEGER NOT NULL,
        admitted INTEGER NOT NULL,
        PRIMARY KEY (job, owner)
    ) WITHOUT ROWID
    """,
    """
    CREATE INDEX IF NOT EXISTS sm_spread_admitted ON sm_spread_owners (owner) WHERE admitted = 1
    """,
    # The items of these jobs whose runs have gone on for a while or ended with a response.
    """
    CREATE TABLE IF NOT EXISTS sm_spread_items (
        job INTEGER NOT NULL,
        item_index INTEGER NOT NULL,
        answered INTEGER NOT NULL,
        PRIMARY KEY (job, item_index)
    ) WITHOUT ROWID
    """,
    # Runners that were lost during runs of these jobs.
    """
    CREATE TABLE IF NOT EXISTS sm_spread_crashes (
        job INTEGER NOT NULL,
        runner_id TEXT NOT NULL,
        incarnation INTEGER NOT NULL,
        at_ms INTEGER NOT NULL,
        alone INTEGER NOT NULL,
        PRIMARY KEY (job, runner_id, incarnation)
    ) WITHOUT ROWID
    """,
    # Claims of online requests that may be sent at most once.
    """
    CREATE TABLE IF NOT EXISTS sm_claims (
        tenant TEXT NOT NULL,
        claim_key TEXT NOT NULL,
        content_hash TEXT NOT NULL,
        gateway TEXT NOT NULL,
        attempt_id TEXT NOT NULL,
        claimed_ms INTEGER NOT NULL,
        finished INTEGER NOT NULL,
        status_code INTEGER NOT NULL,
        body TEXT NOT NULL,
        PRIMARY KEY (tenant, claim_key)
    )
    """,
    "CREATE INDEX IF NOT EXISTS sm_claims_age ON sm_claims (claimed_ms)",
)


def create_tables(connection: sqlite3.Connection) -> None:
    """Create the tables and indexes that do not exist yet."""
    for statement in _SCHEMA:
        connection.execute(statement)


def row_key(job_number: int, position: int) -> int:
    """Return the key of an item or result; ``position`` is the item's index or result's cursor."""
    return (job_number << INDEX_BITS) | position


def split_key(key: int) -> tuple[int, int]:
    """Return the job number and the position that a key consists of; see ``row_key``."""
    return key >> INDEX_BITS, key & ((1 << INDEX_BITS) - 1)


def json_array(numbers: Iterable[int]) -> str:
    """Return numbers as the argument of the SQL function ``json_each``."""
    return msgspec.json.encode(list(numbers)).decode()
