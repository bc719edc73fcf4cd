"""Client of the platform's list of live and leaving machines (see docs/BACKENDS.md).

A machine is a running back end.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import urllib3

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.untrusted import convert, is_address, is_name, note_unreadable, read_json
from leverjunction.wire.bounded_bodies import read_body
from leverjunction.wire.whole_heads import new_pool_manager

REQUEST_TIMEOUT_S = 2.0


MAX_LIST_BYTES = 16 * 1024 * 1024
"""Bytes of a machine list: 10,000 machines of a kilobyte each fit."""


class MachineState(StrEnum):
    """State of a machine according to the platform, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """A back end in the list.

    Attributes:
        id: Unique name.
        address: ``host:port`` at which it serves the engine protocol.
        zone: Zone of the machine.
        service: Service that the machine belongs to.
        state: Whether the machine is live or leaving.
        incarnation: Start time in milliseconds; increases with each restart.
    """

    id: str
    address: str
    zone: str
    service: str
    state: MachineState
    incarnation: int


class MachineList(msgspec.Struct, frozen=True, kw_only=True):
    """The machine list at one time.

    Attributes:
        as_of_ms: Time of the list in milliseconds, by the platform's clock.
        machines: The machines with a valid entry.
        unreadable: Ids of the invalid entries; a machine already in use is kept unchanged.
    """

    as_of_ms: int
    machines: list[Machine]
    unreadable: list[str] = []


class _RawList(msgspec.Struct):
    as_of_ms: int
    machines: list[Any]


_DECODER = msgspec.json.Decoder(_RawList)


def read_machine_list(data: bytes) -> MachineList | Failure:
    """Decode a machine list.

    Args:
        data: The list as JSON.

    Returns:
        The machines and the ids of invalid entries, which do not affect the other entries; a
        failure if the document itself is invalid.
    """
    raw_list = read_json(data, _DECODER)
    if isinstance(raw_list, Failure):
        return raw_list
    machines: list[Machine] = []
    unreadable: list[str] = []
    for entry in raw_list.machines:
        machine = _read_machine(entry)
        if not isinstance(machine, Failure):
            machines.append(machine)
            continue
        machine_id = entry.get("id") if isinstance(entry, dict) else None
        note_unreadable("entry of the machine list", str(machine_id), machine.reason)
        if isinstance(machine_id, str):
            unreadable.append(machine_id)
    return MachineList(as_of_ms=raw_list.as_of_ms, machines=machines, unreadable=unreadable)


def _read_machine(entry: object) -> Machine | Failure:
    machine = convert(entry, Machine)
    if isinstance(machine, Failure) or (is_name(machine.id) and is_address(machine.address)):
        return machine
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        # ``note_unreadable`` uses the text up to the comma as the value of a metric's label.
        reason="an id that is no name, or an address that is not HOST:PORT",
        step=Step.DECODING,
        execution=Execution.NOT_RUN,
    )


class MachineListClient:
    """Fetches the machine list by HTTP; each control process does so about twice a second.

    Args:
        url: URL of the list.
        timeout_s: Total timeout of a request in seconds.
    """

    def __init__(self, url: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._pool = new_pool_manager(num_pools=1, maxsize=1)

    def read(self) -> MachineList | Failure:
        """Return the current list, or the failure to fetch or decode it."""
        try:
            response = self._pool.request(
                "GET", self._url, timeout=self._timeout, redirect=False, preload_content=False
            )
            data = read_body(response, MAX_LIST_BYTES, self._timeout_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(FailureKind.UNREACHABLE, str(error))
        if response.status != 200:
            return self._failure(FailureKind.UNREACHABLE, f"HTTP status {response.status}")
        listed = read_machine_list(data)
        if isinstance(listed, Failure):
            return self._failure(FailureKind.CORRUPT, listed.reason)
        return listed

    def _failure(self, kind: FailureKind, reason: str) -> Failure:
        return Failure(
            kind=kind,
            reason=f"cannot read the machine list: {reason}",
            step=Step.EXCHANGING,
            peer=self._url,
            execution=Execution.NOT_RUN,
        )
