"""Client of the platform's list of live and leaving machines (see docs/BACKENDS.md)."""

from __future__ import annotations

from enum import StrEnum

import msgspec
import urllib3

from leverjunction.errors import Failure, FailureKind, Step

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
    """A reading of the list; ``as_of_ms`` is the platform's own time of it."""

    as_of_ms: int
    machines: list[Machine]


_DECODER = msgspec.json.Decoder(MachineList)


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
        try:
            return _DECODER.decode(response.data)
        except msgspec.MsgspecError as error:
            return self._failure(FailureKind.CORRUPT, str(error))

    def _failure(self, kind: FailureKind, reason: str) -> Failure:
        return Failure(
            kind=kind,
            reason=f"machine list cannot be read: {reason}",
            step=Step.EXCHANGING,
            peer=self._url,
        )
