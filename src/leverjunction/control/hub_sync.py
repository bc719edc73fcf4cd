"""Tells the other hubs what this one knows, and passes lease renewals to the group leaders."""

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
NOTHING_KNOWN = 0
"""Version that a hub answers with when a message does not follow on what it knows."""

RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 1.0


class HubSyncTasks:
    """One loop for each other hub, so that one that is frozen delays no other.

    Args:
        hub: What is told.
        rpc: Client towards the other hubs.
        peers: RPC addresses of the other hubs, by name.
        state: Returns this process's state as it is now.
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
        """Tell the other hubs soon: something changed that they should not hear a second late."""
        for task in self._tasks:
            task.wake()

    def stop(self) -> None:
        """Stop all loops."""
        stop_all(self._tasks)

    def _loop_for(self, name: str, address: str) -> Callable[[], None]:
        return lambda: self._tell(name, address)

    def _tell(self, name: str, address: str) -> None:
        reply = self._send(name, address)
        if isinstance(reply, HubSyncReply) and reply.have_version == NOTHING_KNOWN:
            # It has just started, or stood still, and gives out no view before it has heard all.
            reply = self._send(name, address)
        self._note(name, reply)

    def _send(self, name: str, address: str) -> HubSyncReply | Failure:
        message = self._hub.sync_for(name, self._state())
        reply = self._rpc.call(
            address, MessageKind.HUB_SYNC, message, HubSyncReply, timeout_s=SYNC_TIMEOUT_S
        )
        self._hub.sync_answered(name, reply)
        return reply

    def _note(self, name: str, reply: HubSyncReply | Failure) -> None:
        if isinstance(reply, Failure):
            if name not in self._silent:
                logger.warning("hub {} does not answer: {}", name, reply.reason)
            self._silent.add(name)
        elif name in self._silent:
            logger.info("hub {} answers again", name)
            self._silent.discard(name)


class RenewalTask:
    """Sends the renewals of this hub's gateways to each job group's leader, in batches.

    It asks also when there is nothing to renew, because the answer names the cancelled jobs.
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
            lambda: _encoded(self._expiry.renew(group, renewals)),
            RENEWAL_TIMEOUT_S,
        )
        answer = raw if isinstance(raw, Failure) else decode_reply(raw, RenewedLeases)
        self._hub.renewals_answered(group, held, answer)


def _encoded(answer: RenewedLeases | Failure) -> bytes | Failure:
    return answer if isinstance(answer, Failure) else encode_reply(answer)
