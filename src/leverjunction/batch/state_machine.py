"""The replicated state machine of a job group (``jobs-N``), a consensus group for batch jobs.

This module decodes commands and queries and dispatches them. They are implemented in
``submission``, ``leasing``, ``retention``, ``claims`` and ``job_queries``. All state is in SQLite
tables, so memory use does not grow with the number of jobs or items.
"""

from __future__ import annotations

import sqlite3

import msgspec

from leverjunction.batch import claims, job_queries, leasing, retention, submission, tables
from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    ClaimRequest,
    CompleteItems,
    DiscardJob,
    ExpireDeadlines,
    ExpireLeases,
    FinishClaim,
    GetBacklog,
    GetJob,
    GetResults,
    GrantLease,
    JobCommand,
    JobQuery,
    ListJobs,
    OpenJob,
    SealJob,
)
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import encode_reply

_COMMANDS: msgspec.json.Decoder[JobCommand] = msgspec.json.Decoder(JobCommand)
_QUERIES: msgspec.json.Decoder[JobQuery] = msgspec.json.Decoder(JobQuery)


class JobsStateMachine:
    """Implements ``consensus.api.StateMachine`` for jobs, leases, results and claims.

    The replica of the group calls it with its own database connection, inside a transaction.
    """

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables and indexes that do not exist yet."""
        tables.create_tables(connection)

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command.

        Args:
            connection: Database connection of the replica, inside a transaction.
            context: Index, term and wall clock of the log entry.
            command: Encoded command.

        Returns:
            The encoded reply, or an encoded failure; the failure is CORRUPT when the command cannot
            be decoded.
        """
        try:
            decoded = _COMMANDS.decode(command)
        except msgspec.MsgspecError as error:
            return encode_reply(_decode_failure(error))
        return encode_reply(self.apply_command(connection, context, decoded))

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer an encoded query and return the encoded reply or failure."""
        try:
            decoded = _QUERIES.decode(query)
        except msgspec.MsgspecError as error:
            return encode_reply(_decode_failure(error))
        return encode_reply(self.answer_query(connection, decoded))

    def apply_command(
        self, connection: sqlite3.Connection, context: ApplyContext, command: JobCommand
    ) -> object:
        """Apply a decoded command and return its reply or a failure."""
        match command:
            case OpenJob():
                return submission.open_job(connection, context, command)
            case AppendItems():
                return submission.append_items(connection, context, command)
            case AcceptJob():
                return submission.accept_job(connection, context, command)
            case SealJob():
                return submission.seal_job(connection, context, command)
            case DiscardJob():
                return submission.discard_job(connection, context, command)
            case CancelJob():
                return submission.cancel_job(connection, context, command)
            case GrantLease():
                return leasing.grant_lease(connection, context, command)
            case CompleteItems():
                return leasing.complete_items(connection, context, command)
            case ExpireLeases():
                return leasing.expire_leases(connection, context, command)
            case ExpireDeadlines():
                return retention.expire_deadlines(connection, context, command)
            case ClaimRequest():
                return claims.claim_request(connection, context, command)
            case FinishClaim():
                return claims.finish_claim(connection, context, command)

    def answer_query(self, connection: sqlite3.Connection, query: JobQuery) -> object:
        """Answer a decoded query and return its reply or a failure."""
        match query:
            case GetJob():
                return job_queries.get_job(connection, query)
            case ListJobs():
                return job_queries.list_jobs(connection, query)
            case GetResults():
                return job_queries.get_results(connection, query)
            case GetBacklog():
                return job_queries.get_backlog(connection, query)


def _decode_failure(error: msgspec.MsgspecError) -> Failure:
    return Failure(
        kind=FailureKind.CORRUPT,
        reason=f"not a command or query of a job group: {error}",
        step=Step.DECODING,
        execution=Execution.NOT_RUN,
    )
