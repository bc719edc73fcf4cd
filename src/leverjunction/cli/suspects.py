"""The ``leverjunction suspects`` commands: requests during which back ends crashed.

They apply only to seeded deployments, which keep these records in the registry.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from leverjunction.cli.command import command
from leverjunction.cli.options import Options
from leverjunction.cli.output import (
    ExitCode,
    print_failure,
    print_json,
    print_progress,
    print_table,
)
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import retention_s, standing
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.commands import Done, GetSuspects, ReviewSuspects
from leverjunction.registry.records import REGISTRY_GROUP
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
MIN_KEY_DIGITS = 8
"""Minimum length of a key prefix."""


class SuspectsCommands:
    """List requests during which back ends crashed, and clear one.

    --control takes the internal RPC addresses of control processes, as in the settings of the
    deployment's processes; no operator token is needed there.
    """

    def __init__(self, options: Options) -> None:
        """Store the options that all commands share."""
        self._options = options

    @command
    def list(self) -> int:
        """List suspect requests, their treatment and the back ends that crashed during them."""
        known = self._call_any(MessageKind.QUERY, GetSuspects(), SuspectList)
        if isinstance(known, Failure):
            return print_failure(known)
        if self._options.as_json:
            print_json(known)
            return ExitCode.OK
        columns = ("KEY", "TREATED AS", "FOR S", "ENDED", "ROUTE", "LAST ATTEMPT", "STARTS")
        print_table(
            "suspect requests", columns, [_suspect_row(record) for record in known.suspects]
        )
        return ExitCode.OK

    @command
    def clear(self, key: str) -> int:
        """Clear a suspect request: within seconds, all processes run it normally again.

        Args:
            key: Key of the request, or at least its first 8 digits.
        """
        known = self._call_any(MessageKind.QUERY, GetSuspects(), SuspectList)
        if isinstance(known, Failure):
            return print_failure(known)
        found = [record for record in known.suspects if record.key.startswith(key)]
        if len(key) < MIN_KEY_DIGITS or len(found) != 1:
            return print_failure(_no_single_match(key, len(found)))
        forgotten = ReviewSuspects(forgotten=(found[0].key,))
        done = self._call_any(MessageKind.PROPOSE, forgotten, Done)
        if isinstance(done, Failure):
            return print_failure(done)
        print_progress(f"request {found[0].key} is no longer suspect")
        return ExitCode.OK

    def _call_any(
        self, kind: MessageKind, message: msgspec.Struct, reply_type: type[T]
    ) -> T | Failure:
        """Call the control processes in order; return the first reply, or else the last failure."""
        addresses = self._options.addresses()
        if isinstance(addresses, Failure):
            return addresses
        rpc = RpcClient(CLUSTER_KEY, SystemClock().wall_ms())
        try:
            for address in addresses:
                reply = rpc.call(
                    address,
                    kind,
                    message,
                    reply_type,
                    group=REGISTRY_GROUP,
                    timeout_s=CALL_TIMEOUT_S,
                )
                if not isinstance(reply, Failure):
                    return reply
                print_progress(f"{address}: {reply.reason}")
            return reply
        finally:
            rpc.close()


def _suspect_row(record: SuspectRecord) -> tuple[object, ...]:
    return (
        record.key,
        standing(record).value,
        round(retention_s(record)),
        len(record.starts) + len(record.late_starts),
        record.route,
        record.request_id,
        ", ".join([*record.starts, *record.late_starts]),
    )


def _no_single_match(key: str, found: int) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"{found} suspect requests have a key that begins with {key!r}; give at least"
        f" {MIN_KEY_DIGITS} digits of one that `suspects list` shows",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )
