"""At-most-once and resend-safe online requests, by durable claims made before the first send."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec
import xxhash
from loguru import logger

from leverjunction.batch.commands import Claim, ClaimRequest, FinishClaim
from leverjunction.batch.directory import group_for_key
from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")

CLAIM_TIMEOUT_S = 5.0
MAX_RECORDED_BYTES = 1024 * 1024
OPEN_CLAIM_RETRY_S = 1.0


class Proposer(Protocol):
    """The part of ``wire.control_client.ControlClient`` that claims use."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Replicate a command; see ``ControlClient``."""
        ...


class RecordedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an earlier send with the same key and body."""

    status: int
    body: bytes


class HeldClaim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim that this attempt holds: it may send."""

    group: str
    tenant: str
    key: str
    attempt_id: str


class ClaimDesk:
    """Makes and finishes claims. Thread-safe."""

    def __init__(self, control: Proposer, groups: Callable[[], list[str]], gateway_id: str) -> None:
        self._control = control
        self._groups = groups
        self._gateway_id = gateway_id

    def claim(self, tenant: str, key: str, body: bytes) -> HeldClaim | RecordedAnswer | Failure:
        """Claim a key before the first send.

        Returns:
            The claim; the recorded answer of an earlier send; KEY_REUSED when the key came with
            another body; OUTCOME_UNKNOWN while another send holds the claim, or when its gateway
            died with it.
        """
        group = group_for_key(self._groups(), tenant, key)
        content_hash = xxhash.xxh128_hexdigest(body)
        attempt_id = uuid.uuid4().hex
        claim = self._control.propose(
            group,
            ClaimRequest(
                tenant=tenant,
                key=key,
                content_hash=content_hash,
                gateway=self._gateway_id,
                attempt_id=attempt_id,
            ),
            Claim,
            CLAIM_TIMEOUT_S,
        )
        if isinstance(claim, Failure):
            # Whether or not the claim was committed, this gateway sends nothing.
            return msgspec.structs.replace(
                claim, step=Step.CLAIMING, execution=Execution.NOT_RUN, retry_after_s=1.0
            )
        if claim.content_hash != content_hash:
            return _key_reused(key)
        if claim.finished:
            return RecordedAnswer(status=claim.status_code, body=claim.body.encode())
        if not claim.granted:
            return _outcome_unknown(key)
        return HeldClaim(group=group, tenant=tenant, key=key, attempt_id=attempt_id)

    def finish(self, held: HeldClaim, status: int, body: bytes) -> None:
        """Record the answer, so that resends get the same one."""
        if len(body) > MAX_RECORDED_BYTES:
            # The claim stays open: resends are told that the outcome is not known.
            logger.warning("answer of a claimed request is too large to record")
            return
        self._finish(held, status, body.decode("utf8", "replace"), not_run=False)

    def give_up(self, held: HeldClaim) -> None:
        """Release a claim whose request no back end can have received."""
        self._finish(held, 0, "", not_run=True)

    def _finish(self, held: HeldClaim, status: int, body: str, *, not_run: bool) -> None:
        reply = self._control.propose(
            held.group,
            FinishClaim(
                tenant=held.tenant,
                key=held.key,
                attempt_id=held.attempt_id,
                status_code=status,
                body=body,
                not_run=not_run,
            ),
            Claim,
            CLAIM_TIMEOUT_S,
        )
        if isinstance(reply, Failure):
            logger.warning("claim not finished: {}", reply.reason)


def _key_reused(key: str) -> Failure:
    return Failure(
        kind=FailureKind.KEY_REUSED,
        reason=f"Idempotency-Key {key!r} was used with another body; choose a new key",
        step=Step.CLAIMING,
    )


def _outcome_unknown(key: str) -> Failure:
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN,
        reason=(
            f"a request with Idempotency-Key {key!r} was sent before and its answer is not "
            "recorded: it still runs, or its outcome is unknown"
        ),
        step=Step.CLAIMING,
        execution=Execution.UNKNOWN,
        retry_after_s=OPEN_CLAIM_RETRY_S,
    )
