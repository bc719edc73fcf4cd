"""What happened in a run, as the actors outside the system saw it; the checkers read only this."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from leverjunction.batch.commands import ItemState, JobState, ResultLine
from leverjunction.errors import Execution
from leverjunction.settings.commands import ChangeOutcome, ChangeRecord
from testbed.simulation.linearizability import NEVER_S, Operation

BATCH_MARK = "batch/"
"""Begins the prompt of every batch item."""


@dataclass(frozen=True)
class Span:
    """A stretch of virtual time."""

    begin_s: float
    end_s: float


@dataclass(frozen=True)
class SettingsRequest:
    """An operator's call: a change by compare-and-set, or a read when ``change_id`` is empty."""

    change_id: str
    base_version: int


@dataclass(frozen=True)
class SettingsAnswer:
    """What the operator was told: the version, and whether a change was accepted."""

    version: int
    accepted: bool
    replayed: bool = False


class JobAction:
    """Names of the calls that a caller makes about a job."""

    OPEN = "open"
    ACCEPT = "accept"
    CANCEL = "cancel"
    READ = "read"


@dataclass(frozen=True)
class JobRequest:
    """A caller's call about one job."""

    action: str


@dataclass(frozen=True)
class JobAnswer:
    """What the caller was told: the job's state and how many items are final."""

    state: JobState
    final_items: int


@dataclass
class JobRecord:
    """One submitted job as its caller knows it.

    Attributes:
        tenant: Owner.
        key: Idempotency key of the submission.
        job_id: Id that the system gave, empty until known.
        item_count: Number of items.
        may_repeat: False when items may run at most once.
        deadline_ms: Wall-clock deadline.
        expected: Right answer of each item.
        accepted_s: When acceptance was acknowledged; NEVER_S before.
        cancelled_s: When cancellation was acknowledged; NEVER_S before.
        cancel_sent_s: When cancellation was first asked for; NEVER_S before.
        opened_ids: Every id that an answer to a submission named.
        operations: Calls about the job, for the linearizability check.
        pages: Every result line that was read, by cursor, in the order of reading.
        final_lines: Result lines of the audit at the end of the run, None when it failed.
        final_state: State of the job at the audit.
        discarded: Duplicates that the system counted and dropped, at the audit.
    """

    tenant: str
    key: str
    item_count: int
    may_repeat: bool
    deadline_ms: int
    expected: list[str]
    job_id: str = ""
    accepted_s: float = NEVER_S
    cancelled_s: float = NEVER_S
    cancel_sent_s: float = NEVER_S
    opened_ids: set[str] = field(default_factory=set)
    operations: list[Operation[JobRequest, JobAnswer]] = field(default_factory=list)
    pages: list[ResultLine] = field(default_factory=list)
    final_lines: list[ResultLine] | None = None
    final_state: JobState | None = None
    discarded: int = 0

    def work_id(self, index: int) -> str:
        """Return the id of an item's work, as the back ends' records name it."""
        return f"{BATCH_MARK}{self.tenant}/{self.key}/{index}"


@dataclass
class EngineRun:
    """One piece of work as a back end received it.

    Attributes:
        work_id: Item (``tenant/key/index``) or online request that it serves.
        request_id: Id under which the back end knows it.
        runner: Back end.
        gateway: Gateway that sent it.
        batch: True for batch work.
        sent_s: When the gateway sent it.
        received_s: When the back end read it; a frozen one reads what was sent once it wakes.
        started_s: When it was first part of a step; NEVER_S if it never was.
        ended_s: When it ended; NEVER_S while it runs.
        tokens: Number of tokens generated.
    """

    work_id: str
    request_id: str
    runner: str
    gateway: str
    batch: bool
    sent_s: float
    received_s: float
    started_s: float = NEVER_S
    ended_s: float = NEVER_S
    tokens: int = 0


@dataclass(frozen=True)
class SharedStep:
    """A step of a back end on which online work runs or waits.

    Attributes:
        runner: Back end.
        moment_s: When it began.
        duration_s: How long it took.
        online_since_s: Since when online work has been there without a break.
        online: Online requests in the step.
        batch: Batch requests in the step.
        parkable: Gateways that sent those of them that may be run again elsewhere.
        waiting: Online requests that were not in it.
    """

    runner: str
    moment_s: float
    duration_s: float
    online_since_s: float
    online: int
    batch: int
    parkable: tuple[str, ...]
    waiting: tuple[str, ...]


@dataclass
class OnlineRecord:
    """One online request as its caller saw it.

    Attributes:
        work_id: Id of the work; several records share it when the caller sent it again.
        served_id: Id that the gateway gave to this send, empty when no head came.
        gateway: Gateway it was sent to.
        may_repeat: False when it may run at most once.
        key: Idempotency key, empty for none.
        service: Service asked.
        stream: True for an answer in tokens.
        expected: Whole text of the right answer.
        sent_s: When it was sent.
        ended_s: When its last byte or its refusal arrived; NEVER_S when the connection broke.
        first_token_s: When its first token arrived.
        text: Text received.
        whole: True when the stream ended with a regular finish.
        explicit_error: True when the stream ended with an error event.
        status: HTTP status, 0 when the connection broke.
        execution: What a refusal said about having run; None without a refusal.
        kind: Kind of the failure that a refusal named.
        broken: True when the connection ended before the answer was whole, without a word.
    """

    work_id: str
    gateway: str
    may_repeat: bool
    key: str
    service: str
    stream: bool
    expected: str
    sent_s: float
    served_id: str = ""
    ended_s: float = NEVER_S
    first_token_s: float = NEVER_S
    text: str = ""
    whole: bool = False
    explicit_error: bool = False
    status: int = 0
    execution: Execution | None = None
    kind: str = ""
    broken: bool = False


@dataclass(frozen=True)
class VersionInForce:
    """A settings version that a gateway put in force, with the content that it then had."""

    moment_s: float
    gateway: str
    incarnation: int
    version: int
    content: Mapping[str, object]


@dataclass(frozen=True)
class GatewayStop:
    """A planned stop of a gateway."""

    gateway: str
    asked_s: float
    exited_s: float


@dataclass(frozen=True)
class GroupAtRest:
    """A group of control processes some seconds after the last fault.

    Attributes:
        name: The group.
        moment_s: When it was looked at.
        whole_voters: Voters whose data is there, by the disks.
        quorum: Voters that an election takes.
        commits: Whether a leader has committed an entry of its own term.
    """

    name: str
    moment_s: float
    whole_voters: int
    quorum: int
    commits: bool


@dataclass
class History:
    """Record of one run.

    Attributes:
        settings: Operators' calls.
        changes: Every change that was proposed, by change id.
        outcomes: Outcomes that operators got, in order, by change id.
        audited_changes: Accepted changes as the audit at the end read them.
        audited_settings: Leaves as the audit at the end read them.
        audited_version: Version as the audit at the end read it.
        jobs: Jobs by (tenant, key).
        steps: Steps that online work shared with batch, or waited for.
        internal_errors: Errors that the product's own loops logged.
        runs: Work as the back ends received it.
        online: Online requests.
        in_force: Versions that gateways put in force.
        leaving: When each leaving back end was listed as leaving.
        stops: Planned stops of gateways.
        gateway_impaired: Spans in which a gateway was down, frozen or cut off, by name.
        unheard: Spans of unanswered exchanges, by gateway.
        runner_impaired: Spans in which a back end was down, frozen or cut off, by name.
        control_impaired: Spans in which fewer than a majority of control machines were well.
        groups_at_rest: Each group some seconds after the last fault.
        ended_s: End of the run.
        batch_allowed: Batch requests that a back end may hold beside online work.
        faults: Number of faults that really struck, by kind.
        counts: Anything else that is counted.
    """

    settings: list[Operation[SettingsRequest, SettingsAnswer]] = field(default_factory=list)
    changes: dict[str, Mapping[str, object]] = field(default_factory=dict)
    outcomes: dict[str, list[ChangeOutcome]] = field(default_factory=dict)
    audited_changes: list[ChangeRecord] | None = None
    audited_settings: Mapping[str, object] | None = None
    audited_version: int = 0
    jobs: dict[tuple[str, str], JobRecord] = field(default_factory=dict)
    steps: list[SharedStep] = field(default_factory=list)
    internal_errors: list[str] = field(default_factory=list)
    runs: list[EngineRun] = field(default_factory=list)
    online: list[OnlineRecord] = field(default_factory=list)
    in_force: list[VersionInForce] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    stops: list[GatewayStop] = field(default_factory=list)
    gateway_impaired: dict[str, list[Span]] = field(default_factory=dict)
    runner_impaired: dict[str, list[Span]] = field(default_factory=dict)
    control_impaired: list[Span] = field(default_factory=list)
    unheard: dict[str, list[Span]] = field(default_factory=dict)
    groups_at_rest: list[GroupAtRest] = field(default_factory=list)
    ended_s: float = 0.0
    batch_allowed: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)


def is_batch_work(prompt: str) -> bool:
    """Return whether a prompt was made for a batch item (whatever priority it came with)."""
    return prompt.startswith(BATCH_MARK)


def job_key_of(work_id: str) -> tuple[str, str]:
    """Return the tenant and key of the job whose item a work id names."""
    _, tenant, key, _ = work_id.split("/")
    return tenant, key


FINAL_ITEM_STATES = frozenset(
    {
        ItemState.DONE,
        ItemState.FAILED,
        ItemState.UNKNOWN,
        ItemState.CANCELLED,
        ItemState.EXPIRED,
    }
)
FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.CANCELLED, JobState.EXPIRED})
