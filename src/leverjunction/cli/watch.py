"""``leverjunction watch`` and ``why``: decisions of all gateways, as they happen or afterwards."""

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

QUEUE_DECISIONS = 10_000
RELIST_S = 2.0
_MS_PER_S = 1000


class SeenDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision and the gateway that made it."""

    gateway: str
    decision: Decision


def live_gateways(client: OperatorClient) -> list[GatewayState] | Failure:
    """Return the gateways that control knows to be live."""
    status = client.get("/operator/status", GatewayVersions)
    return status if isinstance(status, Failure) else status.gateways


def why(options: Options, request_id: str) -> int:
    """Print every kept decision about a request, of all gateways, in order of time."""
    client = options.client()
    if isinstance(client, Failure):
        return print_failure(client)
    gateways = live_gateways(client)
    if isinstance(gateways, Failure):
        return print_failure(gateways)
    found: list[SeenDecision] = []
    unreached = 0
    for gateway in gateways:
        decisions = _decisions_of(options, gateway, request_id)
        if isinstance(decisions, Failure):
            unreached += 1
            print_failure(decisions)
            continue
        found += [SeenDecision(gateway=gateway.gateway_id, decision=item) for item in decisions]
    found.sort(key=lambda item: (item.decision.wall_ms, item.gateway, item.decision.sequence))
    if options.as_json:
        print_json(found)
    for item in [] if options.as_json else found:
        print(describe(item))
    if found:
        return ExitCode.OK
    print_progress(
        f"no gateway keeps a decision about {request_id}: refusals, moves and slow requests are "
        "always kept, of the others a sample, until newer ones take their place"
    )
    return ExitCode.UNREACHABLE if unreached else ExitCode.FAILED


def watch(options: Options, request_id: str, service: str) -> int:
    """Print decisions of all gateways as they happen, until interrupted."""
    client = options.client()
    if isinstance(client, Failure):
        return print_failure(client)
    gateways = live_gateways(client)
    if isinstance(gateways, Failure):
        return print_failure(gateways)
    parameters = {"request": request_id, "service": service}
    watcher = Watcher(options, {key: value for key, value in parameters.items() if value})
    watcher.follow(gateways)
    print_progress(f"watching {len(gateways)} gateways, interrupt to end")
    threading.Thread(target=watcher.follow_new, args=(client,), daemon=True).start()
    try:
        while True:
            item = watcher.arrived.get()
            if options.as_json:
                print_json_line(item)
            else:
                print(describe(item), flush=True)
    except KeyboardInterrupt:
        return ExitCode.OK


class Watcher:
    """Follows the decisions of every live gateway, also of those that start or return later.

    Args:
        options: Shared options.
        parameters: What to ask the gateways for.
    """

    def __init__(self, options: Options, parameters: dict[str, str]) -> None:
        self.arrived: queue.Queue[SeenDecision] = queue.Queue(QUEUE_DECISIONS)
        self._options = options
        self._parameters = parameters
        self._followed: set[str] = set()
        self._lock = threading.Lock()

    def follow(self, gateways: list[GatewayState]) -> None:
        """Follow gateways that are not followed yet, each in a thread."""
        for gateway in gateways:
            with self._lock:
                if gateway.address in self._followed:
                    continue
                self._followed.add(gateway.address)
            threading.Thread(target=self._follow, args=(gateway,), daemon=True).start()

    def follow_new(self, client: OperatorClient) -> None:
        """Look for gateways that have started, for ever."""
        while True:
            time.sleep(RELIST_S)
            gateways = live_gateways(client)
            if not isinstance(gateways, Failure):
                self.follow(gateways)

    def _follow(self, gateway: GatewayState) -> None:
        client = self._options.client_of([gateway.address])
        if isinstance(client, Failure):
            print_failure(client)
            return
        for data in client.events("/operator/decisions/stream", self._parameters):
            if isinstance(data, Failure):
                print_failure(data)
                break
            decision = decode(data, Decision, gateway.address)
            if not isinstance(decision, Failure):
                self.arrived.put(SeenDecision(gateway=gateway.gateway_id, decision=decision))
        print_progress(f"{gateway.gateway_id}: its decisions end, until it is back")
        with self._lock:
            self._followed.discard(gateway.address)


def _decisions_of(
    options: Options, gateway: GatewayState, request_id: str
) -> list[Decision] | Failure:
    client = options.client_of([gateway.address])
    if isinstance(client, Failure):
        return client
    return client.get("/operator/decisions", list[Decision], {"request": request_id})


def describe(item: SeenDecision) -> str:
    """Return a decision as one line of text, with its candidates below."""
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
        note = f" left out: {candidate.note}" if candidate.note else ""
        lines.append(
            f"    {candidate.runner_id}: score {candidate.score:.3f}, load {candidate.load:.1f}, "
            f"cached blocks {candidate.overlap_blocks}{note}"
        )
    return "\n".join(lines)
