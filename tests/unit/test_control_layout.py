"""Tests of the layout of consensus groups at full size, and of changes of their voters."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import cast

import pytest

from leverjunction.config.control import ControlConfig, ControlPeer
from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.group import GroupReplica
from leverjunction.control.layout import ROOT_GROUP, group_names, voters_of
from leverjunction.control.replicas import GROUP_FOLDER, build_replicas
from leverjunction.control.voter_placement import VoterPlacement
from leverjunction.errors import Execution, Failure, FailureKind, Step

REGIONS_OF_ZONES = [0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 4, 4, 5, 5]
JOB_GROUPS = 10
REPLICAS = 5


def peers(count: int = 15) -> list[ControlPeer]:
    return [
        ControlPeer(
            name=f"control-{number:02}",
            rpc_address=f"10.0.0.{number + 1}:9000",
            zone=f"zone-{number % 15:02}",
            region=f"region-{REGIONS_OF_ZONES[number % 15]}",
        )
        for number in range(count)
    ]


def config(all_peers: list[ControlPeer], name: str = "", **changes: object) -> ControlConfig:
    values: dict[str, object] = {
        "name": name or all_peers[0].name,
        "region": "region-0",
        "zone": "zone-00",
        "listen": {"host": "127.0.0.1", "http_port": 1, "rpc_port": 2},
        "cluster_key_file": "/k",
        "data_folder": "/d",
        "peers": all_peers,
        "job_groups": JOB_GROUPS,
        "operator_token_file": "/t",
        "machine_list_url": "http://127.0.0.1:1/",
    }
    return ControlConfig.model_validate(values | changes)


def layout(settings: ControlConfig) -> dict[str, list[ControlPeer]]:
    return {group: voters_of(group, settings) for group in group_names(settings)}


def test_more_job_groups_than_replicas_are_spread_evenly_over_all_machines() -> None:
    placed = layout(config(peers()))
    assert len(placed) == JOB_GROUPS + 1
    assert {len(voters) for voters in placed.values()} == {REPLICAS}
    held = Counter(peer.name for voters in placed.values() for peer in voters)
    assert len(held) == 15
    assert max(held.values()) <= 4


def test_a_region_that_is_cut_off_holds_one_voter_of_a_group_at_most() -> None:
    for voters in layout(config(peers())).values():
        assert len({peer.region for peer in voters}) == REPLICAS
    # With any one region partitioned, every group has 4 of 5 voters elsewhere. Even without the
    # two regions that hold the most voters each group has a majority.


def test_without_regions_the_voters_are_in_different_zones() -> None:
    single = [
        ControlPeer(name=f"c{number}", rpc_address=f"10.0.0.{number + 1}:1", zone=f"z{number % 3}")
        for number in range(6)
    ]
    placed = layout(config(single, replicas_per_group=3))
    assert all(len({peer.zone for peer in voters}) == 3 for voters in placed.values())


def test_every_process_sees_the_same_layout_in_any_order_of_its_file() -> None:
    all_peers = peers()
    names = {
        tuple(
            (group, tuple(sorted(peer.name for peer in voters)))
            for group, voters in layout(config(order, name=order[0].name)).items()
        )
        for order in (all_peers, all_peers[::-1], all_peers[7:] + all_peers[:7])
    }
    assert len(names) == 1


def test_one_more_machine_moves_few_replicas() -> None:
    before, after = layout(config(peers(15))), layout(config(peers(16)))
    moved = sum(
        len({peer.name for peer in after[group]} - {peer.name for peer in voters})
        for group, voters in before.items()
    )
    assert 0 < moved <= (JOB_GROUPS + 1) * REPLICAS // 3


def test_named_root_voters_are_taken() -> None:
    named = [f"control-{number:02}" for number in (0, 5, 14)]
    voters = voters_of(ROOT_GROUP, config(peers(), root_voters=named))
    assert [peer.name for peer in voters] == named


class Replica:
    """Stub of a group replica with a scripted status."""

    def __init__(self) -> None:
        self.role = "leader"
        self.term = 1
        self.voters = ["a", "b", "c"]
        self.proposed: list[list[str]] = []
        self.failing = False

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="root", replica_id="r", role=self.role, term=self.term, leader_address="a",
            commit_index=1, applied_index=1, voters=self.voters, learners=[],
            leader_contact_age_s=0.0,
        )  # fmt: skip

    def change_members(self, addresses: list[str], _timeout_s: float) -> bytes | Failure:
        self.proposed.append(addresses)
        if self.failing:
            return Failure(
                kind=FailureKind.NO_QUORUM,
                reason="cut",
                step=Step.PROPOSING,
                execution=Execution.NOT_RUN,
            )
        return b""


def changing_voters() -> tuple[Replica, VoterPlacement]:
    replica = Replica()
    replicas = {"root": cast(GroupReplica, replica)}
    return replica, VoterPlacement(replicas, {"root": ["d", "c", "b"]})


def test_the_leader_proposes_the_target_voters_once_a_term() -> None:
    replica, placement = changing_voters()
    replica.failing = True
    placement.tick()
    replica.failing = False
    for _ in range(3):
        placement.tick()
    assert replica.proposed == [["b", "c", "d"]] * 2
    replica.term = 2
    placement.tick()
    assert len(replica.proposed) == 3


@pytest.mark.parametrize(
    ("role", "voters"), [("follower", ["a", "b", "c"]), ("leader", ["c", "d", "b"])]
)
def test_no_change_is_proposed_without_need(role: str, voters: list[str]) -> None:
    replica, placement = changing_voters()
    replica.role, replica.voters = role, voters
    placement.tick()
    assert replica.proposed == []


def test_a_replica_runs_while_its_file_exists_though_the_layout_moved_it(tmp_path: Path) -> None:
    all_peers = peers()
    settings = config(all_peers, data_folder=str(tmp_path))
    own = all_peers[0].rpc_address
    elsewhere = next(
        group
        for group in group_names(settings)
        if own not in [peer.rpc_address for peer in voters_of(group, settings)]
    )
    arguments = (settings, own, cast("object", None), cast("object", None))

    def held() -> set[str]:
        return set(build_replicas(*arguments, random.Random(1)))  # type: ignore[arg-type]

    assert elsewhere not in held()
    (tmp_path / GROUP_FOLDER / f"{elsewhere}.sqlite").touch()
    assert elsewhere in held()
