"""Sources of settings for a hub, and the age of its contact with the leader of group root.

A hub that holds a replica of group root reads from that replica. If there are more control
processes than voters, the other hubs follow the voters: they read the applied settings of the most
advanced voter, and their contact age is the lowest age that a voter reported, plus the time since
that report.
"""

from __future__ import annotations

from typing import Protocol

from leverjunction.clock import Clock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.control.hub import Hub
from leverjunction.control.layout import ROOT_GROUP
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import decode, decode_reply, encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient

NO_CONTACT_AGE_S = 3600.0
READ_TIMEOUT_S = 1.0
FULL_READ_TIMEOUT_S = 3.0
"""Timeout for the first read after a start, which returns all settings: some megabytes."""


class RootFollower(Protocol):
    """Reads settings of group root without contacting its leader."""

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Return the applied settings that changed after a version."""
        ...

    def quorum_age_s(self) -> float:
        """Return the age of the last contact with the leader, in seconds."""
        ...


class LocalRoot:
    """Reads settings from this process's own replica of group root.

    Args:
        replica: The replica.
        clock: Source of monotonic time; without it the age is unknown during an election.
    """

    def __init__(self, replica: ReplicatedGroup, clock: Clock | None = None) -> None:
        self._replica = replica
        self._clock = clock
        self._leader_contact_s: float | None = None
        self._read_contact_s: float | None = None
        """Time of the leader contact that the last read reflects; None before the first read."""

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Return the settings that the local replica has applied after a version."""
        age_s = self._contact_age_s()
        delta = decode_reply(self._replica.query_local(encode(query)), SettingsDelta)
        if self._clock is not None and not isinstance(delta, Failure):
            self._read_contact_s = self._clock.monotonic_s() - age_s
        return delta

    def quorum_age_s(self) -> float:
        """Return the maximum age of the settings served by this hub, in seconds.

        Counts from the leader contact before the last read: when a replica catches up, settings
        read from it earlier remain old. A gateway that considers a hub fresh asks it again only
        after a second.
        """
        age_s = self._contact_age_s()
        if self._clock is None or self._read_contact_s is None:
            return age_s
        return min(max(age_s, self._clock.monotonic_s() - self._read_contact_s), NO_CONTACT_AGE_S)

    def _contact_age_s(self) -> float:
        """Return the seconds since the last leader contact, or ``NO_CONTACT_AGE_S`` without one.

        No leader is known during an election. The age then continues from the last contact, so
        that a short election neither makes a hub stale nor causes gateways to switch hubs.
        """
        status = self._replica.status()
        if self._clock is None:
            return status.leader_contact_age_s if status.leader_address else NO_CONTACT_AGE_S
        now_s = self._clock.monotonic_s()
        if status.leader_address:
            contact_s = now_s - status.leader_contact_age_s
            self._leader_contact_s = max(contact_s, self._leader_contact_s or contact_s)
        return (
            NO_CONTACT_AGE_S if self._leader_contact_s is None else now_s - self._leader_contact_s
        )


class RemoteRoot:
    """Reads settings from the voters of group root, which are other processes.

    Attributes:
        hub: The hub that receives the voters' states; set once it has been created.

    Args:
        rpc: RPC client for the voters.
        voters: RPC addresses of the voters.
        clock: Source of monotonic time.
    """

    def __init__(self, rpc: RpcClient, voters: list[str], clock: Clock) -> None:
        self._rpc = rpc
        self._voters = voters
        self._clock = clock
        self._read_sent_s: float | None = None
        self.hub: Hub | None = None

    def read(self, query: GetSettings) -> SettingsDelta | Failure:
        """Read from the most advanced voter if it is ahead of the requested version."""
        sent_s = self._clock.monotonic_s()
        delta = self._read(query)
        if not isinstance(delta, Failure):
            # The reply is at least as new as the time at which the query was sent.
            self._read_sent_s = sent_s
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
        """Return the lowest contact age that a live voter reported, plus the time since then.

        It is never less than the time since the last successful read: if messages from a voter
        arrive while calls to it fail, the settings of this hub fall behind.
        """
        if self.hub is None or self._read_sent_s is None:
            return NO_CONTACT_AGE_S
        read_age_s = self._clock.monotonic_s() - self._read_sent_s
        heard = self.hub.hub_heard_ages_s()
        ages = [
            state.quorum_age_s + heard[state.name]
            for state in self.hub.live_hubs()
            if state.rpc_address in self._voters and state.name in heard
        ]
        return max(min(ages, default=NO_CONTACT_AGE_S), read_age_s)


def serve_local_query(hub: Hub, envelope: Envelope, peer: str) -> bytes:
    """Handle the RPC LOCAL_QUERY: return applied settings, which may lag, to a hub without a voter.

    Served in the same way as gateways: each settings step is read and encoded only once, and the
    number of large replies in progress is limited.
    """
    if envelope.group != ROOT_GROUP:
        return encode_reply(_no_local_query_failure(envelope.group))
    query = decode(envelope.body, GetSettings, peer)
    return encode_reply(query) if isinstance(query, Failure) else hub.settings_encoded(query)


def _no_local_query_failure(group: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"group {group!r} has no local queries",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )
