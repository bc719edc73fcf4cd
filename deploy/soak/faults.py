"""Faults that a soak brings about from outside, by kind.

Each kind belongs to a hand. The hands strike at the same time, each one blow after the other.
"""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

import words
from machines import Machine, Machines
from relay import Relay
from stop_callers import fall_silent
from stop_records import GRACE_S, PlannedStop
from traffic import Traffic

REPAIR_S = 8.0
"""After a lost disk, before the next one: all machines with disks must have been well for so long.
"""

THROUGH_A_COMMIT_S = (1.6, 4.0)
"""Shortest and longest pause that outlasts the time a proposal may take (1.5 s in the stores)."""

LATE_S = 6.0
"""Latest return of a control process after all were killed."""

MOST_AT_ONCE = 3
STORM_CHANGES = (8, 25)
DEADLY_TRIES = (16, 32)
DEADLY_PAUSE_S = (0.1, 0.6)
ENOUGH = 3
"""Ended runners that show a request to be the cause."""

KNOWN_S = 3.0
"""After the last of them: all machines in touch know by then."""

BAD_LOTS = (1, 1, 2, 3)
"""Jobs with bad items that are sent at once."""

REFUSALS = "refusals"
"""Hand of the refusals that are answered twice; a soak that names them has few runners, so that a
refused request comes to the same runner again.
"""

REFUSING_S = (0.5, 2.0)
STOPS = "planned stops"
"""Hand of the planned stops that are judged by what becomes of each request; a soak that names them
has callers that keep their connections.
"""

STOPPED = (1, 1, 2)
"""Gateways that are stopped by one fault."""

STOPS_APART_S = 4.0
"""Longest time from the stop of one gateway to that of another."""

STOPS_BESIDE = 3
"""Most other things that happen beside a stop."""

SILENT_REQUESTS = (1, 12)
SLOWED = (2.0, 8.0)
BURST_CALLERS = (10, 40)
BURST_S = (1.0, 6.0)
AGAIN_S = (0.0, 6.0)
"""Shortest and longest time from a SIGTERM to a second one."""

PAUSED_S = (0.3, 3.0)
BEGINNING_S = (0.0, 1.5)
"""Shortest and longest time from the start of a process to its stop."""

STOPPED_TWICE = 0.3
"""Share of the stops in which the process gets a second SIGTERM."""

STOPPED_IN_START = 0.3
"""Share of the stops after which the process is stopped once more during its start."""

RELEASES = "releases"
"""Hand of the faults around releases; a soak that names one of them has the traffic for it."""

OUT_OF_STEP = frozenset({"gateways out of step", "release beside gateways out of step"})
"""Kinds that need gateways whose connections to other machines go through relays."""

ONLY_NAMED = frozenset(
    {
        "bad items",
        "deadly part",
        "planned stops",
        "refusals answered twice",
        "release",
        "two releases",
        "control silent",
        "two controls killed",
        "gateway killed",
        "all control and gateways killed",
        "release beside strikes",
        "strikes together",
        "gateway killed beside silent control",
        *OUT_OF_STEP,
    }
)
"""Kinds that strike only in a soak that names them, so that seeds strike what they always did."""

PART_TRIES = 70
PART_REFUSALS = 10
"""Refusals for good of the deadly part that show it to be stopped."""

PART_LONGEST_S = 60.0
"""Time after which the prompts end though neither that was seen nor too many ended runners."""

BAD_OF_PARTS = 2
"""One request in so many has the deadly part."""

PART_ENOUGH = 5
PART_PAUSE_S = (0.02, 0.1)
HARMFUL_STATUS = 400

LATE_RUNS = 3
"""Runs after that which are borne."""

MOST_RELEASED = 3
OVERLAP_S = (0.3, 3.0)
"""Shortest and longest time from the starts of a release until those before it drain."""

DRAIN_S = (1.0, 3.0)
SECOND_RELEASE_S = (0.1, 2.0)
"""Shortest and longest time from the start of a release to that of one under way beside it."""

KILLED_FIRST = 0.3
"""Share of the strikes in which a gateway ends before a control process is silent."""

SILENT_S = (4.0, 10.0)
SEPARABLE = 3
"""Gateways that can be cut off from the other machines."""

OUT_OF_STEP_S = (1.0, 3.0, 10.0, 30.0)
BREAKS_S = (0.5, 6.0)
"""Shortest and longest time from a cut until streams break beside it."""

APART_S = 1.2
"""Longest time between two strikes of one fault."""

IN_TOUCH_S = 3.0
"""A machine is in touch if nothing struck it for so long."""

GARBLED = (
    "no bytes of HTTP",
    "no answer",
    "reset",
    "silent",
    "cut body",
    "crossed",
    "unsigned",
    "not run",
    "stream cut in an event",
    "stream that stops",
)
"""Behaviours of a stand-in that no run of an item may take for an answer."""

GARBLED_RUNS = (1, 12)
ENDLESS = ("head without end", "event without end")
"""Behaviours of a stand-in whose bytes never become an answer."""

SLOWDOWNS = (1.5, 4.0)
SLOW_S = (0.3, 2.0)
MOVES: tuple[words.Shares, ...] = (
    {words.SERVICE: 1},
    {words.SIDE_SERVICE: 1},
    {words.SERVICE: 1, words.SIDE_SERVICE: 1},
    {words.SERVICE: 4, words.SIDE_SERVICE: 1},
)


class Disks:
    """Sees to it that no second disk is lost before the first one is repaired."""

    __slots__ = ("_lock", "_lost_s", "_machines", "quiet")

    def __init__(self, machines: Machines) -> None:
        self._machines = machines
        self._lock = threading.Lock()
        self._lost_s: float | None = None
        self.quiet = threading.Event()
        """Set while a repair has to end: machines with disks are left alone."""

    def lose(self, machine: Machine) -> None:
        """Take a machine's disk once no other one is missing; it is killed first."""
        with self._lock:
            self._until_repaired()
            machine.kill()
            machine.wipe()
            self._lost_s = time.monotonic()

    def lose_together(self, machines: list[Machine]) -> None:
        """Take the disks of machines that are killed, as many as may be lost at the same time."""
        with self._lock:
            for machine in machines:
                machine.wipe()
            self._lost_s = time.monotonic()

    def until_repaired(self) -> None:
        """Wait until no disk is missing."""
        with self._lock:
            self._until_repaired()

    def _until_repaired(self) -> None:
        if self._lost_s is None:
            return
        self.quiet.set()
        try:
            while time.monotonic() < self._well_since_s() + REPAIR_S:
                time.sleep(0.1)
        finally:
            self.quiet.clear()

    def _well_since_s(self) -> float:
        assert self._lost_s is not None
        machines = self._machines.with_disks()
        if not all(machine.runs for machine in machines):
            return time.monotonic()
        return max(self._lost_s, *(machine.disturbed_s for machine in machines))


class Scene:
    """What a fault may touch.

    Attributes:
        machines: The deployment's machines.
        traffic: Runners, clients and the operator.
        random: Chooses targets and times.
        disks: Keeps lost disks within the tolerance.
    """

    __slots__ = ("disks", "machines", "random", "traffic")

    def __init__(self, machines: Machines, traffic: Traffic, random: Random, disks: Disks) -> None:
        self.machines = machines
        self.traffic = traffic
        self.random = random
        self.disks = disks

    def any_machines(self) -> list[Machine]:
        """Return one or a few machines that may be struck now."""
        left = self.machines.of("gateway") if self.disks.quiet.is_set() else self.machines.all
        return self.random.sample(left, self.random.randint(1, MOST_AT_ONCE))

    def disturbable(self, role: str) -> list[Machine]:
        """Return all machines of a role, none while a disk is repaired."""
        return [] if self.disks.quiet.is_set() else self.machines.of(role)

    def leading_store(self) -> Machine | None:
        """Return the store that started the latest run of an item."""
        name = self.traffic.backends.latest_store()
        return next((machine for machine in self.machines.all if machine.name == name), None)

    def is_in_touch(self) -> bool:
        """Return whether no machine of the system was struck lately."""
        calm_s = time.monotonic() - IN_TOUCH_S
        return all(item.runs and item.disturbed_s < calm_s for item in self.machines.all)

    def oldest_disks(self) -> list[Machine]:
        """Return as many stores as may lose their disks together: those that lasted longest.

        Of the stores only those count that hold what is to be lost.
        """
        held = [(store, store.disk_bytes()) for store in self.machines.of("store")]
        full = [store for store, size in held if 2 * size >= max(size for _, size in held)]
        oldest = sorted(full, key=lambda store: store.disk_since_s)
        return oldest[: self.machines.losses]

    def any_runner(self) -> int:
        """Return the number of a runner."""
        return self.random.randrange(len(self.traffic.backends.now))

    def any_relay(self) -> Relay:
        """Return the relay of a runner."""
        return self.traffic.backends.now[self.any_runner()].relay

    def last(self, shortest_s: float, longest_s: float) -> None:
        """Let a fault last."""
        time.sleep(self.random.uniform(shortest_s, longest_s))

    def start_late(self, machines: list[Machine], longest_s: float) -> None:
        """Start machines again one after the other, in any order."""
        order = list(machines)
        self.random.shuffle(order)
        waits_s = sorted(self.random.uniform(0.0, longest_s) for _ in order)
        began_s = time.monotonic()
        for machine, wait_s in zip(order, waits_s, strict=True):
            time.sleep(max(0.0, began_s + wait_s - time.monotonic()))
            machine.start()


class Fault:
    """One kind.

    Attributes:
        strike: Brings it about and mends it.
        hand: Who does it.
    """

    __slots__ = ("hand", "strike")

    def __init__(self, strike: Callable[[Scene], None], hand: str) -> None:
        self.strike = strike
        self.hand = hand


FAULTS: dict[str, Fault] = {}
Strike = Callable[[Scene], None]


def _fault(hand: str) -> Callable[[Strike], Strike]:
    def register(strike: Strike) -> Strike:
        FAULTS[strike.__name__.strip("_").replace("_", " ")] = Fault(strike, hand)
        return strike

    return register


@_fault("few machines")
def _process_killed(scene: Scene) -> None:
    machines = scene.any_machines()
    for machine in machines:
        machine.kill()
    scene.last(0.0, 2.0)
    scene.start_late(machines, 0.5)


@_fault("few machines")
def _process_paused(scene: Scene) -> None:
    machines = scene.any_machines()
    for machine in machines:
        machine.pause()
    scene.last(0.3, 4.0)
    for machine in machines:
        machine.go_on()


@_fault("few machines")
def _planned_stop(scene: Scene) -> None:
    machine = scene.any_machines()[0]
    machine.stop()
    scene.last(0.0, 1.0)
    machine.start()


@_fault("all machines")
def _all_processes_killed(scene: Scene) -> None:
    machines = scene.machines.of("gateway")
    machines += scene.disturbable("store") + scene.disturbable("control")
    for machine in machines:
        machine.kill()
    scene.last(0.0, 1.0)
    scene.start_late(machines, 1.0)


@_fault("all machines")
def _all_control_killed(scene: Scene) -> None:
    machines = scene.disturbable("control")
    for machine in machines:
        machine.kill()
    scene.start_late(machines, LATE_S)


@_fault("all machines")
def _all_stores_killed(scene: Scene) -> None:
    machines = scene.disturbable("store")
    for machine in machines:
        machine.kill()
    scene.start_late(machines, 2.0)


@_fault("all machines")
def _disk_lost(scene: Scene) -> None:
    machine = scene.random.choice(scene.machines.with_disks())
    scene.disks.lose(machine)
    scene.last(0.0, 1.0)
    machine.start()


@_fault("stores")
def _leader_paused_through_a_commit(scene: Scene) -> None:
    leader = scene.leading_store()
    if leader is None or scene.disks.quiet.is_set():
        return
    leader.pause()
    scene.last(*THROUGH_A_COMMIT_S)
    leader.go_on()


@_fault("stores")
def _followers_paused_through_a_commit(scene: Scene) -> None:
    leader = scene.leading_store()
    followers = [item for item in scene.disturbable("store") if item is not leader]
    if leader is None:
        return
    for machine in followers:
        machine.pause()
    scene.last(*THROUGH_A_COMMIT_S)
    for machine in followers:
        machine.go_on()


@_fault("stores")
def _leader_killed(scene: Scene) -> None:
    leader = scene.leading_store()
    if leader is None or scene.disks.quiet.is_set():
        return
    leader.kill()
    scene.last(0.0, 4.0)
    leader.start()


@_fault("runners")
def _runner_replaced(scene: Scene) -> None:
    scene.traffic.backends.replace(scene.any_runner())


@_fault("runners")
def _runner_leaves(scene: Scene) -> None:
    scene.traffic.backends.leave(scene.any_runner(), scene.random.uniform(0.5, 4.0))


@_fault("runners")
def _runner_hangs(scene: Scene) -> None:
    relay = scene.any_relay()
    relay.held = True
    scene.last(0.5, 6.0)
    relay.heal()


@_fault("runners")
def _answers_lost(scene: Scene) -> None:
    scene.any_relay().lose_answers()


@_fault("runners")
def _runner_garbles(scene: Scene) -> None:
    runner = scene.traffic.backends.now[scene.any_runner()]
    garbled = scene.random.choices(GARBLED, k=scene.random.randint(*GARBLED_RUNS))
    runner.stand_in.then_below(words.BATCH_FOLDER, *garbled)


@_fault(REFUSALS)
def _refusals_answered_twice(scene: Scene) -> None:
    scene.traffic.backends.refuse(scene.random, scene.random.uniform(*REFUSING_S))


@_fault("runners")
def _connections_reset(scene: Scene) -> None:
    for runner in scene.traffic.backends.now:
        runner.relay.reset()


@_fault("runners")
def _connections_delayed(scene: Scene) -> None:
    relay = scene.any_relay()
    relay.delay_s = scene.random.uniform(0.05, 1.0)
    scene.last(0.5, 3.0)
    relay.heal()


@_fault("runners")
def _connections_silent(scene: Scene) -> None:
    relay = scene.any_relay()
    relay.silent_to = relay.silent_from = True
    scene.last(0.5, 3.0)
    relay.heal()
    relay.reset()


@_fault("runners")
def _connections_cut_one_way(scene: Scene) -> None:
    relay = scene.any_relay()
    relay.silent_from = True
    scene.last(0.5, 3.0)
    relay.heal()
    relay.reset()


@_fault("uneven runners")
def _runner_slow(scene: Scene) -> None:
    stand_in = scene.traffic.backends.now[scene.any_runner()].stand_in
    stand_in.slowdown = stand_in.told_slowdown = scene.random.uniform(*SLOWDOWNS)
    scene.last(*SLOW_S)
    stand_in.slowdown = stand_in.told_slowdown = 1.0


@_fault("uneven runners")
def _runner_slow_untold(scene: Scene) -> None:
    stand_in = scene.traffic.backends.now[scene.any_runner()].stand_in
    stand_in.slowdown, stand_in.told_slowdown = scene.random.uniform(*SLOWDOWNS), 1.0
    scene.last(*SLOW_S)
    stand_in.slowdown = 1.0


@_fault("uneven runners")
def _runner_tells_slow(scene: Scene) -> None:
    stand_in = scene.traffic.backends.now[scene.any_runner()].stand_in
    stand_in.told_slowdown = scene.random.uniform(*SLOWDOWNS)
    scene.last(*SLOW_S)
    stand_in.told_slowdown = 1.0


@_fault("uneven runners")
def _answers_without_end(scene: Scene) -> None:
    runner = scene.traffic.backends.now[scene.any_runner()]
    runner.stand_in.then_below(words.BATCH_FOLDER, scene.random.choice(ENDLESS))


@_fault("starts")
def _runner_reborn(scene: Scene) -> None:
    scene.traffic.backends.reborn(scene.any_runner(), scene.random.uniform(0.3, 3.0))


@_fault("deadly requests")
def _deadly_request(scene: Scene) -> None:
    """A caller sends one request again and again that ends each runner which begins it."""
    body = words.DEADLY + f"{scene.random.getrandbits(48):012x}".encode()
    kind = scene.random.choice(("once", "repeatable", "stream"))
    late = 0
    for _ in range(scene.random.randint(*DEADLY_TRIES)):
        began = scene.traffic.backends.deadly(body)
        known = len(began) >= ENOUGH and time.monotonic() - began[ENOUGH - 1] > KNOWN_S
        in_touch = scene.is_in_touch()
        scene.traffic.ask_deadly(kind, body, scene.random)
        if known and in_touch and scene.is_in_touch():
            late += len(scene.traffic.backends.deadly(body)) - len(began)
        scene.last(*DEADLY_PAUSE_S)
    if late > LATE_RUNS:
        scene.traffic.note_broken(
            f"a request ended {late} runners more, {KNOWN_S:.0f} s after it had ended {ENOUGH}"
        )


@_fault("deadly part")
def _deadly_part(scene: Scene) -> None:
    """Callers send prompts, no two alike, of which one part ends each runner that begins one.

    Others share the first part with them, and their caller. A prompt for which no runner is free
    shows nothing, so that they go on until enough have reached a runner or were refused for good.
    """
    first, bad = (f"{scene.random.getrandbits(32):08x}" for _ in range(2))
    body = words.DEADLY + bad.encode()
    kind = scene.random.choice(("once", "repeatable", "stream"))
    late = refusals = 0
    longest_s = time.monotonic() + PART_LONGEST_S
    for number in count():
        is_judged = late > LATE_RUNS or refusals >= PART_REFUSALS
        if number >= PART_TRIES and (is_judged or time.monotonic() > longest_s):
            break
        is_bad = number % BAD_OF_PARTS == 0
        began = scene.traffic.backends.deadly(body)
        known = len(began) >= PART_ENOUGH and time.monotonic() - began[PART_ENOUGH - 1] > KNOWN_S
        in_touch = scene.is_in_touch()
        middle = bad if is_bad else f"c{number % 5}"
        sent = body + b" %d" % number if is_bad else b"ask"
        parts = f"{first}:100,{middle}:50,{number:x}:10"
        status = scene.traffic.ask_with_parts(kind, sent, parts, scene.random)
        if is_bad and known and in_touch and scene.is_in_touch():
            late += len(scene.traffic.backends.deadly(body)) - len(began)
        refusals += is_bad and status == HARMFUL_STATUS
        if not is_bad and status == HARMFUL_STATUS:
            scene.traffic.note_broken(f"a sound request beside part {bad} was refused for good")
        scene.last(*PART_PAUSE_S)
    if late > LATE_RUNS:
        scene.traffic.note_broken(
            f"a part ended {late} runners more, {KNOWN_S:.0f} s after it had ended {PART_ENOUGH}"
        )


@_fault("bad items")
def _bad_items(scene: Scene) -> None:
    """Clients send batch jobs of which one in ten items ends each runner that begins it."""
    randoms = [Random(scene.random.getrandbits(48)) for _ in range(scene.random.choice(BAD_LOTS))]
    senders = [
        threading.Thread(target=scene.traffic.lots.send_deadly, args=(random,), daemon=True)
        for random in randoms
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()


@_fault("configuration")
def _batch_route_moved(scene: Scene) -> None:
    scene.traffic.operator.move(dict(scene.random.choice(MOVES)))


@_fault("configuration")
def _batch_route_taken_away(scene: Scene) -> None:
    before = scene.traffic.operator.shares or MOVES[2]
    scene.traffic.operator.move({})
    scene.last(0.5, 3.0)
    scene.traffic.operator.move(dict(before))


@_fault("configuration")
def _configuration_storm(scene: Scene) -> None:
    scene.traffic.operator.storm(scene.random.randint(*STORM_CHANGES))


@_fault(RELEASES)
def _release(scene: Scene) -> None:
    """Start runners of a further version, and have as many of those before leave."""
    pool = [
        number
        for number, runner in enumerate(scene.traffic.backends.now)
        if runner.service == words.SERVICE
    ]
    numbers = scene.random.sample(pool, scene.random.randint(1, MOST_RELEASED))
    overlap_s, drain_s = scene.random.uniform(*OVERLAP_S), scene.random.uniform(*DRAIN_S)
    scene.traffic.backends.release(numbers, overlap_s, drain_s)


@_fault(RELEASES)
def _two_releases(scene: Scene) -> None:
    _strike_apart(scene, [(_release, 0.0), (_release, scene.random.uniform(*SECOND_RELEASE_S))])


@_fault(RELEASES)
def _control_silent(scene: Scene) -> None:
    """Have one control process stand still: its connections stay open, and nothing answers."""
    machine = scene.random.choice(scene.machines.of("control"))
    machine.pause()
    scene.last(*SILENT_S)
    machine.go_on()


@_fault(RELEASES)
def _two_controls_killed(scene: Scene) -> None:
    machines = scene.random.sample(scene.machines.of("control"), 2)
    for machine in machines:
        machine.kill()
    scene.last(0.5, 3.0)
    scene.start_late(machines, 0.5)


@_fault(RELEASES)
def _gateway_killed(scene: Scene) -> None:
    machine = scene.random.choice(scene.machines.of("gateway"))
    machine.kill()
    scene.last(0.5, 3.0)
    machine.start()


@_fault(RELEASES)
def _all_control_and_gateways_killed(scene: Scene) -> None:
    machines = scene.machines.of("control") + scene.machines.of("gateway")
    for machine in machines:
        machine.kill()
    scene.last(0.0, 0.5)
    scene.start_late(machines, 0.5)


STRIKES = (
    _control_silent,
    _two_controls_killed,
    _gateway_killed,
    _all_control_and_gateways_killed,
    _connections_reset,
)
"""What strikes beside a release or beside another of these."""


@_fault(RELEASES)
def _release_beside_strikes(scene: Scene) -> None:
    """Release in the same moment as other strikes, or shortly before or after them."""
    strikes = scene.random.sample(STRIKES, scene.random.randint(1, 3))
    _strike_apart(scene, [(strike, _apart_s(scene)) for strike in [_release, *strikes]])


@_fault(RELEASES)
def _strikes_together(scene: Scene) -> None:
    strikes = scene.random.sample(STRIKES, scene.random.randint(2, 3))
    _strike_apart(scene, [(strike, _apart_s(scene)) for strike in strikes])


@_fault(RELEASES)
def _gateway_killed_beside_silent_control(scene: Scene) -> None:
    """Kill a gateway while a control process is silent, or just before."""
    strikes = [(_control_silent, 0.0), (_gateway_killed, _apart_s(scene))]
    if scene.random.random() < KILLED_FIRST:
        strikes = [(_control_silent, _apart_s(scene)), (_gateway_killed, 0.0)]
    _strike_apart(scene, strikes)


@_fault(RELEASES)
def _gateways_out_of_step(scene: Scene) -> None:
    """Cut one or a few gateways off from the other machines, or have them stand still."""
    left = scene.machines.separable()
    for_s = scene.random.choice(OUT_OF_STEP_S)
    struck = scene.random.sample(left, scene.random.randint(1, len(left)))
    for machine in struck:
        way = scene.random.choice(("held", "lost", "stands still"))
        if way == "stands still":
            machine.pause()
        else:
            machine.cut_off(is_held=way == "held")
    time.sleep(for_s)
    for machine in struck:
        machine.go_on()
        machine.join()


@_fault(RELEASES)
def _release_beside_gateways_out_of_step(scene: Scene) -> None:
    """Release while gateways are out of step, and break streams meanwhile or right after."""
    breaks = [
        (
            scene.random.choice((_connections_reset, _gateway_killed)),
            scene.random.uniform(*BREAKS_S),
        )
        for _ in range(scene.random.randint(2, 4))
    ]
    _strike_apart(scene, [(_gateways_out_of_step, 0.0), (_release, _apart_s(scene)), *breaks])


@_fault(STOPS)
def _planned_stops(scene: Scene) -> None:
    """Stop one or two gateways, the one after the other or overlapping, beside other things."""
    gateways = scene.random.sample(scene.machines.of("gateway"), scene.random.choice(STOPPED))
    others = [machine for machine in scene.machines.all if machine not in gateways]
    beside = scene.random.sample(BESIDE_STOPS, scene.random.randint(0, STOPS_BESIDE))
    works = [partial(act, _own_scene(scene), gateways, others) for act in beside]
    works += [partial(_stop_and_start, _own_scene(scene), machine) for machine in gateways]
    kinds = [act.__name__.strip("_").replace("_", " ") for act in beside]
    began_s = time.time()
    threads = [threading.Thread(target=work, daemon=True) for work in works]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for kind in (*kinds, *(f"stop of {machine.name}" for machine in gateways)):
        scene.traffic.note_strike(kind, began_s)


def _stop_and_start(scene: Scene, machine: Machine) -> None:
    scene.last(0.0, STOPS_APART_S)
    _stop(scene, machine)
    scene.last(0.0, 1.0)
    machine.start()
    if scene.random.random() < STOPPED_IN_START:
        scene.last(*BEGINNING_S)
        _stop(scene, machine)
        machine.start()


def _stop(scene: Scene, machine: Machine) -> None:
    has_started = machine.answers()
    if not machine.process_id:
        return
    again = threading.Timer(scene.random.uniform(*AGAIN_S), machine.signal, (signal.SIGTERM,))
    if scene.random.random() < STOPPED_TWICE:
        again.start()
    at_s = time.monotonic()
    status = machine.stop(GRACE_S)
    again.cancel()
    scene.traffic.note_stop(PlannedStop(machine.name, at_s, time.monotonic(), status, has_started))


def _silent_runner(scene: Scene, _gateways: list[Machine], _others: list[Machine]) -> None:
    scene.last(0.0, STOPS_APART_S)
    stand_in = scene.traffic.backends.now[scene.any_runner()].stand_in
    fall_silent(stand_in, scene.random.randint(*SILENT_REQUESTS))


def _slow_runner(scene: Scene, _gateways: list[Machine], _others: list[Machine]) -> None:
    stand_in = scene.traffic.backends.now[scene.any_runner()].stand_in
    stand_in.slowdown = scene.random.uniform(*SLOWED)
    stand_in.told_slowdown = scene.random.choice((1.0, stand_in.slowdown))
    scene.last(GRACE_S / 2, GRACE_S)
    stand_in.slowdown = stand_in.told_slowdown = 1.0


def _burst(scene: Scene, _gateways: list[Machine], _others: list[Machine]) -> None:
    scene.last(0.0, STOPS_APART_S)
    ending = threading.Event()
    timer = threading.Timer(scene.random.uniform(*BURST_S), ending.set)
    timer.start()
    scene.traffic.burst(scene.random, scene.random.randint(*BURST_CALLERS), ending)


def _change_and_hangup(scene: Scene, gateways: list[Machine], _others: list[Machine]) -> None:
    scene.last(0.0, STOPS_APART_S)
    scene.traffic.operator.storm(scene.random.randint(*STORM_CHANGES))
    for machine in gateways:
        scene.last(0.0, 0.5)
        machine.signal(signal.SIGHUP)


def _other_paused(scene: Scene, _gateways: list[Machine], others: list[Machine]) -> None:
    scene.last(0.0, STOPS_APART_S)
    machine = scene.random.choice(others)
    machine.pause()
    scene.last(*PAUSED_S)
    machine.go_on()


BESIDE_STOPS = (
    _silent_runner,
    _slow_runner,
    _burst,
    _change_and_hangup,
    _other_paused,
)


def _own_scene(scene: Scene) -> Scene:
    random = Random(scene.random.getrandbits(48))
    return Scene(scene.machines, scene.traffic, random, scene.disks)


def _apart_s(scene: Scene) -> float:
    return scene.random.choice((0.0, scene.random.uniform(0.0, APART_S)))


def _strike_apart(scene: Scene, strikes: list[tuple[Strike, float]]) -> None:
    """Bring about several faults, each after a time in seconds; return when all are over."""

    def run(strike: Strike, own: Scene, after_s: float) -> None:
        time.sleep(after_s)
        began_s = time.time()
        strike(own)
        kind = next(name for name, fault in FAULTS.items() if fault.strike is strike)
        scene.traffic.note_strike(kind, began_s)

    threads = []
    for strike, after_s in strikes:
        own = Scene(
            scene.machines, scene.traffic, Random(scene.random.getrandbits(48)), scene.disks
        )
        threads.append(threading.Thread(target=run, args=(strike, own, after_s), daemon=True))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
