"""Where this hub reads settings from, and how long ago it heard the root group's leader.

A hub that holds a replica of group root uses it. With more control processes than voters the
others follow the voters: they read the applied settings of the one that is furthest, and their
age of contact is the best age that a voter told, plus the time since it told it.
"""

from __future__ import annotations

from typing import Protocol

from leverjunction.clock import Clock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.control.hub import Hub
from leverjunction.control.layout import ROOT_GROUP
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import decode, decode_reply, encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient

NEVER_HEARD_S = 3600.0
READ_TIMEOUT_S = 1.0
FULL_READ_TIMEOUT_S = 3.0
"""For the first read of a process that has just started: all settings, some megabytes."""


class RootFollower(Protocol):
    """Reads of group root that need no leader."""

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Return applied settings after a version."""
        ...

    def quorum_age_s(self) -> float:
        """Return the seconds since the leader was heard."""
        ...


class LocalRoot:
    """Follows the replica of group root that lives in this process.

    Args:
        replica: The replica.
        clock: Source of monotonic time; without one the age is unknown during an election.
    """

    def __init__(self, replica: ReplicatedGroup, clock: Clock | None = None) -> None:
        self._replica = replica
        self._clock = clock
        self._heard_s: float | None = None
        self._read_heard_s: float | None = None
        """When the leader had been heard of what was read last; None before the first reading."""

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Return what the local replica has applied."""
        age_s = self._contact_age_s()
        delta = decode_reply(self._replica.query_local(encode(query)), SettingsDelta)
        if self._clock is not None and not isinstance(delta, Failure):
            self._read_heard_s = self._clock.monotonic_s() - age_s
        return delta

    def quorum_age_s(self) -> float:
        """Return how old what is served here may be, in seconds.

        A replica that has caught up makes nothing fresh that was read from it before: a gateway
        that takes a hub for fresh asks again only after a second.
        """
        age_s = self._contact_age_s()
        if self._clock is None or self._read_heard_s is None:
            return age_s
        return min(max(age_s, self._clock.monotonic_s() - self._read_heard_s), NEVER_HEARD_S)

    def _contact_age_s(self) -> float:
        """Return the seconds since a leader was heard; a blank replica has never heard one.

        No leader is known during an election. The age goes on from the last contact then, so
        that a short election makes no hub stale and moves no gateway.
        """
        status = self._replica.status()
        if self._clock is None:
            return status.leader_contact_age_s if status.leader_address else NEVER_HEARD_S
        now_s = self._clock.monotonic_s()
        if status.leader_address:
            contact_s = now_s - status.leader_contact_age_s
            self._heard_s = max(contact_s, self._heard_s or contact_s)
        return NEVER_HEARD_S if self._heard_s is None else now_s - self._heard_s


class RemoteRoot:
    """Follows the voters of group root, which are other processes.

    ``hub`` is set once it exists: it is where the voters' states come in.

    Args:
        rpc: Client towards the voters.
        voters: Their RPC addresses.
        clock: Source of monotonic time.
    """

    def __init__(self, rpc: RpcClient, voters: list[str], clock: Clock) -> None:
        self._rpc = rpc
        self._voters = voters
        self._clock = clock
        self._level_s: float | None = None
        self.hub: Hub | None = None

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Read from the voter that is furthest ahead, if it is ahead of the asker at all."""
        sent_s = self._clock.monotonic_s()
        delta = self._read(query)
        if not isinstance(delta, Failure):
            # What it shows is at least as new as the sending.
            self._level_s = sent_s
        return delta

    def _read(self, query: GetSettings) -> SettingsDelta | Failure:
        states = self.hub.live_hubs() if self.hub is not None else []
        ahead = [
            (state.settings_version, state.rpc_address)
            for state in states
            if state.rpc_address in self._voters and state.settings_version > query.after_version
        ]
        if not ahead:
            return SettingsDelta(version=query.after_version, rows=[])
        return self._rpc.call(
            max(ahead)[1],
            MessageKind.LOCAL_QUERY,
            query,
            SettingsDelta,
            group=ROOT_GROUP,
            timeout_s=READ_TIMEOUT_S if query.after_version else FULL_READ_TIMEOUT_S,
        )

    def quorum_age_s(self) -> float:
        """Return the best age of contact that a live voter told, with the time since then.

        It is at least the time since the last read that succeeded: a voter may be heard while the
        calls to it fail, and the settings here then fall behind.
        """
        if self.hub is None or self._level_s is None:
            return NEVER_HEARD_S
        read_age_s = self._clock.monotonic_s() - self._level_s
        heard = self.hub.hub_heard_ages_s()
        ages = [
            state.quorum_age_s + heard[state.name]
            for state in self.hub.live_hubs()
            if state.rpc_address in self._voters and state.name in heard
        ]
        return max(min(ages, default=NEVER_HEARD_S), read_age_s)


def serve_local_query(hub: Hub, envelope: Envelope, peer: str) -> bytes:
    """RPC handler of LOCAL_QUERY: give applied settings, which may lag, to a hub without a voter.

    Served as to gateways: the step is read and encoded once, and few large ones go out at once.
    """
    if envelope.group != ROOT_GROUP:
        return encode_reply(_no_such_query(envelope.group))
    query = decode(envelope.body, GetSettings, peer)
    return encode_reply(query) if isinstance(query, Failure) else hub.settings_encoded(query)


def _no_such_query(group: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"group {group!r} has no local queries",
        step=Step.QUERYING,
    )
