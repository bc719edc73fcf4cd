"""At-most-once and resend-safe online requests, by durable claims made before the first send."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
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
OPEN_CLAIM_WAITS_S = (0.2, 0.4, 0.8, 1.6)
"""A resend waits so long, in turn, for the answer of the send that holds the claim."""

RELEASE_THREADS = 2
MAX_RELEASES = 64


class Proposer(Protocol):
    """The part of ``wire.control_client.ControlClient`` that claims use."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Replicate a command; see ``ControlClient``."""
        ...


class RecordedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an earlier send with the same key and body."""

    status: int
    body: bytes


class HeldClaim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim that this attempt holds: it may send."""

    group: str
    tenant: str
    key: str
    attempt_id: str


class ClaimClient:
    """Makes and finishes claims. Thread-safe."""

    def __init__(self, control: Proposer, groups: Callable[[], list[str]], gateway_id: str) -> None:
        self._control = control
        self._groups = groups
        self._gateway_id = gateway_id
        self._pause = threading.Event()
        self._releases = ThreadPoolExecutor(RELEASE_THREADS, thread_name_prefix="claim-release")
        self._lock = threading.Lock()
        self._releasing = 0

    def claim(self, tenant: str, key: str, body: bytes) -> HeldClaim | RecordedResponse | Failure:
        """Claim a key before the first send.

        A claim that another send holds is waited for, for ``OPEN_CLAIM_WAITS_S``.

        Returns:
            The claim; the recorded answer of an earlier send; KEY_REUSED when the key came with
            another body; OUTCOME_UNKNOWN while another send still holds the claim, or when its
            gateway died with it.
        """
        request = ClaimRequest(
            tenant=tenant,
            key=key,
            content_hash=xxhash.xxh128_hexdigest(body),
            gateway=self._gateway_id,
            attempt_id=uuid.uuid4().hex,
        )
        group = group_for_key(self._groups(), tenant, key)
        outcome = self._ask(group, request)
        for wait_s in OPEN_CLAIM_WAITS_S:
            if not isinstance(outcome, Failure) or outcome.kind is not FailureKind.OUTCOME_UNKNOWN:
                break
            self._pause.wait(wait_s)
            outcome = self._ask(group, request)
        return outcome

    def _ask(self, group: str, request: ClaimRequest) -> HeldClaim | RecordedResponse | Failure:
        claim = self._control.propose(group, request, Claim, CLAIM_TIMEOUT_S)
        held = HeldClaim(
            group=group, tenant=request.tenant, key=request.key, attempt_id=request.attempt_id
        )
        if isinstance(claim, Failure):
            # Whether or not the claim was committed, this gateway sends nothing.
            self._release_later(held)
            return msgspec.structs.replace(
                claim, step=Step.CLAIMING, execution=Execution.NOT_RUN, retry_after_s=1.0
            )
        if claim.content_hash != request.content_hash:
            return _key_reused(request.key)
        if claim.finished:
            return RecordedResponse(status=claim.status_code, body=claim.body.encode())
        return held if claim.granted else _outcome_unknown(request.key)

    def _release_later(self, held: HeldClaim) -> None:
        """Give up a claim that may have been committed, so that a resend need not find it open."""
        with self._lock:
            if self._releasing >= MAX_RELEASES:
                return
            self._releasing += 1
        self._releases.submit(self._release, held)

    def _release(self, held: HeldClaim) -> None:
        try:
            self.give_up(held)
        finally:
            with self._lock:
                self._releasing -= 1

    def finish(self, held: HeldClaim, status: int, body: bytes) -> None:
        """Record the answer, so that resends get the same one."""
        if len(body) > MAX_RECORDED_BYTES:
            # The claim stays open: resends are told that the outcome is not known.
            logger.warning("answer of a claimed request is too large to record")
            return
        self._finish(held, status, body.decode("utf8", "replace"), not_run=False)

    def give_up(self, held: HeldClaim) -> None:
        """Release a claim: no back end can have received the request, or it may run twice."""
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
