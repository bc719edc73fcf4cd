"""Client of the platform's list of live and leaving machines (see docs/BACKENDS.md)."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import urllib3

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.untrusted import convert, is_address, is_name, note_unreadable, read_json

REQUEST_TIMEOUT_S = 2.0


class MachineState(StrEnum):
    """What the platform says about a machine; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """One listed back end.

    Attributes:
        id: Unique name.
        address: ``host:port`` of its engine protocol.
        zone: Zone it runs in.
        service: Service it belongs to.
        state: Live or leaving.
        incarnation: Start time in milliseconds; rises with each restart.
    """

    id: str
    address: str
    zone: str
    service: str
    state: MachineState
    incarnation: int


class MachineList(msgspec.Struct, frozen=True, kw_only=True):
    """A reading of the list.

    Attributes:
        as_of_ms: The platform's own time of it.
        machines: The machines.
        unreadable: Ids of entries that name no machine to use; one that is in use stays as it was.
    """

    as_of_ms: int
    machines: list[Machine]
    unreadable: list[str] = []


class _ListForm(msgspec.Struct):
    as_of_ms: int
    machines: list[Any]


_LISTS = msgspec.json.Decoder(_ListForm)


def read_machine_list(data: bytes) -> MachineList | Failure:
    """Return the machines of a list; entries of another form name none, and hide no other."""
    form = read_json(data, _LISTS)
    if isinstance(form, Failure):
        return form
    machines: list[Machine] = []
    unreadable: list[str] = []
    for entry in form.machines:
        machine = _read_machine(entry)
        if not isinstance(machine, Failure):
            machines.append(machine)
            continue
        machine_id = entry.get("id") if isinstance(entry, dict) else None
        note_unreadable("entry of the machine list", str(machine_id), machine.reason)
        if isinstance(machine_id, str):
            unreadable.append(machine_id)
    return MachineList(as_of_ms=form.as_of_ms, machines=machines, unreadable=unreadable)


def _read_machine(entry: object) -> Machine | Failure:
    machine = convert(entry, Machine)
    if isinstance(machine, Failure) or (is_name(machine.id) and is_address(machine.address)):
        return machine
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason="an id that is no name, or an address that is not HOST:PORT",
        step=Step.DECODING,
    )


class MachineListClient:
    """Reads the list by HTTP. Called by each control process about twice a second."""

    def __init__(self, url: str, timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self._url = url
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def read(self) -> MachineList | Failure:
        """Return the list as the platform gives it now, or why it cannot be had."""
        try:
            response = self._pool.request("GET", self._url, timeout=self._timeout, redirect=False)
        except urllib3.exceptions.HTTPError as error:
            return self._failure(FailureKind.UNREACHABLE, str(error))
        if response.status != 200:
            return self._failure(FailureKind.UNREACHABLE, f"HTTP status {response.status}")
        listed = read_machine_list(response.data)
        if isinstance(listed, Failure):
            return self._failure(FailureKind.CORRUPT, listed.reason)
        return listed

    def _failure(self, kind: FailureKind, reason: str) -> Failure:
        return Failure(
            kind=kind,
            reason=f"machine list cannot be read: {reason}",
            step=Step.EXCHANGING,
            peer=self._url,
        )
