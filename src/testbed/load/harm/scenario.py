"""Scenarios of the harm experiment: places, engines, workload and the interference target."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.engine.types import EngineConfig
from testbed.load.workload import BatchHeap, OnlinePhase, RequestShape, Workload


@dataclass(frozen=True)
class HarmScenario:
    """A deployment and its work.

    Attributes:
        name: Name on the command line.
        zones: Its zones.
        runners: Number of runners, spread evenly over the zones.
        gateways_per_zone: Gateways that take callers' requests in each zone.
        in_zone_delay_s: One way between two processes of a zone.
        cross_zone_delay_s: One way between zones.
        interference: Allowed growth of step time by batch.
        batch_floor: Batch requests that a runner keeps while online runs.
        engine: Engine model's speeds and limits.
        workload: Online and batch work.
    """

    name: str
    zones: tuple[str, ...]
    runners: int
    gateways_per_zone: int
    in_zone_delay_s: float
    cross_zone_delay_s: float
    interference: float
    batch_floor: int
    engine: EngineConfig
    workload: Workload


_MODEL_KILIMO = "trace-small"
_MODEL_HANBIT = "doc-convert"

_PER_PREFILL_TOKEN_S = 0.00006
"""Reading prompts at 16,000 tokens/s, a small model on one accelerator."""

_KILIMO = HarmScenario(
    name="kilimo",
    zones=("kariakoo", "msasani", "ubungo"),
    runners=6,
    gateways_per_zone=2,
    in_zone_delay_s=0.0003,
    cross_zone_delay_s=0.001,
    interference=0.02,
    batch_floor=0,
    engine=EngineConfig(models=[_MODEL_KILIMO], per_prefill_token_s=_PER_PREFILL_TOKEN_S),
    workload=Workload(
        name="kilimo",
        model=_MODEL_KILIMO,
        phases=(
            OnlinePhase(10.0, 6.0),
            OnlinePhase(4.0, 0.0),
            OnlinePhase(6.0, 24.0),
            OnlinePhase(3.0, 0.0),
            OnlinePhase(12.0, 3.0),
            OnlinePhase(5.0, 0.0),
            OnlinePhase(10.0, 12.0),
            OnlinePhase(10.0, 1.0),
        ),
        online=RequestShape(300, 1500, 24, 96, shared_prefix=48),
        batch=BatchHeap(10.0, 2000, RequestShape(100, 500, 16, 48, shared_prefix=32)),
    ),
)

_HANBIT = HarmScenario(
    name="hanbit",
    zones=("gangnam", "mapo", "guro"),
    runners=9,
    gateways_per_zone=2,
    in_zone_delay_s=0.0002,
    cross_zone_delay_s=0.0005,
    interference=0.10,
    batch_floor=4,
    engine=EngineConfig(models=[_MODEL_HANBIT], per_prefill_token_s=_PER_PREFILL_TOKEN_S),
    workload=Workload(
        name="hanbit",
        model=_MODEL_HANBIT,
        phases=(
            OnlinePhase(15.0, 4.0),
            OnlinePhase(5.0, 0.0),
            OnlinePhase(10.0, 12.0),
            OnlinePhase(5.0, 0.0),
            OnlinePhase(25.0, 2.0),
        ),
        online=RequestShape(200, 800, 16, 64, shared_prefix=32),
        batch=BatchHeap(10.0, 2000, RequestShape(400, 1500, 48, 160, shared_prefix=48)),
    ),
)

HARM_SCENARIOS = {scenario.name: scenario for scenario in (_KILIMO, _HANBIT)}
