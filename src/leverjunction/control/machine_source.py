"""Where this hub reads the platform's machine list: from the platform, else from another hub.

Each hub reads the platform by itself, twice a second. One reader that told the others would save
the platform the other readings, but a leaving runner would then need up to 2.5 s to reach every
gateway (0.5 s list, 1 s between hubs, 1 s exchange) where 2 s are promised, and one lost reader
would blind all hubs.
"""

from __future__ import annotations

from loguru import logger

from leverjunction.backends.machine_list import (
    REQUEST_TIMEOUT_S,
    MachineList,
    MachineListClient,
)
from leverjunction.control.hub import Hub
from leverjunction.errors import Failure
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.messages import Acknowledged
from leverjunction.wire.rpc_client import RpcClient

PEER_TIMEOUT_S = 0.5
LONGEST_READ_S = REQUEST_TIMEOUT_S + PEER_TIMEOUT_S


class MachineSource:
    """Reads the list for one hub. Called by one background task.

    Args:
        platform: Client of the platform.
        hub: Takes the readings, and knows which other hub has the newest one.
        rpc: Client towards the other hubs.
        interval_s: Time between two readings.
    """

    def __init__(
        self, platform: MachineListClient, hub: Hub, rpc: RpcClient, interval_s: float
    ) -> None:
        self._interval_s = interval_s
        self._platform = platform
        self._hub = hub
        self._rpc = rpc
        self._failing = False

    def tick(self) -> None:
        """Read once; the last reading stays in force when nobody has a newer one."""
        asked_s = self._hub.begin_machine_list_read(LONGEST_READ_S)
        listed = self._platform.read()
        self._note(listed)
        if isinstance(listed, Failure):
            listed = self._read_from_hub(listed)
        if isinstance(listed, MachineList):
            self._hub.update_machine_list(listed, asked_s)
        self._hub.begin_machine_list_read(self._interval_s)

    def _read_from_hub(self, failure: Failure) -> MachineList | Failure:
        own_ms = self._hub.machine_list_as_of_ms()
        newer = [hub for hub in self._hub.live_hubs() if hub.machine_list_as_of_ms > own_ms]
        if not newer:
            return failure
        best = max(newer, key=lambda hub: hub.machine_list_as_of_ms)
        return self._rpc.call(
            best.rpc_address,
            MessageKind.MACHINE_LIST,
            Acknowledged(),
            MachineList,
            timeout_s=PEER_TIMEOUT_S,
        )

    def _note(self, listed: MachineList | Failure) -> None:
        if isinstance(listed, Failure) and not self._failing:
            logger.warning("{}; other hubs are asked", listed.reason)
        elif self._failing and not isinstance(listed, Failure):
            logger.info("the machine list can be read again")
        self._failing = isinstance(listed, Failure)
