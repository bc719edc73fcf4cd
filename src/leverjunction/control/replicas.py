"""Creates the local replicas of the consensus groups."""

from __future__ import annotations

import random as random_module
from pathlib import Path

from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.clock import Clock
from leverjunction.config.control import ControlConfig
from leverjunction.consensus.api import StateMachine
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.transport import RaftTransport
from leverjunction.consensus.types import GroupConfig
from leverjunction.control.layout import ROOT_GROUP, group_names, voters_of
from leverjunction.settings.state_machine import SettingsStateMachine

GROUP_FOLDER = "groups"
ELECTION_TIMEOUT_SPREAD = 2.0
"""Ratio of the longest to the shortest election timeout; the spread prevents split votes."""


def build_replicas(
    config: ControlConfig,
    address: str,
    transport: RaftTransport,
    clock: Clock,
    random: random_module.Random,
) -> dict[str, GroupReplica]:
    """Return a replica of each group that this process holds, by group, not started yet.

    A group that the layout has moved away is included while its file exists here: its replica may
    be needed for the quorum until the new voters have taken over (see ``voter_placement``).

    Args:
        config: This process's configuration.
        address: RPC address of this process, as given in ``peers``.
        transport: Sends messages to the peers.
        clock: Source of time.
        random: Generator of the seeds for the replicas' own generators.
    """
    folder = config.data_folder / GROUP_FOLDER
    folder.mkdir(parents=True, exist_ok=True)
    replicas: dict[str, GroupReplica] = {}
    for group in group_names(config):
        members = [peer.rpc_address for peer in voters_of(group, config)]
        if address not in members and not _data_path(folder, group).exists():
            continue
        own_random = random_module.Random(random.getrandbits(64))
        group_config = _group_config(config, group, address, members, folder)
        state_machine = _state_machine_of(group)
        replicas[group] = GroupReplica(group_config, state_machine, transport, clock, own_random)
    return replicas


def _data_path(folder: Path, group: str) -> Path:
    return folder / f"{group}.sqlite"


def _state_machine_of(group: str) -> StateMachine:
    return SettingsStateMachine() if group == ROOT_GROUP else JobsStateMachine()


def _group_config(
    config: ControlConfig, group: str, address: str, members: list[str], folder: Path
) -> GroupConfig:
    return GroupConfig(
        group=group,
        address=address,
        first_members=tuple(sorted(members)),
        witnesses=tuple(
            peer.rpc_address for peer in config.peers if peer.rpc_address not in members
        ),
        data_path=str(_data_path(folder, group)),
        heartbeat_interval_s=config.heartbeat_interval_s,
        election_timeout_min_s=config.election_timeout_s,
        election_timeout_max_s=config.election_timeout_s * ELECTION_TIMEOUT_SPREAD,
    )
