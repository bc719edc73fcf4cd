"""Settings file of a process: flags over file over defaults, and what bad ones say."""

from __future__ import annotations

from pathlib import Path

import pytest

from leverjunction.config.gateway import GatewayConfig
from leverjunction.config.load import load_config
from leverjunction.errors import Failure

GOOD = """
name: g1
region: coast
zone: kariakoo
listen: {host: 127.0.0.1, http_port: 8080, rpc_port: 8081}
cluster_key_file: key
data_folder: data
hubs: ["127.0.0.1:9001"]
request_threads: 32
"""


def load(tmp_path: Path, text: str, **overrides: object) -> GatewayConfig | Failure:
    file = tmp_path / "gateway.yaml"
    file.write_text(text)
    dotted = {key.replace("__", "."): value for key, value in overrides.items()}
    return load_config(file, GatewayConfig, dotted)


def test_flags_over_file_over_defaults(tmp_path: Path) -> None:
    config = load(tmp_path, GOOD, listen__http_port=8090, log__level="DEBUG")
    assert isinstance(config, GatewayConfig)
    assert (config.listen.http_port, config.listen.rpc_port) == (8090, 8081)
    assert (config.request_threads, config.exchange_interval_s) == (32, 1.0)
    assert config.log.level == "DEBUG"


@pytest.mark.parametrize(
    ("text", "overrides", "told"),
    [
        (GOOD.replace("name: g1", ""), {}, ["key name", "required"]),
        (GOOD + "typo: 1\n", {}, ["key typo", "not permitted"]),
        (GOOD.replace("8080", "eighty"), {}, ["key listen.http_port", "integer", "'eighty'"]),
        (GOOD, {"listen__http_port": 70000}, ["key listen.http_port", "65535", "70000"]),
        (GOOD, {"name__part": 1}, ["name.part", "name is not a mapping"]),
        (GOOD + "zone: msasani\n", {}, ["zone is given twice", "line 10"]),
        ("[1, 2]", {}, ["mapping", "list"]),
        ("a: [", {}, ["YAML"]),
        ("\tname: x", {}, ["YAML"]),
    ],
)
def test_bad_files(
    tmp_path: Path, text: str, overrides: dict[str, object], told: list[str]
) -> None:
    loaded = load(tmp_path, text, **overrides)
    assert isinstance(loaded, Failure)
    assert "gateway.yaml" in loaded.reason
    for part in told:
        assert part in loaded.reason


def test_not_text_is_told(tmp_path: Path) -> None:
    file = tmp_path / "gateway.yaml"
    file.write_bytes(b"\xff\xfe\x00")
    assert isinstance(load_config(file, GatewayConfig, {}), Failure)
