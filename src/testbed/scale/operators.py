"""The operator and the submitters of a scale run: settings changes and batch jobs."""

from __future__ import annotations

import hashlib
import random as random_module
import time
from typing import TypeVar

import msgspec

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    ItemInput,
    JobSpec,
    JobView,
    OpenedJob,
    OpenJob,
)
from leverjunction.batch.submission import items_hash
from leverjunction.errors import Failure
from leverjunction.settings.commands import ApplyChange, ChangeOutcome, LeafChange
from leverjunction.settings.flatten import EMPTY_HASH, update_hash
from leverjunction.wire.control_client import ControlClient
from testbed.scale.lease_traffic import MODELS, SERVICE
from testbed.scale.options import ScaleOptions, region_name, zone_name

T = TypeVar("T")

ROOT = "root"
CHANGE_TIMEOUT_S = 10.0
LEAVES_PER_CHANGE = 2000
ITEMS_PER_CHUNK = 1000
MAX_ERROR_CHARS = 300
JOB_DEADLINE_MS = 24 * 3600 * 1000


class ChangeTime(msgspec.Struct, frozen=True, kw_only=True):
    """When one change was sent and acknowledged, in monotonic seconds of this machine."""

    version: int
    sent_s: float
    acknowledged_s: float


class _Unanswered(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was sent and has no outcome yet."""

    change_id: str
    sent_s: float


class ScaleError(RuntimeError):
    """The run cannot go on; the text says why."""


class Operator:
    """Makes settings changes one after the other, keeping the content hash itself."""

    def __init__(self, control: ControlClient, random: random_module.Random) -> None:
        self._control = control
        self._random = random
        self._leaves: dict[str, object] = {}
        self._hash = EMPTY_HASH
        self._version = 0
        self._unanswered: _Unanswered | None = None

    @property
    def version(self) -> int:
        """Version of the last accepted change."""
        return self._version

    def change(self, added: dict[str, object]) -> ChangeTime:
        """Commit one change and return when it was sent and acknowledged.

        After a failure the same change has to be sent again, with the same id: it then gets the
        outcome of the first time, and its time counts from there.
        """
        attempt = self._unanswered or _Unanswered(
            change_id=f"{self._random.getrandbits(128):032x}", sent_s=time.monotonic()
        )
        self._unanswered = attempt
        removed = {path: self._leaves[path] for path in added if path in self._leaves}
        new_hash = update_hash(self._hash, removed, added)
        command = ApplyChange(
            change_id=attempt.change_id,
            base_version=self._version,
            content_hash=new_hash,
            author="scale",
            changes=[LeafChange(path=path, value=value) for path, value in added.items()],
        )
        outcome = self._control.propose(ROOT, command, ChangeOutcome, CHANGE_TIMEOUT_S)
        if isinstance(outcome, Failure) or not outcome.accepted:
            raise ScaleError(f"settings change failed: {outcome}"[:MAX_ERROR_CHARS])
        self._unanswered = None
        self._leaves.update(added)
        self._hash = new_hash
        self._version = outcome.version
        return ChangeTime(
            version=outcome.version, sent_s=attempt.sent_s, acknowledged_s=time.monotonic()
        )

    def seed(self, options: ScaleOptions) -> None:
        """Commit the settings that the run starts from."""
        leaves = list(initial_leaves(options).items())
        for start in range(0, len(leaves), LEAVES_PER_CHANGE):
            self.change(dict(leaves[start : start + LEAVES_PER_CHANGE]))

    def small_change(self, number: int) -> ChangeTime:
        """Commit a change of one leaf, as operators make it many times a day."""
        return self.change({f"services/{SERVICE}/serving/max_queue": 100 + number})


def initial_leaves(options: ScaleOptions) -> dict[str, object]:
    """Return the leaves of a settings tree of the run's size."""
    leaves: dict[str, object] = {}
    for zone in range(options.zones):
        region = region_name(zone, options.zones, options.regions)
        leaves[f"regions/{region}/zones/{zone_name(zone, options.zones)}"] = {}
    leaves[f"services/{SERVICE}/serving/interference"] = 0.05
    for model in MODELS:
        leaves[f"services/{SERVICE}/models/{model}/version"] = "1"
    leaves["batch_classes/night/deadline_s"] = 86400.0
    for tenant in range(options.tenants):
        leaves.update(tenant_leaves(tenant))
    return leaves


def tenant_leaves(tenant: int) -> dict[str, object]:
    """Return the leaves of one tenant: two keys, two limits and its service."""
    prefix = f"tenants/tenant-{tenant:05d}"
    keys = [hashlib.sha256(f"key-{tenant}-{number}".encode()).hexdigest() for number in range(2)]
    return {
        f"{prefix}/api_key_hashes": keys,
        f"{prefix}/limits/requests_per_s": 20.0,
        f"{prefix}/limits/concurrency": 50,
        f"{prefix}/services": [SERVICE],
    }


def make_items(job_id: str, count: int, body_bytes: int) -> list[ItemInput]:
    """Return the items of one job."""
    text = "x" * max(0, body_bytes - len('{"prompt":""}'))
    return [
        ItemInput(
            custom_id=f"{job_id}-{index}",
            model=MODELS[index % len(MODELS)],
            url="/v1/completions",
            body=f'{{"prompt":"{text}"}}',
        )
        for index in range(count)
    ]


def submit_job(
    control: ControlClient,
    group: str,
    random: random_module.Random,
    *,
    tenant: str,
    items: int,
    item_bytes: int,
) -> JobView:
    """Open, fill and accept one job, as a gateway does for its caller."""
    job_id = f"{group}.{random.getrandbits(64):016x}"
    inputs = make_items(job_id, items, item_bytes)
    content_hash = items_hash("", inputs)
    spec = JobSpec(
        job_id=job_id,
        tenant=tenant,
        idempotency_key=job_id,
        content_hash=content_hash,
        service=SERVICE,
        batch_class="night",
        item_count=items,
        may_repeat=True,
        deadline_ms=time.time_ns() // 1_000_000 + JOB_DEADLINE_MS,
    )
    _checked(control.propose(group, OpenJob(spec=spec), OpenedJob))
    for start in range(0, items, ITEMS_PER_CHUNK):
        chunk = inputs[start : start + ITEMS_PER_CHUNK]
        command = AppendItems(job_id=job_id, first_index=start, items=chunk)
        _checked(control.propose(group, command, JobView))
    return _checked(control.propose(group, AcceptJob(job_id=job_id), JobView))


def _checked(reply: T | Failure) -> T:
    if isinstance(reply, Failure):
        raise ScaleError(f"job submission failed: {reply}")
    return reply
