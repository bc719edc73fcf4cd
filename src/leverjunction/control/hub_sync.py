"""Background tasks that sync the hubs and send lease renewals to the job group leaders."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub
from leverjunction.control.lease_expiry import LeaseExpiry
from leverjunction.control.messages import HubState, HubSyncReply, RenewedLeases, RenewLeases
from leverjunction.control.periodic import PeriodicTask, stop_all
from leverjunction.errors import Failure
from leverjunction.wire.codec import decode_reply, encode, encode_reply
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient

SYNC_INTERVAL_S = 1.0
SYNC_TIMEOUT_S = 0.8
UNKNOWN_STATE_VERSION = 0
"""Version in the reply of a hub that cannot apply a delta and needs the full state."""

RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 1.0


class HubSyncTasks:
    """Sends sync messages to the other hubs, one loop per hub: a slow hub delays no other hub.

    Args:
        hub: The hub whose state is sent.
        rpc: RPC client for the other hubs.
        peers: RPC addresses of the other hubs, by name.
        state: Returns the current state of this process.
    """

    def __init__(
        self,
        hub: Hub,
        rpc: RpcClient,
        peers: dict[str, str],
        state: Callable[[], HubState],
    ) -> None:
        self._hub = hub
        self._rpc = rpc
        self._state = state
        self._silent: set[str] = set()
        self._tasks = [
            PeriodicTask(f"sync-{name}", SYNC_INTERVAL_S, self._loop_for(name, address))
            for name, address in peers.items()
        ]

    def start(self) -> None:
        """Start all loops."""
        for task in self._tasks:
            task.start()

    def wake(self) -> None:
        """Sync with the other hubs now instead of at the end of the interval."""
        for task in self._tasks:
            task.wake()

    def stop(self) -> None:
        """Stop all loops."""
        stop_all(self._tasks)

    def _loop_for(self, name: str, address: str) -> Callable[[], None]:
        return lambda: self._sync_with(name, address)

    def _sync_with(self, name: str, address: str) -> None:
        reply = self._send(name, address)
        if isinstance(reply, HubSyncReply) and reply.have_version == UNKNOWN_STATE_VERSION:
            # The hub has just started or was paused. It serves no view until it has received the
            # full state of all hubs, so it gets this one without waiting for the interval.
            reply = self._send(name, address)
        self._log_reachability(name, reply)

    def _send(self, name: str, address: str) -> HubSyncReply | Failure:
        message = self._hub.make_sync(name, self._state())
        reply = self._rpc.call(
            address, MessageKind.HUB_SYNC, message, HubSyncReply, timeout_s=SYNC_TIMEOUT_S
        )
        self._hub.handle_sync_reply(name, reply)
        return reply

    def _log_reachability(self, name: str, reply: HubSyncReply | Failure) -> None:
        if isinstance(reply, Failure):
            if name not in self._silent:
                logger.warning("hub {} does not respond: {}", name, reply.reason)
            self._silent.add(name)
        elif name in self._silent:
            logger.info("hub {} responds again", name)
            self._silent.discard(name)


class RenewalTask:
    """Sends the lease renewals of this hub's gateways to each job group's leader, in batches.

    Batches are sent even if there is nothing to renew, because the reply lists the cancelled jobs
    and the services with pending work.
    """

    def __init__(self, hub: Hub, host: GroupHost, expiry: LeaseExpiry, groups: list[str]) -> None:
        self._hub = hub
        self._host = host
        self._expiry = expiry
        self._tasks = [
            PeriodicTask(f"renew-{group}", RENEWAL_INTERVAL_S, self._loop_for(group))
            for group in groups
        ]

    def start(self) -> None:
        """Start one loop for each group."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop all loops."""
        stop_all(self._tasks)

    def _loop_for(self, group: str) -> Callable[[], None]:
        return lambda: self._renew(group)

    def _renew(self, group: str) -> None:
        held = self._hub.take_renewals(group)
        renewals = RenewLeases(held)
        raw = self._host.run_on_leader(
            group,
            MessageKind.RENEW_LEASES,
            encode(renewals),
            lambda: _encode_answer(self._expiry.renew(group, renewals)),
            RENEWAL_TIMEOUT_S,
        )
        answer = raw if isinstance(raw, Failure) else decode_reply(raw, RenewedLeases)
        self._hub.handle_renewal_reply(group, held, answer)


def _encode_answer(answer: RenewedLeases | Failure) -> bytes | Failure:
    return answer if isinstance(answer, Failure) else encode_reply(answer)
