"""Reads the machine list from the platform, or from another hub if the platform fails.

Each hub polls the platform, twice a second. With a single reader that informs the other hubs the
platform would serve fewer requests, but every gateway would learn of a leaving runner within 2.5 s
(0.5 s list, 1 s between hubs, 1 s exchange) instead of the promised 2 s, and all hubs would depend
on one process.
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
MAX_READ_S = REQUEST_TIMEOUT_S + PEER_TIMEOUT_S


class MachineSource:
    """Keeps the machine list of one hub up to date. Called by one background task.

    Args:
        platform: Client of the platform.
        hub: Receives the machine lists, and knows which other hub has the newest one.
        rpc: Client for calls to the other hubs.
        interval_s: Time between two reads, in seconds.
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
        """Read the list once. The last one stays in use if neither source has a newer one."""
        start_s = self._hub.begin_machine_list_read(MAX_READ_S)
        listed = self._platform.read()
        self._log_change(listed)
        if isinstance(listed, MachineList):
            self._hub.update_machine_list(listed, start_s)
        else:
            self._read_from_hub()
        self._hub.begin_machine_list_read(self._interval_s)

    def _read_from_hub(self) -> None:
        """Apply the list of another hub if it is newer than the own one.

        It does not count as a reading from now: the other hub may have read it long ago, for
        example before all processes were paused.
        """
        own_ms = self._hub.machine_list_as_of_ms()
        newer = [hub for hub in self._hub.live_hubs() if hub.machine_list_as_of_ms > own_ms]
        if not newer:
            return
        best = max(newer, key=lambda hub: hub.machine_list_as_of_ms)
        listed = self._rpc.call(
            best.rpc_address,
            MessageKind.MACHINE_LIST,
            Acknowledged(),
            MachineList,
            timeout_s=PEER_TIMEOUT_S,
        )
        if isinstance(listed, MachineList):
            self._hub.update_machine_list(listed)

    def _log_change(self, listed: MachineList | Failure) -> None:
        if isinstance(listed, Failure) and not self._failing:
            logger.warning("{}; trying other hubs", listed.reason)
        elif self._failing and not isinstance(listed, Failure):
            logger.info("reading the machine list from the platform again")
        self._failing = isinstance(listed, Failure)
