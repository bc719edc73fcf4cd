"""Serves the real operator API over HTTP on an in-memory state machine, for command tests."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from leverjunction.api.operators import OperatorsApi
from leverjunction.api.operators_app import build_operators_app
from leverjunction.api.probes import ProbesApi
from leverjunction.cli.commands import main
from leverjunction.consensus.api import ApplyContext
from leverjunction.control.http_server import operators_server
from leverjunction.control.messages import HubState
from leverjunction.control.status import ClusterStatus, PlacementStatus, RunnerLoad
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.state_machine import SettingsStateMachine
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState

T = TypeVar("T")

TOKEN = "operator-token"


def gateway_state(name: str, version: int, stopping: bool = False) -> GatewayState:
    return GatewayState(
        gateway_id=name,
        address="127.0.0.1:1",
        rpc_address="127.0.0.1:2",
        zone="z1",
        incarnation=1,
        stopping=stopping,
        settings_version=version,
    )


def cluster_status(
    version: int = 1, *, gateways: list[GatewayState] | None = None
) -> ClusterStatus:
    """Return a status in which every list shown by the command has an element."""
    return ClusterStatus(
        name="control-1",
        settings_version=version,
        quorum_age_s=0.1,
        hubs=[
            HubState(
                name="control-1",
                rpc_address="127.0.0.1:3",
                zone="z1",
                incarnation=1,
                settings_version=version,
            )
        ],
        silent_hubs=["control-2"],
        gateways=gateways if gateways is not None else [gateway_state("gateway-1", version)],
        runners=[
            RunnerState(
                runner_id="runner-1",
                address="127.0.0.1:4",
                zone="z1",
                service="s",
                leaving=False,
                models=["m"],
                incarnation=1,
            )
        ],
        readings=[],
        digests=[
            RunnerDigest(
                runner_id="runner-1",
                running=5,
                waiting=2,
                batch_running=3,
                kv_used_ratio=0.5,
                as_of_ms=1,
            )
        ],
        loads=[
            RunnerLoad(
                runner_id="runner-1",
                running=5,
                waiting=2,
                batch_running=3,
                kv_used_ratio=0.5,
                as_of_ms=1,
                healthy=True,
            )
        ],
        backlog={"s": 7},
        leases={"gateway-1": 2},
        unknown_groups=["jobs-1"],
        placement=PlacementStatus(
            leads=True, in_progress=["runner-1: load m version 1"], blocked=["m on runner-2: why"]
        ),
    )


class OperatorsStub:
    """Replication groups in one process: a real root state machine and queued job replies."""

    def __init__(self) -> None:
        self.current = cluster_status()
        self.lost_responses = 0
        self.rejections: list[Failure] = []
        self.job_replies: dict[type[msgspec.Struct], list[msgspec.Struct]] = {}
        self.proposals = 0
        self._lock = threading.Lock()
        self._machine = SettingsStateMachine()
        self._connection = sqlite3.connect(":memory:", check_same_thread=False)
        self._machine.create_tables(self._connection)

    def status(self) -> ClusterStatus:
        return self.current

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        with self._lock:
            if self.rejections:
                return self.rejections.pop()
            self.proposals += 1
            context = ApplyContext(index=self.proposals, term=1, wall_ms=self.proposals * 1000)
            body = self._machine.apply(self._connection, context, encode(command))
            if self.lost_responses:
                self.lost_responses -= 1
                return _lost_response()
        return decode_reply(body, reply_type)

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        queued = self.job_replies.get(type(query), [])
        if group != "root" and queued:
            return msgspec.convert(queued.pop(0), reply_type, from_attributes=True)
        if group != "root":
            return Failure(
                kind=FailureKind.NOT_FOUND,
                reason="no job",
                step=Step.QUERYING,
                execution=Execution.NOT_RUN,
            )
        with self._lock:
            return decode_reply(self._machine.query(self._connection, encode(query)), reply_type)


def _lost_response() -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason="the response was lost",
        step=Step.PROPOSING,
        peer="stub",
        execution=Execution.NOT_RUN,
    )


class Operator:
    """Runs commands against one stub, with the shared flags set."""

    def __init__(self, stub: OperatorsStub, address: str, folder: Path) -> None:
        self.stub = stub
        self.address = address
        self.token_file = folder / "token"
        self.token_file.write_text(TOKEN)

    def run(self, *arguments: str) -> int:
        shared = ["--control", self.address, "--token-file", str(self.token_file)]
        return run_command(*arguments, *shared)


def run_command(*arguments: str) -> int:
    """Run the command line and return its exit code."""
    with pytest.raises(SystemExit) as caught:
        main(arguments)
    assert isinstance(caught.value.code, int)
    return caught.value.code


@contextmanager
def serve(stub: OperatorsStub) -> Iterator[str]:
    """Serve the stub on a free port and yield ``host:port``."""
    operators = OperatorsApi(stub, ["jobs-0"], stub.status, TOKEN)
    probes = ProbesApi(CollectorRegistry(), lambda: None)
    server = operators_server("127.0.0.1", 0, build_operators_app(operators, probes))
    server.start()
    try:
        yield server.address
    finally:
        server.stop()


def settings_folder(parent: Path, max_queue: int, name: str = "settings") -> Path:
    """Write a small settings tree and return its folder."""
    folder = parent / name
    folder.mkdir(exist_ok=True)
    defaults = f"defaults:\n  serving:\n    max_queue: {max_queue}\n"
    (folder / "all.yaml").write_text(defaults + "services:\n  s: {models: {m: {}}}\n")
    return folder
