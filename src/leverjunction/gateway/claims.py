"""Idempotency keys of online requests: a durable claim is made before the first send.

A claim makes resends safe: a request with the same key runs at most once if it must not be
repeated, and every resend receives the response of the first send.
"""

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
OPEN_CLAIM_RETRY_AFTER_S = 1.0
OPEN_CLAIM_WAITS_S = (0.2, 0.4, 0.8, 1.6)
"""Delays between a resend's checks whether the send that holds the claim has a response yet."""

RELEASE_THREADS = 2
MAX_PENDING_RELEASES = 64


class Proposer(Protocol):
    """Interface of ``wire.control_client.ControlClient`` that claims use."""

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        """Replicate a command; see ``ControlClient.propose``."""
        ...


class RecordedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of an earlier send with the same key and body."""

    status: int
    body: bytes


class HeldClaim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim granted to this gateway, which may therefore send the request.

    Attributes:
        group: Job group that stores the claim.
        tenant: Tenant of the key.
        key: Idempotency key.
        attempt_id: Unique id of the attempt that holds the claim.
    """

    group: str
    tenant: str
    key: str
    attempt_id: str


class ClaimClient:
    """Makes, finishes and releases claims through the control processes. Thread-safe.

    Args:
        control: Client that replicates commands.
        groups: Returns the names of all job groups.
        gateway_id: Id of this gateway.
    """

    def __init__(self, control: Proposer, groups: Callable[[], list[str]], gateway_id: str) -> None:
        self._control = control
        self._groups = groups
        self._gateway_id = gateway_id
        self._retry_wait = threading.Event()
        self._release_threads = ThreadPoolExecutor(
            RELEASE_THREADS, thread_name_prefix="claim-release"
        )
        self._lock = threading.Lock()
        self._pending_releases = 0

    def claim(self, tenant: str, key: str, body: bytes) -> HeldClaim | RecordedResponse | Failure:
        """Claim a key before the first send.

        If another send holds the claim, the call waits for its response with the delays
        ``OPEN_CLAIM_WAITS_S``.

        Args:
            tenant: Tenant of the key.
            key: Idempotency key.
            body: Body of the request.

        Returns:
            The claim; the recorded response of an earlier send; a failure KEY_REUSED if the key was
            used with a different body; a failure OUTCOME_UNKNOWN if another send still holds the
            claim or its gateway crashed while holding it; the failure of the proposal otherwise.
        """
        request = ClaimRequest(
            tenant=tenant,
            key=key,
            content_hash=xxhash.xxh128_hexdigest(body),
            gateway=self._gateway_id,
            attempt_id=uuid.uuid4().hex,
        )
        group = group_for_key(self._groups(), tenant, key)
        outcome = self._propose_claim(group, request)
        for wait_s in OPEN_CLAIM_WAITS_S:
            if not isinstance(outcome, Failure) or outcome.kind is not FailureKind.OUTCOME_UNKNOWN:
                break
            self._retry_wait.wait(wait_s)
            outcome = self._propose_claim(group, request)
        return outcome

    def _propose_claim(
        self, group: str, request: ClaimRequest
    ) -> HeldClaim | RecordedResponse | Failure:
        claim = self._control.propose(group, request, Claim, CLAIM_TIMEOUT_S)
        held = HeldClaim(
            group=group, tenant=request.tenant, key=request.key, attempt_id=request.attempt_id
        )
        if isinstance(claim, Failure):
            # The claim may or may not have been committed; this gateway sends nothing either way.
            self._release_in_background(held)
            return msgspec.structs.replace(
                claim, step=Step.CLAIMING, execution=Execution.NOT_RUN, retry_after_s=1.0
            )
        if claim.content_hash != request.content_hash:
            return _key_reused_failure(request.key)
        if claim.finished:
            return RecordedResponse(status=claim.status_code, body=claim.body.encode())
        return held if claim.granted else _outcome_unknown_failure(request.key)

    def _release_in_background(self, held: HeldClaim) -> None:
        """Release a claim that may have been committed, so that it does not block a resend.

        The release is skipped if ``MAX_PENDING_RELEASES`` are pending already.
        """
        with self._lock:
            if self._pending_releases >= MAX_PENDING_RELEASES:
                return
            self._pending_releases += 1
        self._release_threads.submit(self._release, held)

    def _release(self, held: HeldClaim) -> None:
        try:
            self.release(held)
        finally:
            with self._lock:
                self._pending_releases -= 1

    def finish(self, held: HeldClaim, status: int, body: bytes) -> None:
        """Record the response of a claimed request, so that resends receive the same response.

        Args:
            held: The claim.
            status: HTTP status of the response.
            body: Body of the response; not recorded if longer than ``MAX_RECORDED_BYTES``.
        """
        if len(body) > MAX_RECORDED_BYTES:
            # The claim stays open: resends fail with OUTCOME_UNKNOWN.
            logger.warning("response of a claimed request is too large to record")
            return
        self._finish(held, status, body.decode("utf8", "replace"), not_run=False)

    def release(self, held: HeldClaim) -> None:
        """Release a claim, so that a resend can run the request.

        Allowed only if no back end can have received the request or if the request may run twice.
        """
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
            logger.warning("could not finish or release a claim: {}", reply.reason)


def _key_reused_failure(key: str) -> Failure:
    return Failure(
        kind=FailureKind.KEY_REUSED,
        reason=f"Idempotency-Key {key!r} was already used with a different body; use a new key",
        step=Step.CLAIMING,
        execution=Execution.NOT_RUN,
    )


def _outcome_unknown_failure(key: str) -> Failure:
    return Failure(
        kind=FailureKind.OUTCOME_UNKNOWN,
        reason=(
            f"a request with Idempotency-Key {key!r} was sent before and has no recorded "
            "response: it is still running, or its outcome is unknown"
        ),
        step=Step.CLAIMING,
        execution=Execution.UNKNOWN,
        retry_after_s=OPEN_CLAIM_RETRY_AFTER_S,
    )
