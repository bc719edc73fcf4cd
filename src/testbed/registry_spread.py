"""Measures what changes of a large route table cost a control process and its watchers.

``python -m testbed.registry_spread`` prints one JSON line: the bytes of all replies to watchers,
the processor time of the control process, and that of one watcher. Calls are made in process, from
the received envelope to the sent one, without sockets.
"""

from __future__ import annotations

import argparse
import json
import sqlite3
import time
from typing import Any

import msgspec

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.registry import commands
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.records import RunnerRecord
from leverjunction.registry.state_machine import RegistryStateMachine
from leverjunction.registry.watched_state import WatchedState
from leverjunction.routes.types import Route, RouteClass, RouteTable, ServiceSpec, WeightedService
from leverjunction.wire.codec import decode, decode_reply, encode
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope
from leverjunction.wire.rpc_server import RpcEndpoint

KEY = b"spread"


class _Control:
    """A hub on a state machine that applies commands alone."""

    def __init__(self) -> None:
        self.machine = RegistryStateMachine()
        self.connection = sqlite3.connect(":memory:")
        self.machine.create_tables(self.connection)
        self.index = 0
        self.hub = RegistryHub(self, self, SystemClock())  # type: ignore[arg-type]
        self.endpoint = RpcEndpoint(KEY, 1)
        self.endpoint.register(MessageKind.REGISTRY_WATCH, self._on_watch)

    def apply(self, command: msgspec.Struct) -> None:
        self.index += 1
        context = ApplyContext(index=self.index, term=1, wall_ms=self.index)
        self.machine.apply(self.connection, context, encode(command))
        self.hub.notify_changed()

    def query_local(self, query: bytes) -> bytes:
        return self.machine.query(self.connection, query)

    def query(self, _group: str, query: Any, reply_type: Any, _timeout_s: float) -> Any:
        return decode_reply(self.query_local(encode(query)), reply_type)

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="registry",
            replica_id="r",
            role="leader",
            term=1,
            leader_address="",
            commit_index=1,
            applied_index=1,
            voters=["a:1"],
            learners=[],
            leader_contact_age_s=0.0,
        )

    def _on_watch(self, envelope: Envelope, _peer: str) -> bytes:
        request: Any = decode(envelope.body, commands.WatchRequest)
        return self.hub.watch_encoded(request)


def _route(number: int) -> Route:
    return Route(
        name=f"route-{number}",
        host=f"host-{number % 40}.example",
        prefix=f"/v1/models/{number}/",
        kind=RouteClass.REPEATABLE,
        timeout_ms=1000.0,
        target_ms=200.0,
        priority=1,
        services=(WeightedService(service=f"service-{number % 20}", weight=1),),
        max_attempts=2,
    )


def _table(version: int, routes: int) -> RouteTable:
    services = tuple(
        ServiceSpec(name=f"service-{number}", health_path="/health", max_connections=8)
        for number in range(20)
    )
    return RouteTable(
        version=version, routes=tuple(_route(number) for number in range(routes)), services=services
    )


def _runner(number: int, slots: int) -> RunnerRecord:
    return RunnerRecord(
        runner_id=f"runner-{number:04}",
        service=f"service-{number % 20}",
        address=f"10.0.{number // 250}.{number % 250}:8080",
        zone=f"zone-{number % 3}",
        slots=slots,
    )


def measure(watchers: int, changes: int, routes: int, runners: int, what: str) -> dict[str, float]:
    """Return the bytes and the processor seconds of a series of changes.

    Args:
        watchers: Number of processes that watch.
        changes: Number of changes; each reaches all watchers before the next one.
        routes: Routes of the first table.
        runners: Back ends.
        what: ``route`` for changes that add a route, ``runner`` for changes of one back end.
    """
    control = _Control()
    for number in range(runners):
        control.apply(commands.PutRunner(_runner(number, 4)))
    control.apply(commands.PutTable(_table(1, routes), ""))
    followers = [WatchedState() for _ in range(watchers)]
    sent, control_s, watcher_s = 0, 0.0, 0.0
    for change in range(changes + 1):
        if change and what == "route":
            control.apply(commands.PutTable(_table(1 + change, routes + change), ""))
        elif change:
            control.apply(commands.PutRunner(_runner(change, 5)))
        for follower in followers:
            body = encode(follower.make_request(0))
            envelope = encode_envelope(Envelope(kind=MessageKind.REGISTRY_WATCH, body=body), KEY)
            began_s = time.process_time()
            answer = control.endpoint.dispatch(envelope, "peer")
            ended_s = time.process_time()
            reply: Any = decode_envelope(answer, KEY, "peer")
            received: Any = decode_reply(reply.body, commands.WatchReply)
            assert follower.merge(received)
            if change:
                sent += len(answer)
                control_s += ended_s - began_s
                watcher_s += time.process_time() - ended_s
    return {
        "bytes": sent,
        "control_cpu_s": round(control_s, 3),
        "one_watcher_cpu_s": round(watcher_s / watchers, 4),
    }


def main() -> None:
    """Run one measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--watchers", type=int, default=71)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--runners", type=int, default=300)
    parser.add_argument("--what", choices=("route", "runner"), default="route")
    options = vars(parser.parse_args())
    print(json.dumps({**options, **measure(**options)}))


if __name__ == "__main__":
    main()
