"""Cost of one exchange in a hub, and the size of its reply, by gateways and by runners."""

from __future__ import annotations

import random as random_module
import time
from functools import partial

import msgspec

from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.clock import SystemClock
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.messages import HubState, HubSync, RunnerReading
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Failure
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import decode, encode, encode_reply
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    RunnerDigest,
    RunnerState,
    SettingRow,
)
from testbed.scale.slope_report import Slope, processor_s, slope
from testbed.scale.slopes import Point
from testbed.scale.slopes_view import digests, gateway_states, runner_states

GATEWAYS = (22, 85, 170, 340)
RUNNERS = (80, 300, 600, 1200)
ROUNDS = 3
DIGESTS_OF_A_GATEWAY = 4
MS = 1e3
US = 1e6
SOME_MS = 1_796_194_325_123


class HubUnderLoad:
    """A hub with gateways and runners, all of whose readings change between two rounds."""

    def __init__(self, gateways: int, runners: int, own_gateways: int) -> None:
        self.runners = runner_states(runners)
        self.gateways = gateway_states(gateways)
        self.own = self.gateways[:own_gateways]
        self._random = random_module.Random(1)
        self._latest: dict[str, ExchangeReply] = {}
        self.reply_bytes = 0
        self.digests_sent = 0
        identity = HubIdentity(
            name="control-0",
            rpc_address="10.0.0.1:9000",
            zone="zone-00",
            incarnation=SOME_MS,
            peers={"control-0": "10.0.0.1:9000", "control-1": "10.0.0.2:9000"},
            zones={"control-0": "zone-00", "control-1": "zone-01"},
            job_groups=2,
        )
        mirror = SettingsMirror(_one_setting)
        mirror.refresh()
        self.hub = Hub(identity, mirror, SystemClock(), lambda: 0.01)
        self.hub.update_machine_list(
            MachineList(as_of_ms=SOME_MS, machines=_machines(self.runners))
        )
        self._hear_other_hub()
        self.hub.update_readings([_reading(runner) for runner in self.runners], [])

    def change_readings(self) -> None:
        """Let every runner's load change, as the other hub tells it."""
        changed = [
            msgspec.structs.replace(
                digest, running=self._random.randrange(64), as_of_ms=time.time_ns() // 1_000_000
            )
            for digest in digests(self.runners)
        ]
        self._tell(HubSyncParts(digests=changed))

    def round(self) -> None:
        """Do one exchange of each gateway of this hub, with encoding and decoding."""
        self.reply_bytes = 0
        self.digests_sent = 0
        for index, gateway in enumerate(self.own):
            body = encode(self._request(index, gateway))
            request = decode(body, ExchangeRequest)
            assert isinstance(request, ExchangeRequest)
            reply = self.hub.exchange(request)
            assert not isinstance(reply, Failure), reply
            self.reply_bytes += len(encode_reply(reply))
            self.digests_sent += len(reply.digests)
            self._latest[gateway.gateway_id] = reply

    def _request(self, index: int, gateway: GatewayState) -> ExchangeRequest:
        last = self._latest.get(gateway.gateway_id)
        first = index * DIGESTS_OF_A_GATEWAY % max(1, len(self.runners) - DIGESTS_OF_A_GATEWAY)
        owned = self.runners[first : first + DIGESTS_OF_A_GATEWAY]
        return ExchangeRequest(
            gateway=gateway,
            settings_version=1,
            view_version=last.view_version if last else 0,
            hub_incarnation=last.hub_incarnation if last else 0,
            digests=digests(owned) if last else [],
        )

    def _hear_other_hub(self) -> None:
        others = self.gateways[len(self.own) :]
        self._tell(HubSyncParts(gateways=others, digests=digests(self.runners)))

    def _tell(self, parts: HubSyncParts) -> None:
        self._told = getattr(self, "_told", 0) + 1
        self.hub.handle_sync(
            HubSync(
                hub=HubState(
                    name="control-1", rpc_address="10.0.0.2:9000", zone="zone-01", incarnation=7
                ),
                from_version=self._told - 1,
                to_version=self._told,
                full=self._told == 1,
                gateways=parts.gateways,
                gone_gateways=[],
                readings=[],
                gone_readings=[],
                digests=parts.digests,
            )
        )


class HubSyncParts(msgspec.Struct, frozen=True, kw_only=True):
    """What the other hub tells."""

    gateways: list[GatewayState] = []
    digests: list[RunnerDigest] = []


def measure() -> list[Slope]:
    """Return the slopes of the exchange."""
    by_gateways: list[Point] = []
    for count in GATEWAYS:
        cost_us, _, _ = _measured(HubUnderLoad(count, 1200, min(count, 22)))
        by_gateways.append(Point(count, cost_us))
    by_runners: list[Point] = []
    reply_bytes: list[Point] = []
    sent: list[Point] = []
    sync: list[Point] = []
    for count in RUNNERS:
        load = HubUnderLoad(340, count, 22)
        cost_us, size, count_sent = _measured(load)
        by_runners.append(Point(count, cost_us))
        reply_bytes.append(Point(count, size))
        sent.append(Point(count, count_sent))
        sync.append(Point(count, processor_s(load.change_readings) * MS))
    return [
        slope("exchange: hub's work, 1,200 runners all changing", "us", "gateway", by_gateways),
        slope(
            "exchange: hub's work, 340 gateways, runners all changing", "us", "runner", by_runners
        ),
        slope("exchange: reply body, 340 gateways", "B", "runner", reply_bytes),
        slope("exchange: digests in a reply", "digest", "runner", sent),
        slope("exchange: hub takes in all readings of another hub", "ms", "runner", sync),
    ]


def _measured(load: HubUnderLoad) -> tuple[float, float, float]:
    """Return processor microseconds, reply bytes and digests of one exchange."""
    load.round()
    costs = []
    for _ in range(ROUNDS):
        load.change_readings()
        costs.append(processor_s(partial(load.round), repeats=1))
    count = len(load.own)
    return min(costs) * US / count, load.reply_bytes / count, load.digests_sent / count


def _one_setting(query: GetSettings) -> SettingsDelta | Failure:
    return SettingsDelta(version=1, rows=[SettingRow(path="a/b", value=1, version=1)])


def _machines(runners: list[RunnerState]) -> list[Machine]:
    return [
        Machine(
            id=one.runner_id,
            address=one.address,
            zone=one.zone,
            service=one.service,
            state=MachineState.LIVE,
            incarnation=1,
        )
        for one in runners
    ]


def _reading(runner: RunnerState) -> RunnerReading:
    return RunnerReading(runner_id=runner.runner_id, reachable=True, models=list(runner.models))
