"""The harm experiment on real processes: the same work, one fresh fleet for each mode.

Shorter than the run in virtual time, and as exact as the machine is quiet: callers, gateways,
control processes and engines share its processors.
"""

from __future__ import annotations

import random
import shutil
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from testbed.engine.types import EngineConfig
from testbed.fleet.caller import Caller, job_line
from testbed.fleet.fleet import Fleet
from testbed.fleet.plan import FleetOptions
from testbed.load.harm.process_callers import OpenLoopCallers
from testbed.load.harm.run import Mode
from testbed.load.harm.scenario import HarmScenario
from testbed.load.latency import LatencySummary
from testbed.load.workload import Arrival, batch_arrivals, online_arrivals
from testbed.scenarios import Scenario, load_scenario

PROCESS_MODES = (Mode.ONLINE_ALONE, Mode.NO_YIELD, Mode.HARVEST)
WITHOUT_YIELD_INTERFERENCE = 10.0
LEAD_S = 1.0
"""Time between the planning of the arrivals and the first of them."""

ENGINE_FIELDS = (
    "base_step_s",
    "per_sequence_s",
    "per_prefill_token_s",
    "max_running",
    "kv_blocks",
)


@dataclass(frozen=True)
class ProcessModeResult:
    """Figures of one mode and seed on real processes."""

    mode: Mode
    seed: int
    first_token: LatencySummary
    inter_token: LatencySummary
    online_finished: int
    online_refused: int
    batch_items_per_s: float


class ProcessHarmRun:
    """One mode on a fleet of real processes."""

    def __init__(self, harm: HarmScenario, mode: Mode, seed: int, span_s: float) -> None:
        self._harm = harm
        self._mode = mode
        self._seed = seed
        self._span_s = span_s
        self._scenario = load_scenario(harm.name)
        self._job_ids: list[str] = []

    def run(self) -> ProcessModeResult:
        """Start the fleet, run the work and return the figures."""
        folder = Path(tempfile.mkdtemp(prefix="leverjunction-harm-"))
        options = FleetOptions(engine_overrides=_engine_fields(self._harm.engine))
        try:
            with Fleet(self._scenario, options, folder) as fleet:
                fleet.apply_settings(self._settings(folder))
                return self._measure(fleet)
        finally:
            shutil.rmtree(folder, ignore_errors=True)

    def _settings(self, folder: Path) -> Path:
        """Write the scenario's tree with this mode's interference; return its folder."""
        tree = folder / "settings"
        shutil.copytree(self._scenario.settings_folder(), tree)
        path = tree / "services.yaml"
        document = yaml.safe_load(path.read_text(encoding="utf8"))
        serving = document["services"][self._scenario.batch_service]["serving"]
        slots = self._harm.engine.max_running
        serving["interference"] = self._harm.interference
        serving["batch_floor"] = self._harm.batch_floor
        serving["batch_max_running"] = slots
        if self._mode is Mode.NO_YIELD:
            serving["interference"] = WITHOUT_YIELD_INTERFERENCE
            serving["batch_floor"] = slots
        path.write_text(yaml.safe_dump(document), encoding="utf8")
        return tree

    def _measure(self, fleet: Fleet) -> ProcessModeResult:
        workload = self._harm.workload
        online = self._until_end(online_arrivals(workload, random.Random(self._seed)))
        batch = self._until_end(batch_arrivals(workload, random.Random(self._seed + 1)))
        urls = fleet.gateway_urls()
        callers = OpenLoopCallers(urls, self._scenario.online_key, _model(self._scenario))
        caller = Caller(urls[0], self._scenario.batch_key)
        start_s = time.monotonic() + LEAD_S
        submitter = threading.Thread(target=self._submit, args=(caller, batch, start_s))
        if self._mode is not Mode.ONLINE_ALONE:
            submitter.start()
        counter = _BatchCounter(caller, self._job_ids, start_s + self._span_s)
        callers.run(online, start_s)
        completed = counter.wait()
        if submitter.ident is not None:
            submitter.join()
        measures = callers.measures
        return ProcessModeResult(
            mode=self._mode,
            seed=self._seed,
            first_token=measures.first_token.summary(),
            inter_token=measures.inter_token.summary(),
            online_finished=measures.finished,
            online_refused=measures.refused,
            batch_items_per_s=completed / self._span_s,
        )

    def _until_end(self, arrivals: list[Arrival]) -> list[Arrival]:
        return [arrival for arrival in arrivals if arrival.at_s < self._span_s]

    def _submit(self, caller: Caller, batch: list[Arrival], start_s: float) -> None:
        """Submit each heap as one job at its time."""
        for at_s in sorted({arrival.at_s for arrival in batch}):
            heap = [arrival for arrival in batch if arrival.at_s == at_s]
            lines = [self._line(arrival) for arrival in heap]
            time.sleep(max(0.0, start_s + at_s - time.monotonic()))
            job = caller.submit_job(lines, idempotency_key=f"heap-{at_s:g}")
            if "id" not in job:
                raise RuntimeError(f"a heap of the experiment was refused: {job}")
            self._job_ids.append(job["id"])

    def _line(self, arrival: Arrival) -> dict[str, object]:
        model = _model(self._scenario)
        return job_line(arrival.request_id, model, arrival.prompt, arrival.output_tokens)


class _BatchCounter:
    """Reads at a fixed time how many items of the jobs are completed."""

    def __init__(self, caller: Caller, job_ids: list[str], due_s: float) -> None:
        self._caller = caller
        self._job_ids = job_ids
        self._completed = 0
        self._thread = threading.Timer(due_s - time.monotonic(), self._read)
        self._thread.start()

    def wait(self) -> int:
        """Return the count once its time has come."""
        self._thread.join()
        return self._completed

    def _read(self) -> None:
        for job_id in list(self._job_ids):
            job = self._caller.job(job_id)
            self._completed += int(job["request_counts"]["completed"])


def _model(scenario: Scenario) -> str:
    return scenario.batch_model()


def _engine_fields(engine: EngineConfig) -> dict[str, float | int]:
    return {name: getattr(engine, name) for name in ENGINE_FIELDS}
