"""``leverjunction suspects``: requests under which back ends ended, in a seeded deployment."""

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
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import retention_s, standing
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.commands import Done, GetSuspects, ReviewSuspects
from leverjunction.registry.records import REGISTRY_GROUP
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
KEY_LEAST = 8
"""Digits by which a key may be named."""


class SuspectsCommands:
    """List requests under which back ends ended, and clear one.

    --control names the internal RPC port of control processes, as the settings of the deployment's
    processes do; no operators' token is asked for there.
    """

    def __init__(self, options: Options) -> None:
        """Use the shared options."""
        self._options = options

    @command
    def list(self) -> int:
        """List suspect requests, how they are treated, and the back ends that ended under them."""
        known = self._ask(MessageKind.QUERY, GetSuspects(), SuspectList)
        if isinstance(known, Failure):
            return print_failure(known)
        if self._options.as_json:
            print_json(known)
            return ExitCode.OK
        columns = ("KEY", "TREATED AS", "FOR S", "ENDED", "ROUTE", "LAST ATTEMPT", "STARTS")
        print_table("suspect requests", columns, [_row(record) for record in known.suspects])
        return ExitCode.OK

    @command
    def clear(self, key: str) -> int:
        """Hold nothing against a request any more: it is run again, everywhere, within seconds.

        Args:
            key: Its key, or the first digits of it.
        """
        known = self._ask(MessageKind.QUERY, GetSuspects(), SuspectList)
        if isinstance(known, Failure):
            return print_failure(known)
        found = [record for record in known.suspects if record.key.startswith(key)]
        if len(key) < KEY_LEAST or len(found) != 1:
            return print_failure(_not_one(key, len(found)))
        forgotten = ReviewSuspects(forgotten=(found[0].key,))
        done = self._ask(MessageKind.PROPOSE, forgotten, Done)
        if isinstance(done, Failure):
            return print_failure(done)
        print_progress(f"request {found[0].key} is no suspect any more")
        return ExitCode.OK

    def _ask(self, kind: MessageKind, message: msgspec.Struct, reply_type: type[T]) -> T | Failure:
        """Ask one control process after the other until one answers."""
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


def _row(record: SuspectRecord) -> tuple[object, ...]:
    return (
        record.key,
        standing(record).value,
        round(retention_s(record)),
        len(record.starts) + len(record.late_starts),
        record.route,
        record.request_id,
        ", ".join([*record.starts, *record.late_starts]),
    )


def _not_one(key: str, found: int) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"{found} suspect requests have a key that begins with {key!r}; give at least"
        f" {KEY_LEAST} digits of one that `suspects list` shows",
        step=Step.QUERYING,
    )
