from __future__ import annotations

import msgspec
import pytest

from testbed.scale.leadership import leader_in, leader_of


def status(*roles: tuple[str, str, str, int]) -> bytes:
    hubs = [
        {"name": name, "zone": "a", "groups": [{"group": group, "role": role, "term": term}]}
        for name, group, role, term in roles
    ]
    return msgspec.json.encode({"name": "control-0", "settings_version": 3, "hubs": hubs})


@pytest.mark.parametrize(
    ("roles", "leader"),
    [
        pytest.param([("control-0", "root", "follower", 4)], None, id="none"),
        pytest.param([("control-0", "jobs-0", "leader", 4)], None, id="of another group"),
        pytest.param([("control-2", "root", "leader", 4)], "control-2", id="one"),
        pytest.param(
            [("control-2", "root", "leader", 4), ("control-1", "root", "leader", 5)],
            "control-1",
            id="a former leader does not count",
        ),
    ],
)
def test_leader_in_a_status(roles: list[tuple[str, str, str, int]], leader: str | None) -> None:
    assert leader_in("root", status(*roles)) == leader


def test_no_leader_is_known_when_no_process_answers() -> None:
    assert leader_of("root", ["127.0.0.1:1"], "token") is None
