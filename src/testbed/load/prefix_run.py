"""One run of the prefix experiment in virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from leverjunction.backends.types import CacheEvent, CacheEventKind
from leverjunction.gateway.owner import digest_of
from leverjunction.gateway.ownership import owner_of
from leverjunction.gateway.prefix_index import PrefixIndex
from leverjunction.gateway.prompt import block_hashes
from leverjunction.gateway.routing import (
    AffinityPrefix,
    Candidate,
    RouteQuery,
    affinity_prefix,
    choose,
)
from leverjunction.gateway.send_ledger import SendLedger
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState
from testbed.engine.types import CacheEvent as EngineCacheEvent
from testbed.engine.types import Emission, EngineRequest
from testbed.load.harm.batch_feed import report_of
from testbed.load.harm.scenario import HarmScenario
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.load.latency import LatencyRecorder, LatencySummary
from testbed.load.prefix_traffic import Conversation, ConversationShape, draw_conversations
from testbed.simulation.scheduler import Scheduler

LOAD_POLL_S = 0.2
EVENT_POLL_S = 0.05
EXCHANGE_INTERVAL_S = 1.0
RECONNECT_S = 1.0
TAIL_S = 60.0
MS_PER_S = 1000
ONLINE_PRIORITY = 8


class PrefixSource(StrEnum):
    """Where gateways learn which blocks a runner's cache holds."""

    NOTHING = "nothing"
    OWN_SENDS = "own_sends"
    EVENTS = "events"
    TRUTH = "truth"


@dataclass(frozen=True)
class CacheFaults:
    """How late cache events come and which share of them is lost."""

    delay_s: float
    gap_ratio: float


@dataclass(frozen=True)
class RunFigures:
    """Figures of one run; see ``prefix_experiment.VariantFigures``."""

    hit_ratio: float
    believed_wrongly: float
    first_token: LatencySummary
    requests: int
    refused: int


@dataclass
class _Gateway:
    gateway_id: str
    zone: str
    ledger: SendLedger = field(default_factory=SendLedger)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    digests: dict[str, RunnerDigest] = field(default_factory=dict)


@dataclass
class _Measures:
    first_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    prompt_blocks: int = 0
    held_blocks: int = 0
    believed_blocks: int = 0
    wrong_blocks: int = 0
    requests: int = 0
    refused: int = 0


class PrefixRun:
    """Runners, gateways and callers of one seed and variant."""

    def __init__(
        self,
        scenario: HarmScenario,
        shape: ConversationShape,
        seed: int,
        weight: float,
        source: PrefixSource,
        faults: CacheFaults,
    ) -> None:
        self._scenario = scenario
        self._shape = shape
        self._weight = weight
        self._source = source
        self._scheduler = Scheduler()
        self._random = random.Random(seed)
        self._conversations = draw_conversations(shape, random.Random(seed))
        self._measures = _Measures()
        self._gateways = [
            _Gateway(f"{zone}-{number}", zone)
            for zone in scenario.zones
            for number in range(scenario.gateways_per_zone)
        ]
        self._runners = [self._runner(index, seed, faults) for index in range(scenario.runners)]
        self._owners = {runner.runner_id: self._owner(runner) for runner in self._runners}

    def run(self) -> RunFigures:
        """Run all conversations to their end."""
        for conversation in self._conversations:
            _Caller(self, conversation).begin()
        self._poll_loads()
        self._exchange()
        if self._source is PrefixSource.EVENTS:
            for runner in self._runners:
                self._connect(runner)
        self._scheduler.run_until(self._shape.duration_s + TAIL_S)
        measures = self._measures
        return RunFigures(
            hit_ratio=measures.held_blocks / max(1, measures.prompt_blocks),
            believed_wrongly=measures.wrong_blocks / max(1, measures.believed_blocks),
            first_token=measures.first_token.summary(),
            requests=measures.requests,
            refused=measures.refused,
        )

    @property
    def scheduler(self) -> Scheduler:
        """Virtual time of the run."""
        return self._scheduler

    def send(self, caller: _Caller, prompt: str, output_tokens: int, request_id: str) -> None:
        """Route one turn at a gateway drawn at random, and send it to the chosen runner."""
        gateway = self._random.choice(self._gateways)
        blocks = block_hashes(prompt)
        candidates = [self._candidate(runner, gateway, blocks) for runner in self._runners]
        query = RouteQuery(
            zone=gateway.zone,
            prompt_blocks=len(blocks),
            prefix_weight=self._weight,
            region_zones=frozenset(self._scenario.zones),
            affinity=self._affinity(blocks, caller.has_history),
        )
        chosen = choose(candidates, query, self._random).chosen
        self._measures.requests += 1
        if chosen is None:
            self._measures.refused += 1
            return
        runner = next(item for item in self._runners if item.runner_id == chosen.runner_id)
        gateway.ledger.sent(runner.runner_id, request_id, self._now_ms())
        if self._source in (PrefixSource.OWN_SENDS, PrefixSource.EVENTS):
            gateway.prefixes.sent(runner.runner_id, blocks)
        request = EngineRequest(
            request_id=request_id,
            model=self._scenario.workload.model,
            prompt=prompt,
            priority=ONLINE_PRIORITY,
            max_tokens=output_tokens,
            min_tokens=output_tokens,
        )
        answer = _Answer(self, caller, gateway, runner, request_id, self._scheduler.now_s)
        near = gateway.zone == runner.zone
        delay_s = self._scenario.in_zone_delay_s if near else self._scenario.cross_zone_delay_s
        self._scheduler.after(
            delay_s, lambda: self._arrive(runner, request, answer, blocks, chosen.overlap_blocks)
        )

    def _affinity(self, blocks: list[str], continues: bool) -> AffinityPrefix | None:
        if self._source is PrefixSource.TRUTH:
            return None
        return affinity_prefix(blocks, continues=continues, prefix_weight=self._weight)

    def first_token(self, sent_s: float) -> None:
        """Record the first token of an answer."""
        self._measures.first_token.record(self._scheduler.now_s - sent_s)

    def ended(self, gateway: _Gateway, runner: VirtualRunner, request_id: str) -> None:
        """Record the end of a request at its gateway."""
        gateway.ledger.finished(runner.runner_id, request_id, self._now_ms())

    def _arrive(
        self,
        runner: VirtualRunner,
        request: EngineRequest,
        answer: _Answer,
        blocks: list[str],
        believed: int,
    ) -> None:
        held = self._held(runner, blocks)
        measures = self._measures
        measures.prompt_blocks += len(blocks)
        measures.held_blocks += held
        measures.believed_blocks += believed
        measures.wrong_blocks += max(0, believed - held)
        if not runner.submit(request, answer.emitted):
            measures.refused += 1
            self.ended(answer.gateway, runner, request.request_id)

    def _candidate(self, runner: VirtualRunner, gateway: _Gateway, blocks: list[str]) -> Candidate:
        if self._source is PrefixSource.TRUTH:
            overlap = self._held(runner, blocks)
        else:
            overlap = gateway.prefixes.overlap(runner.runner_id, blocks)
        digest = gateway.digests.get(runner.runner_id)
        return Candidate(
            runner_id=runner.runner_id,
            address=runner.runner_id,
            zone=runner.zone,
            load=gateway.ledger.expected_load(runner.runner_id, digest),
            capacity=self._scenario.engine.max_running,
            overlap_blocks=overlap,
        )

    def _held(self, runner: VirtualRunner, blocks: list[str]) -> int:
        """Return how many leading blocks a runner's cache holds in truth."""
        held = set(runner.engine.cache.snapshot(self._scheduler.now_s).blocks)
        return next((index for index, one in enumerate(blocks) if one not in held), len(blocks))

    def _poll_loads(self) -> None:
        for runner in self._runners:
            digest = digest_of(runner.runner_id, report_of(runner.load_report()))
            self._owners[runner.runner_id].digests[runner.runner_id] = digest
        self._scheduler.after(LOAD_POLL_S, self._poll_loads)

    def _exchange(self) -> None:
        """Gateways hear once a second of runners that others own."""
        for runner in self._runners:
            digest = self._owners[runner.runner_id].digests.get(runner.runner_id)
            for gateway in self._gateways:
                if digest is not None:
                    gateway.digests[runner.runner_id] = digest
        self._scheduler.after(EXCHANGE_INTERVAL_S, self._exchange)

    def _connect(self, runner: VirtualRunner) -> None:
        """The owner opens the runner's events, which begin with a snapshot."""
        snapshot = runner.engine.cache.snapshot(self._scheduler.now_s)
        self._owners[runner.runner_id].prefixes.apply(runner.runner_id, _event(snapshot))
        self._follow(runner, snapshot.sequence)

    def _follow(self, runner: VirtualRunner, after: int) -> None:
        """The owner reads the events that can be read by now; a gap makes it connect again."""
        prefixes = self._owners[runner.runner_id].prefixes
        for event in runner.engine.cache_events(after, self._scheduler.now_s):
            after = event.sequence
            if not prefixes.apply(runner.runner_id, _event(event)):
                self._scheduler.after(RECONNECT_S, lambda: self._connect(runner))
                return
        self._scheduler.after(EVENT_POLL_S, lambda: self._follow(runner, after))

    def _now_ms(self) -> int:
        return int(self._scheduler.now_s * MS_PER_S)

    def _runner(self, index: int, seed: int, faults: CacheFaults) -> VirtualRunner:
        zone = self._scenario.zones[index % len(self._scenario.zones)]
        config = msgspec.structs.replace(
            self._scenario.engine,
            cache_event_delay_s=faults.delay_s,
            cache_event_gap_ratio=faults.gap_ratio,
        )
        return VirtualRunner(self._scheduler, f"runner-{index}", zone, config, seed + index)

    def _owner(self, runner: VirtualRunner) -> _Gateway:
        state = RunnerState(
            runner_id=runner.runner_id, address="", zone=runner.zone, service="experiment"
        )
        states = [
            GatewayState(
                gateway_id=item.gateway_id,
                address="",
                rpc_address="",
                zone=item.zone,
                incarnation=1,
            )
            for item in self._gateways
        ]
        owner = owner_of(state, states)
        assert owner is not None
        return next(item for item in self._gateways if item.gateway_id == owner.gateway_id)


class _Caller:
    """One conversation: sends the next turn some time after the answer to the last one."""

    def __init__(self, run: PrefixRun, conversation: Conversation) -> None:
        self._run = run
        self._conversation = conversation
        self._history = conversation.instructions
        self._next_turn = 0

    @property
    def has_history(self) -> bool:
        """Whether an answer was given before."""
        return self._next_turn > 1

    def begin(self) -> None:
        """Schedule the first turn."""
        self._run.scheduler.after(self._conversation.begins_s, self._send)

    def answered(self, text: str) -> None:
        """Take the whole answer to the last turn."""
        self._history = f"{self._history} {text}"
        if self._next_turn < len(self._conversation.turns):
            turn = self._conversation.turns[self._next_turn]
            self._run.scheduler.after(turn.think_s, self._send)

    def _send(self) -> None:
        turn = self._conversation.turns[self._next_turn]
        request_id = f"{self._conversation.conversation_id}.{self._next_turn}"
        self._next_turn += 1
        self._history = f"{self._history} {turn.message}"
        self._run.send(self, self._history, turn.output_tokens, request_id)


@dataclass
class _Answer:
    """An answer on its way: notes its first token and gives its text to the caller."""

    run: PrefixRun
    caller: _Caller
    gateway: _Gateway
    runner: VirtualRunner
    request_id: str
    sent_s: float
    pieces: list[str] = field(default_factory=list)

    def emitted(self, emission: Emission) -> None:
        """Take a token."""
        if not self.pieces:
            self.run.first_token(self.sent_s)
        self.pieces.append(emission.text)
        if emission.finish_reason is not None:
            self.run.ended(self.gateway, self.runner, self.request_id)
            self.caller.answered("".join(self.pieces))


def _event(event: EngineCacheEvent) -> CacheEvent:
    return CacheEvent(
        sequence=event.sequence,
        as_of_ms=event.as_of_ms,
        kind=CacheEventKind(event.kind),
        blocks=event.blocks,
    )
