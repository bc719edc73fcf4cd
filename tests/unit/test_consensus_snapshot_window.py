"""A snapshot is sent with several chunks under way, which may be lost, repeated or overtaken.

Guards against a transfer of one chunk a round trip: with 160 MB in chunks of 1 MB, its time grew
with the state, and a second disk that was lost meanwhile cost the group its majority.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

import msgspec
import pytest
from tests.unit.consensus_simulation import Faults, Simulation
from tests.unit.test_consensus_faults import play

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.core_follower import IncomingSnapshot
from leverjunction.consensus.events import Received, RepairDone, Send, StoreChunk
from leverjunction.consensus.messages import Header, Message, SnapshotChunk, SnapshotReply
from leverjunction.consensus.transport import CHUNK_CALLS, LARGE_BYTES, PeerSender
from leverjunction.consensus.types import (
    SNAPSHOT_WINDOW_CHUNKS,
    DurableState,
    GroupConfig,
    LogPosition,
    Role,
)

GROUP_SIZE = 3
COMMANDS = 150
COMMAND_BYTES = 80
ROUND_TRIP_S = 0.005
SLOW_ROUND_TRIP_S = 0.7
MIN_CHUNKS_PER_ROUND_TRIP = 4
LOSSY_S = 60.0
WAIT_S = 10.0
START = LogPosition(term=1, index=9)


class OneChunkCore(RaftCore):
    """Takes one chunk at a time, and begins again at a repeated first one, as earlier builds do."""

    def _receive_chunk(self, message: SnapshotChunk) -> None:
        if message.number == 0:
            self.incoming = IncomingSnapshot(stream_id=message.stream_id)
        incoming = self.incoming
        if incoming is None or incoming.stream_id != message.stream_id:
            self._reply_chunk(message, 0, 0)
            return
        if message.number == incoming.next_number:
            incoming.next_number += 1
            self._emit(StoreChunk(chunk=message))
        if message.final is None or message.number >= incoming.next_number:
            self._reply_chunk(message, incoming.next_number, 0)

    def _send(self, address: str, message: Message) -> None:
        if isinstance(message, SnapshotReply):
            message = msgspec.structs.replace(message, window=1)
        super()._send(address, message)


class Transfer(Simulation):
    """A link with a fixed delay; records when chunks are sent and answered."""

    round_trip_s = ROUND_TRIP_S

    def __init__(self, seed: int, core_type: type[RaftCore] = RaftCore) -> None:
        super().__init__(seed, GROUP_SIZE, core_type)
        self.faults = Faults(drop=0, repeat=0, crash_in_sync=0)
        self.sent_s: list[float] = []
        self.answered_s: list[float] = []
        self.most_under_way = 0
        self.on_chunk: Callable[[str, str], None] = lambda _origin, _to: None

    def _post(self, origin: str, to: str, message: Message) -> None:
        delay_s = ROUND_TRIP_S / 2
        if isinstance(message, SnapshotChunk):
            self.sent_s.append(self.now_s)
            self.on_chunk(origin, to)
            delay_s = self.round_trip_s / 2
        elif isinstance(message, SnapshotReply):
            delay_s = self.round_trip_s / 2
            self.at(delay_s, lambda: self.answered_s.append(self.now_s))
        self.most_under_way = max(self.most_under_way, len(self.sent_s) - len(self.answered_s))
        if self.faults.drop:
            super()._post(origin, to, message)
        else:
            self.at(delay_s, lambda: self._arrive(origin, to, message))

    def _repaired(self, repair: RepairDone) -> None:
        self.unrepaired = ""

    def lose_a_disk(self) -> None:
        """Fill the group, then let a follower come back with an empty disk."""
        self.run(self.now_s + 5.0)
        leader = self.leader()
        for number in range(COMMANDS):
            self.propose(leader, b"k%d=" % number + b"x" * COMMAND_BYTES)
            self.run(self.now_s + 0.02)
        victim = next(address for address in self.addresses if address != leader)
        self.wipe(victim)
        assert self.unrepaired == victim

    def leader(self) -> str:
        engines = {address: node.engine for address, node in self.nodes.items()}
        return next(
            a for a, engine in engines.items() if engine and engine.core.role == Role.LEADER
        )


def test_a_transfer_takes_far_fewer_round_trips_than_it_has_chunks() -> None:
    simulation = Transfer(seed=1)
    simulation.lose_a_disk()
    simulation.heal()
    simulation.check_end()
    chunks = len(simulation.sent_s)
    assert chunks > COMMANDS
    round_trips = (simulation.answered_s[-1] - simulation.sent_s[0]) / ROUND_TRIP_S
    assert chunks / round_trips > MIN_CHUNKS_PER_ROUND_TRIP
    assert simulation.most_under_way <= SNAPSHOT_WINDOW_CHUNKS


def test_an_earlier_build_receives_one_chunk_at_a_time() -> None:
    simulation = Transfer(seed=1, core_type=OneChunkCore)
    simulation.lose_a_disk()
    simulation.heal()
    simulation.check_end()
    assert simulation.most_under_way == 1


def test_chunks_do_not_queue_on_a_slow_link() -> None:
    """Clients need a share of the link, and a chunk that waits for long would be sent again."""
    simulation = Transfer(seed=1)
    simulation.round_trip_s = SLOW_ROUND_TRIP_S
    simulation.lose_a_disk()
    simulation.run(simulation.now_s + 20 * SLOW_ROUND_TRIP_S)
    assert len(simulation.sent_s) > 10
    assert simulation.most_under_way == 1


@pytest.mark.parametrize("seed", range(6))
def test_guarantees_hold_between_builds(seed: int) -> None:
    simulation = Simulation(seed, GROUP_SIZE, OneChunkCore)
    play(simulation)
    assert simulation.acked


@pytest.mark.parametrize("ended", ["receiver", "sender"])
@pytest.mark.parametrize("moment", [1, 2, 9, 40, 100, 170])
def test_a_transfer_begins_again_when_one_side_restarts(moment: int, ended: str) -> None:
    simulation = Transfer(seed=moment)
    strikes: list[str] = []

    def strike(origin: str, to: str) -> None:
        if len(simulation.sent_s) == moment:
            strikes.append(to if ended == "receiver" else origin)
            simulation.at(0.0, lambda: simulation.crash(strikes[0]))
            simulation.at(0.3, lambda: simulation.start(strikes[0]))

    simulation.on_chunk = strike
    simulation.lose_a_disk()
    simulation.faults = Faults(drop=0.05, repeat=0.1, crash_in_sync=0)
    simulation.run(simulation.now_s + LOSSY_S)
    assert strikes
    simulation.heal()
    simulation.check_end()


def chunk(number: int, stream_id: str, final: bool) -> SnapshotChunk:
    header = Header(founding_id="g", from_id="b", from_address="b:1", to_id="a", term=1)
    return SnapshotChunk(
        header=header,
        stream_id=stream_id,
        number=number,
        start=START,
        data=b"%d" % number,
        final=START if final else None,
    )


@pytest.mark.parametrize("seed", range(50))
def test_chunks_are_stored_once_and_in_order_however_they_arrive(seed: int) -> None:
    random = Random(seed)
    total = random.randrange(1, 40)
    config = GroupConfig(group="root", address="a:1", first_members=("a:1", "b:1"))
    core = RaftCore(config, DurableState(replica_id="a"), random, 0.0)
    stored: list[SnapshotChunk] = []
    acknowledged, arrived = 0, set[int]()
    while len(stored) < total:
        # The first chunk is sent alone until it is answered.
        window = SNAPSHOT_WINDOW_CHUNKS if acknowledged else 1
        number = random.randrange(max(0, acknowledged - 3), min(acknowledged + window, total))
        stream = "old" if number > 0 and random.random() < 0.1 else "s"
        effects = core.handle(Received(chunk(number, stream, number == total - 1)), 1.0)
        if stream == "s":
            arrived.add(number)
        stored += [effect.chunk for effect in effects if isinstance(effect, StoreChunk)]
        replies = [effect.message for effect in effects if isinstance(effect, Send)]
        for reply in replies:
            assert isinstance(reply, SnapshotReply) and reply.matched_index == 0
            if reply.stream_id == "s":
                assert set(range(reply.next_number)) <= arrived
                acknowledged = max(acknowledged, reply.next_number)
    assert [item.number for item in stored] == list(range(total))
    assert {item.stream_id for item in stored} == {"s"}


class HeldTransport:
    """Answers no call until several are in progress."""

    def __init__(self) -> None:
        self.all_in_progress = threading.Event()
        self.together = threading.Barrier(CHUNK_CALLS, self.all_in_progress.set)

    def send(self, peer_address: str, group: str, body: bytes) -> None:
        self.together.wait(WAIT_S)


def test_a_chunk_is_sent_while_the_one_before_is_not_answered() -> None:
    transport = HeldTransport()
    sender = PeerSender(transport, "root", "x", lambda _batch: None, lambda _gone: None)
    data = b"x" * LARGE_BYTES
    for number in range(CHUNK_CALLS):
        sender.put(msgspec.structs.replace(chunk(number, "s", final=False), data=data))
    assert transport.all_in_progress.wait(WAIT_S)
    sender.stop()
    sender.join(WAIT_S)
