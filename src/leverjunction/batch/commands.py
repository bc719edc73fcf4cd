"""Commands, queries and replies of a job group (``jobs-N``).

Commands are replicated and applied by every replica of the group; queries are read on the leader.
Times are wall-clock milliseconds. A job's id is ``{group}.{random hex}``: it names its group.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class JobState(StrEnum):
    """Life of a job: OPEN while items arrive, ACCEPTED once all are committed, then final."""

    OPEN = "open"
    ACCEPTED = "accepted"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class ItemState(StrEnum):
    """Life of an item. DONE, FAILED, UNKNOWN, CANCELLED and EXPIRED are final."""

    PENDING = "pending"
    LEASED = "leased"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller asked for.

    Attributes:
        job_id: ``{group}.{random hex}``, chosen by the gateway.
        tenant: Owner of the job.
        idempotency_key: Caller's key, empty when none was given.
        content_hash: Hash of the whole submitted body, to tell a resend from a reused key.
        service: Service whose runners may run it.
        batch_class: Batch class in the settings.
        item_count: Number of items.
        may_repeat: False when an item may run at most once.
        deadline_ms: Wall-clock time after which pending items expire.
    """

    job_id: str
    tenant: str
    idempotency_key: str
    content_hash: str
    service: str
    batch_class: str
    item_count: int
    may_repeat: bool
    deadline_ms: int


class OpenJob(msgspec.Struct, frozen=True, tag="open_job"):
    """Create a job, or find the one that the same tenant and key created. Reply: OpenedJob."""

    spec: JobSpec


class AppendItems(msgspec.Struct, frozen=True, tag="append_items"):
    """Add items from ``first_index`` to an open job; a resent chunk is ignored. Reply: JobView."""

    job_id: str
    first_index: int
    items: list[ItemInput]


class ItemInput(msgspec.Struct, frozen=True):
    """One line of the submitted file.

    Attributes:
        custom_id: Caller's id of the item, unique in the job.
        model: Model (or ``model:adapter``) that it asks for.
        url: ``/v1/chat/completions`` or ``/v1/completions``.
        body: Request body, JSON text.
    """

    custom_id: str
    model: str
    url: str
    body: str


class AcceptJob(msgspec.Struct, frozen=True, tag="accept_job"):
    """Accept an open job once all of its items are committed. Reply: JobView.

    A job is uploaded as a stream, so the gateway knows the count and the hash only at its end:
    ``OpenJob`` may leave both empty, and they are stated (and checked) here. Terms that are left
    at their defaults stay as the job was opened.

    Attributes:
        job_id: The job.
        item_count: Number of items of the whole upload; 0 takes the spec's.
        content_hash: ``items_hash`` over all items; empty takes the spec's.
        batch_class: Batch class, when it is known only now.
        deadline_ms: Deadline, when it is known only now.
        may_repeat: Whether items may run more than once, when it is known only now.
        retention_ms: How long results are kept after the job's end; 0 takes the built-in time.
        weight_milli: Thousandths of the class's weight: an item counts 1/weight in its tenant's
            share of the service; 0 takes a weight of one.
    """

    job_id: str
    item_count: int = 0
    content_hash: str = ""
    batch_class: str = ""
    deadline_ms: int = 0
    may_repeat: bool | None = None
    retention_ms: int = 0
    weight_milli: int = 0


class SealJob(msgspec.Struct, frozen=True, tag="seal_job"):
    """State the count and hash of an upload that stays open until it is accepted. Reply: JobView.

    An uploaded file is an open job; only a sealed one can become a batch.
    """

    job_id: str
    item_count: int
    content_hash: str


class DiscardJob(msgspec.Struct, frozen=True, tag="discard_job"):
    """Drop an open job whose upload was refused or given up; its key is free again.

    A job that was accepted is left as it is. Reply: Discarded.
    """

    job_id: str


class Discarded(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to DiscardJob: whether an open job was dropped."""

    dropped: bool


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Cancel a job: no item starts any more, running ones are dropped. Reply: JobView."""

    job_id: str


class GrantLease(msgspec.Struct, frozen=True, tag="grant_lease"):
    """Lease up to ``max_items`` pending items to an owner gateway. Reply: Lease.

    Deterministic choice: earliest deadline first, fair between tenants. For items that may not
    repeat the grant is the durable claim made before the first send.
    """

    lease_id: str
    owner: str
    service: str
    models: list[str]
    max_items: int


class LeasedItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item as its lease holder gets it; ``lost_runs`` is what former holders counted."""

    job_id: str
    index: int
    attempt: int
    tenant: str
    may_repeat: bool
    deadline_ms: int
    item: ItemInput
    lost_runs: int = 0


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to GrantLease; ``items`` is empty when there is nothing to run.

    Attributes:
        lease_id: Fence of the lease; results that carry an ended lease still count if first.
        items: The items.
        duration_s: How long it holds without renewal; the exchange renews it.
        pending: Items of the service still pending in the group after this grant.
        granted_ms: Wall-clock time of the grant's entry, from which holders work out deadlines, as
            their own wall clocks may differ.
    """

    lease_id: str
    items: list[LeasedItem]
    duration_s: float
    pending: int
    granted_ms: int


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one item.

    Attributes:
        job_id: Job of the item.
        index: Index of the item in the job.
        attempt: Attempt that produced it.
        state: DONE, FAILED or UNKNOWN; PENDING gives an unstarted or repeatable item back.
        status_code: HTTP status of the back end, 0 when there was none.
        body: Response body or error, JSON text.
        lost_runs: For PENDING, how many runs of the item have lost their runner in all.
    """

    job_id: str
    index: int
    attempt: int
    state: ItemState
    status_code: int
    body: str
    lost_runs: int = 0


class CompleteItems(msgspec.Struct, frozen=True, tag="complete_items"):
    """Commit outcomes; the first committed final one wins. Reply: CompletedItems.

    Attributes:
        lease_id: Lease under which the items were run.
        results: Outcomes.
        release: True when the holder gives back all items of the lease that are still open.
    """

    lease_id: str
    results: list[ItemResult]
    release: bool = False


class CompletedItems(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of a CompleteItems: accepted, and discarded because another outcome was first."""

    accepted: int
    discarded: int
    cancelled_jobs: list[str]


class ExpireLeases(msgspec.Struct, frozen=True, tag="expire_leases"):
    """End leases that were not renewed: items return to pending, or end as UNKNOWN if they
    may not repeat. Proposed by the leader only. Reply: ExpiredLeases."""

    lease_ids: list[str]


class ExpireDeadlines(msgspec.Struct, frozen=True, tag="expire_deadlines"):
    """End what is due by the entry's wall clock: pending items past their deadline, uploads that
    were given up, results past their retention. Bounded; the next one goes on.
    Reply: ExpiredLeases with the number of items."""


class ExpiredLeases(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of an expiry.

    Attributes:
        returned: Items that are pending again.
        unknown: Items that may not repeat, and may have run.
        expired: Items whose deadline has passed.
        removed_jobs: Jobs whose results are past their retention.
        removed_rows: Rows of removed jobs and uploads that were deleted.
    """

    returned: int
    unknown: int
    expired: int = 0
    removed_jobs: int = 0
    removed_rows: int = 0


class ClaimRequest(msgspec.Struct, frozen=True, tag="claim_request"):
    """Claim an online request key before its first send (at most once). Reply: Claim."""

    tenant: str
    key: str
    content_hash: str
    gateway: str
    attempt_id: str


class FinishClaim(msgspec.Struct, frozen=True, tag="finish_claim"):
    """Record the answer of a claimed request, so that resends get the same. Reply: Claim.

    ``not_run`` gives the claim up because no back end can have received the request.
    """

    tenant: str
    key: str
    attempt_id: str
    status_code: int
    body: str
    not_run: bool = False


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """State of a claim.

    Attributes:
        granted: True when this attempt holds the claim and may send.
        content_hash: Hash of the body that made the claim.
        attempt_id: Attempt that holds it.
        finished: True once an answer is recorded.
        status_code: Recorded HTTP status, 0 before it is finished.
        body: Recorded answer.
    """

    granted: bool
    content_hash: str
    attempt_id: str
    finished: bool
    status_code: int
    body: str


class OpenedJob(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to OpenJob: the job, and whether it existed already."""

    job: JobView
    existed: bool


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job as callers and operators see it.

    ``keep_until_ms`` is when the results of a final job are removed, ``removed_ms`` when they were.
    """

    spec: JobSpec
    state: JobState
    created_ms: int
    finished_ms: int
    received: int
    pending: int
    leased: int
    done: int
    failed: int
    unknown: int
    cancelled: int
    expired: int
    discarded: int
    keep_until_ms: int = 0
    removed_ms: int = 0


class GetJob(msgspec.Struct, frozen=True, tag="get_job"):
    """Query one job. Reply: JobView, or NOT_FOUND."""

    job_id: str


class JobCursor(msgspec.Struct, frozen=True):
    """Place of a job in a listing: newest first, jobs of one millisecond by falling id."""

    created_ms: int
    job_id: str


class ListJobs(msgspec.Struct, frozen=True, tag="list_jobs"):
    """Query jobs, newest first. Reply: list[JobView].

    Attributes:
        tenant: Owner; empty for the jobs of all tenants.
        limit: How many at most.
        before: Only jobs that stand behind this place; None for the newest.
        accepted_only: Leave out uploads that were not accepted as a job.
    """

    tenant: str
    limit: int = 100
    before: JobCursor | None = None
    accepted_only: bool = False


class GetResults(msgspec.Struct, frozen=True, tag="get_results"):
    """Query final items in the order in which they became final. Reply: ResultPage, or
    EXPIRED past their retention.

    ``after`` is the cursor of the last page, 0 at first.
    """

    job_id: str
    after: int
    limit: int = 1000


class ResultLine(msgspec.Struct, frozen=True, kw_only=True):
    """One final item with its outcome; ``cursor`` orders lines within the job."""

    cursor: int
    index: int
    custom_id: str
    state: ItemState
    status_code: int
    body: str


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of results; ``complete`` when the job is final and no line follows."""

    lines: list[ResultLine]
    next_cursor: int
    complete: bool


class GetBacklog(msgspec.Struct, frozen=True, tag="get_backlog"):
    """Query pending items by service, and leases that are out. Reply: Backlog.

    Gateways poll it for work with ``with_leases`` off, as the list of leases is long.
    """

    with_leases: bool = True


class Backlog(msgspec.Struct, frozen=True, kw_only=True):
    """Pending items by service; open leases by owner gateway.

    Attributes:
        pending_by_service: Items that may be leased.
        leases_by_owner: Open leases.
        next_due_ms: Wall-clock time from which ExpireDeadlines has something to do, 0 for never;
            given with the leases only.
        cancelled_jobs: The jobs cancelled last, newest first; given with the leases only. A new
            leader tells the lease holders of them again.
    """

    pending_by_service: dict[str, int]
    leases_by_owner: dict[str, list[str]]
    next_due_ms: int = 0
    cancelled_jobs: list[str] = []


JobCommand = (
    OpenJob
    | AppendItems
    | AcceptJob
    | SealJob
    | DiscardJob
    | CancelJob
    | GrantLease
    | CompleteItems
    | ExpireLeases
    | ExpireDeadlines
    | ClaimRequest
    | FinishClaim
)
JobQuery = GetJob | ListJobs | GetResults | GetBacklog
