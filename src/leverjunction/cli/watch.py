"""The ``leverjunction watch`` and ``why`` commands: live and past decisions of all gateways."""

from __future__ import annotations

import queue
import threading
import time
from datetime import UTC, datetime

import msgspec

from leverjunction.cli.apply import GatewayVersions
from leverjunction.cli.options import Options
from leverjunction.cli.output import (
    ExitCode,
    print_failure,
    print_json,
    print_json_line,
    print_progress,
)
from leverjunction.cli_client import OperatorClient
from leverjunction.errors import Failure
from leverjunction.observability.decisions import Decision
from leverjunction.wire.codec import decode
from leverjunction.wire.messages import GatewayState

MAX_QUEUED_DECISIONS = 10_000
RELIST_INTERVAL_S = 2.0
_MS_PER_S = 1000


class GatewayDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision with the id of the gateway that made it."""

    gateway: str
    decision: Decision


def live_gateways(client: OperatorClient) -> list[GatewayState] | Failure:
    """Return the gateways that the control processes report as live."""
    status = client.get("/operator/status", GatewayVersions)
    return status if isinstance(status, Failure) else status.gateways


def why(options: Options, request_id: str) -> int:
    """Print the decisions about a request that the gateways still keep, in order of time."""
    client = options.client()
    if isinstance(client, Failure):
        return print_failure(client)
    gateways = live_gateways(client)
    if isinstance(gateways, Failure):
        return print_failure(gateways)
    found: list[GatewayDecision] = []
    failed_count = 0
    for gateway in gateways:
        decisions = _fetch_decisions(options, gateway, request_id)
        if isinstance(decisions, Failure):
            failed_count += 1
            print_failure(decisions)
            continue
        found += [GatewayDecision(gateway=gateway.gateway_id, decision=item) for item in decisions]
    found.sort(key=lambda item: (item.decision.wall_ms, item.gateway, item.decision.sequence))
    if options.as_json:
        print_json(found)
    for item in [] if options.as_json else found:
        print(format_decision(item))
    if found:
        return ExitCode.OK
    print_progress(
        f"no gateway has a decision about {request_id}: gateways keep decisions about refused, "
        "moved and slow requests and a sample of the others, until newer decisions replace them"
    )
    return ExitCode.UNREACHABLE if failed_count else ExitCode.FAILED


def watch(options: Options, request_id: str, service: str) -> int:
    """Stream the decisions of all gateways to stdout until interrupted."""
    client = options.client()
    if isinstance(client, Failure):
        return print_failure(client)
    gateways = live_gateways(client)
    if isinstance(gateways, Failure):
        return print_failure(gateways)
    parameters = {"request": request_id, "service": service}
    watcher = Watcher(options, {key: value for key, value in parameters.items() if value})
    watcher.follow(gateways)
    print_progress(f"watching {len(gateways)} gateways, interrupt to stop")
    threading.Thread(target=watcher.follow_new_gateways, args=(client,), daemon=True).start()
    try:
        while True:
            item = watcher.decisions.get()
            if options.as_json:
                print_json_line(item)
            else:
                print(format_decision(item), flush=True)
    except KeyboardInterrupt:
        return ExitCode.OK


class Watcher:
    """Collects decisions from every live gateway, including those that start or return later.

    Args:
        options: Shared options.
        parameters: Query parameters that filter the decisions.
    """

    def __init__(self, options: Options, parameters: dict[str, str]) -> None:
        self.decisions: queue.Queue[GatewayDecision] = queue.Queue(MAX_QUEUED_DECISIONS)
        self._options = options
        self._parameters = parameters
        self._followed: set[str] = set()
        self._lock = threading.Lock()

    def follow(self, gateways: list[GatewayState]) -> None:
        """Start a thread for each gateway that is not followed yet."""
        for gateway in gateways:
            with self._lock:
                if gateway.address in self._followed:
                    continue
                self._followed.add(gateway.address)
            threading.Thread(target=self._follow, args=(gateway,), daemon=True).start()

    def follow_new_gateways(self, client: OperatorClient) -> None:
        """Poll the list of live gateways and follow new ones; never returns."""
        while True:
            time.sleep(RELIST_INTERVAL_S)
            gateways = live_gateways(client)
            if not isinstance(gateways, Failure):
                self.follow(gateways)

    def _follow(self, gateway: GatewayState) -> None:
        client = self._options.client_for([gateway.address])
        if isinstance(client, Failure):
            print_failure(client)
            return
        for data in client.events("/operator/decisions/stream", self._parameters):
            if isinstance(data, Failure):
                print_failure(data)
                break
            decision = decode(data, Decision, gateway.address)
            if not isinstance(decision, Failure):
                self.decisions.put(GatewayDecision(gateway=gateway.gateway_id, decision=decision))
        print_progress(
            f"{gateway.gateway_id}: decision stream ended, waiting for the gateway to return"
        )
        with self._lock:
            self._followed.discard(gateway.address)


def _fetch_decisions(
    options: Options, gateway: GatewayState, request_id: str
) -> list[Decision] | Failure:
    client = options.client_for([gateway.address])
    if isinstance(client, Failure):
        return client
    return client.get("/operator/decisions", list[Decision], {"request": request_id})


def format_decision(item: GatewayDecision) -> str:
    """Format a decision as one line of text, followed by a line for each candidate."""
    decision = item.decision
    moment = datetime.fromtimestamp(decision.wall_ms / _MS_PER_S, tz=UTC)
    parts = [
        moment.strftime("%H:%M:%S.%f")[:-3],
        item.gateway,
        decision.request_id or "-",
        decision.service or "-",
        f"{decision.step}/{decision.outcome.value}",
    ]
    if decision.attempt:
        parts.append(f"attempt {decision.attempt}")
    if decision.runner_id:
        parts.append(f"runner {decision.runner_id}")
    if decision.waited_ms:
        parts.append(f"after {decision.waited_ms:.0f} ms")
    lines = [" ".join(parts) + f": {decision.reason}"]
    for candidate in decision.candidates:
        note = f" excluded: {candidate.note}" if candidate.note else ""
        lines.append(
            f"    {candidate.runner_id}: score {candidate.score:.3f}, load {candidate.load:.1f}, "
            f"cached blocks {candidate.overlap_blocks}{note}"
        )
    return "\n".join(lines)
