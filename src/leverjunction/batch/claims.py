"""Durable claims that make online requests run at most once.

An attempt must hold the claim of a request before it sends the request for the first time. The
functions here run inside the replicated state machine of a job group.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch.commands import Claim, ClaimRequest, FinishClaim
from leverjunction.batch.retention import delete_old_claims
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Execution, Failure, FailureKind, Step

CLAIMS_DELETED_PER_CLAIM = 4
"""Outdated claims that each new claim deletes, which bounds the table at any request rate."""

_SELECT = """
SELECT content_hash, attempt_id, finished, status_code, body FROM sm_claims
WHERE tenant = ? AND claim_key = ?
"""


def claim_request(
    connection: sqlite3.Connection, context: ApplyContext, command: ClaimRequest
) -> Claim:
    """Grant a claim to the first attempt; other attempts get the holder and its response, if any.

    A resend of the holder's command is the same attempt and is granted again until the claim is
    finished.
    """
    delete_old_claims(connection, context.wall_ms, CLAIMS_DELETED_PER_CLAIM)
    connection.execute(
        """
        INSERT OR IGNORE INTO sm_claims (tenant, claim_key, content_hash, gateway, attempt_id,
            claimed_ms, finished, status_code, body)
        VALUES (?, ?, ?, ?, ?, ?, 0, 0, '')
        """,
        (
            command.tenant,
            command.key,
            command.content_hash,
            command.gateway,
            command.attempt_id,
            context.wall_ms,
        ),
    )
    claim = _read_claim(connection, command.tenant, command.key, command.attempt_id)
    assert claim is not None, "the row was inserted or existed"
    return claim


def finish_claim(
    connection: sqlite3.Connection, context: ApplyContext, command: FinishClaim
) -> Claim | Failure:
    """Record the response to the attempt that holds the claim, or release the claim.

    The claim is released if the request was not run. Only the holder may finish a claim.
    """
    claim = _read_claim(connection, command.tenant, command.key, command.attempt_id)
    if claim is None or claim.attempt_id != command.attempt_id:
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"attempt {command.attempt_id} does not hold the claim {command.key!r}",
            step=Step.APPLYING,
            execution=Execution.NOT_RUN,
        )
    if claim.finished:
        return claim
    where = "WHERE tenant = ? AND claim_key = ?"
    key = (command.tenant, command.key)
    if command.not_run:
        connection.execute(f"DELETE FROM sm_claims {where}", key)
        return claim
    connection.execute(
        f"UPDATE sm_claims SET finished = 1, status_code = ?, body = ? {where}",
        (command.status_code, command.body, *key),
    )
    finished = _read_claim(connection, command.tenant, command.key, command.attempt_id)
    assert finished is not None, "the row was just updated"
    return finished


def _read_claim(
    connection: sqlite3.Connection, tenant: str, key: str, attempt_id: str
) -> Claim | None:
    row = connection.execute(_SELECT, (tenant, key)).fetchone()
    if row is None:
        return None
    content_hash, holder, finished, status_code, body = row
    return Claim(
        granted=holder == attempt_id and not finished,
        content_hash=content_hash,
        attempt_id=holder,
        finished=bool(finished),
        status_code=status_code,
        body=body,
    )
