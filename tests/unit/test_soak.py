"""The fault soak: its checks find each broken promise, and it runs the real programs."""

from __future__ import annotations

import asyncio
import importlib
import importlib.util
import logging
import re
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from types import ModuleType, SimpleNamespace

import pytest

from testbed.routed import RawCaller

pytestmark = pytest.mark.fleet

SOAK = Path(__file__).parent.parent.parent / "deploy" / "soak"
WHOLE = "whole text"
STREAM = b"".join(b"id: %d\ndata: e\n\n" % number for number in range(1, 6))


sys.path.append(str(SOAK))


def load(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(f"soak_{name}", SOAK / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


records = load("records")
relays = load("relay")
own_faults = load("own_faults")
nets = load("nets")
links = load("links")
resuming = load("resuming")
calm = load("calm")
disks = load("disks")
faults = load("faults")
stop_records = importlib.import_module("stop_records")


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(SOAK), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=200)


@pytest.mark.parametrize(
    ("kind", "status", "complete", "body", "runs", "broken"),
    [
        ("once", 200, True, b"answer to /x", 1, 0),
        ("once", 0, False, b"", 2, 1),
        ("repeatable", 200, True, b"answer to /x", 2, 0),
        ("once", 503, True, b"", 1, 1),
        ("once", 504, True, b"", 1, 0),
        ("once", 503, True, b"", 0, 0),
        ("repeatable", 503, True, b"", 1, 0),
        ("once", 200, True, b"answer to /y", 1, 1),
        ("stream", 200, True, STREAM, 1, 0),
        ("stream", 200, True, STREAM[:-5], 1, 1),
        ("stream", 200, False, STREAM[:-5], 1, 0),
    ],
)
def test_what_a_request_may_come_to(
    kind: str, status: int, complete: bool, body: bytes, runs: int, broken: int
) -> None:
    seen = records.Records()
    seen.answered(records.OnlineRecord("r", kind, "/x", status, complete, body))
    assert len(records.broken_promises(seen, Counter({"r": runs}), WHOLE)) == broken


@pytest.mark.parametrize(
    ("pages", "broken"),
    [
        ([(0, ["a", "b"])], 0),
        ([(0, ["a"]), (1, ["b"]), (0, ["a", "b"])], 0),
        ([(0, ["a"])], 1),
        ([(0, ["a", "a"])], 1),
        ([(0, ["a", "b"]), (0, ["b", "a"])], 1),
    ],
    ids=["all at once", "page by page", "one is missing", "one stands twice", "positions changed"],
)
def test_what_an_accepted_job_may_come_to(pages: list[tuple[int, list[str]]], broken: int) -> None:
    seen = records.Records()
    lot = records.LotRecord("l", 2)
    lot.accepted = True
    for first, items in pages:
        lot.read(first, [(item, "done", WHOLE) for item in items])
    seen.lots.append(lot)
    assert len(records.broken_promises(seen, Counter(), WHOLE)) == broken


@pytest.mark.parametrize(
    ("tries", "broken"),
    [
        (["1 v1,2 v1", "3 v1"], 0),
        (["1 v1,2 v1", "3 v1.1"], 1),
        (["1 v1,2 v1.1"], 1),
        (["1 v1", "3 v1"], 1),
        (["1 v1,2 v1", "2 v1"], 1),
    ],
    ids=["one version", "another gateway", "one answer", "one is missing", "one twice"],
)
def test_what_a_stream_that_is_taken_up_again_may_hold(tries: list[str], broken: int) -> None:
    seen = records.Records()
    stream = records.StreamRecord("s")
    for events in tries:
        parts = [item.split() for item in events.split(",")]
        body = "".join(f"id: {number}\ndata: event {number} {text}\n\n" for number, text in parts)
        stream.took(200, body.encode(), 3)
    seen.streamed(stream)
    assert len(records.broken_promises(seen, Counter(), WHOLE)) == broken


STRUCK_S = 1_000.0


def resumed_streams(went_on: int, resumed: int, new: int) -> records.Records:
    """Return what callers saw of streams that broke off at a strike, and of later new ones."""
    seen = records.Records()
    seen.began_s = STRUCK_S - 10.0
    seen.blow("gateway killed", STRUCK_S, STRUCK_S + 1.0)
    for number in range(resumed):
        stream = records.StreamRecord(f"s{number}")
        stream.events = [(1, "v1")]
        stream.tries = [
            records.StreamTry(STRUCK_S - 2.0, STRUCK_S - 1.9, 1, counts=True),
            records.StreamTry(STRUCK_S + 0.1, STRUCK_S + 0.6, 0, counts=True),
            records.StreamTry(STRUCK_S + 0.7, STRUCK_S + 0.9, int(number < went_on), counts=True),
        ]
        seen.streamed(stream)
    for number in range(new):
        stream = records.StreamRecord(f"n{number}")
        stream.events = [(1, "v1")]
        stream.tries = [records.StreamTry(STRUCK_S + 1.0, STRUCK_S + 1.1, 1, counts=True)]
        seen.streamed(stream)
    return seen


def served(count: int, end_s: float | None = None) -> list[object]:
    return [resuming.Service("v1", STRUCK_S - 10.0, end_s) for _ in range(count)]


@pytest.mark.parametrize(
    ("went_on", "resumed", "runners", "end_s", "periods"),
    [
        (5, 12, 2, None, 2),
        (6, 12, 2, None, 0),
        (0, 11, 2, None, 0),
        (0, 12, 1, None, 0),
        (0, 12, 2, STRUCK_S + 0.5, 0),
        (0, 12, 2, STRUCK_S + 2.0, 2),
    ],
    ids=["too few", "half", "few streams", "one runner", "runners left", "they left later"],
)
def test_resumed_streams_go_on_half_as_often_as_new_ones_begin(
    went_on: int, resumed: int, runners: int, end_s: float | None, periods: int
) -> None:
    seen = resumed_streams(went_on, resumed, 5)
    log = (
        f'{{"at_ms":{STRUCK_S * 1000 + 200:.0f},"event":"resumed","reason":"origin: unknown"}}\n'
        '{"at_ms":1,"event":"resumed","reason":"earlier"}\n{"at_ms":2,"event":"resumed","rea'
    )
    broken = resuming.broken_resumptions(seen, served(runners, end_s), [log, log])
    assert len(broken) == periods
    for line in broken:
        assert line.startswith(f"{went_on} of {resumed} resumed streams went on, ")
        assert line.endswith("gateways logged: origin: unknown 2")


def test_a_runner_serves_from_when_it_is_known_to_when_it_leaves() -> None:
    service = resuming.Service("v1", 10.0, 20.0, harmed_s=[15.0])
    assert service.covers("v1", 10.0 + resuming.KNOWN_S, 13.0)
    assert not service.covers("v1.1", 10.0 + resuming.KNOWN_S, 13.0)
    assert not service.covers("v1", 9.0 + resuming.KNOWN_S, 13.0)
    assert not service.covers("v1", 14.0, 16.0)
    assert not service.covers("v1", 18.0, 20.0)
    assert service.covers("v1", 18.0, 19.9)


def test_an_attempt_ends_with_the_first_event_and_counts_if_a_gateway_could_answer() -> None:
    seen = resumed_streams(1, 1, 0)
    (stream,) = seen.streams
    stream.tries += [records.StreamTry(STRUCK_S + 3.0, STRUCK_S + 3.1, 0, counts=False)]
    run = resuming.compared(seen, served(2))[0]
    assert (run.went_on, run.resumed, run.began, run.new) == (1, 1, 1, 1)
    stream.tries += [records.StreamTry(STRUCK_S + 3.2, STRUCK_S + 3.3, 0, counts=True)]
    run = resuming.compared(seen, served(2))[0]
    assert (run.went_on, run.resumed) == (1, 2)


def test_an_item_that_is_not_whole_and_a_refused_job_that_ran_are_told() -> None:
    seen = records.Records()
    spoilt, refused, unsure = (records.LotRecord(name, 1) for name in ("a", "b", "c"))
    spoilt.accepted = True
    spoilt.read(0, [("a.0", "done", "half")])
    refused.statuses = [503, 503]
    unsure.statuses = [503, 504]
    seen.lots += [spoilt, refused, unsure]
    ran = Counter({"a.0": 1, "b.0": 1, "c.0": 1})
    assert len(records.broken_promises(seen, ran, WHOLE)) == 2


def test_an_item_that_no_runner_can_do_may_be_dead_and_an_ended_job_may_stay_open() -> None:
    seen = records.Records()
    bad, ended, deaf = (records.LotRecord(name, 2, frozenset({"a.0"})) for name in "abc")
    for lot in (bad, ended, deaf):
        lot.accept()
        seen.lots.append(lot)
    bad.read(0, [("a.0", "dead", ""), ("a.1", "done", WHOLE)])
    ended.ending = True
    ended.read(0, [("b.0", "done", WHOLE)])
    deaf.read(0, [("c.0", "done", WHOLE), ("c.1", "dead", "")])
    deaf.deaf_at.add("gateway-2")
    broken = records.broken_promises(seen, Counter(), WHOLE)
    assert [line.split()[1] for line in broken] == ["c", "c"]


@pytest.mark.parametrize(
    ("results", "broken"),
    [
        ([("a.1", "done", WHOLE)], []),
        ([("a.0", "dead", ""), ("a.1", "done", WHOLE)], []),
        ([("a.0", "done", WHOLE), ("a.1", "done", WHOLE)], ["deadly items as done"]),
        ([("a.1", "done", WHOLE), ("a.1", "done", WHOLE)], ["an item twice", "lists 2 of 2"]),
        (
            [("a.0", "dead", ""), ("a.0", "dead", ""), ("a.1", "done", WHOLE)],
            ["an item twice", "lists 3 of 2"],
        ),
        ([("a.1", "dead", "")], ["not whole"]),
        ([("a.0", "dead", "")], ["lists 1 of 2"]),
        ([], ["lists 0 of 2"]),
    ],
)
def test_what_a_job_with_a_deadly_item_may_come_to(
    results: list[tuple[str, str, str]], broken: list[str]
) -> None:
    seen = records.Records()
    lot = records.LotRecord("a", 2, deadly=frozenset({"a.0"}))
    lot.accept()
    lot.read(0, results)
    seen.lots.append(lot)
    lines = records.broken_promises(seen, Counter(), WHOLE)
    assert len(lines) == len(broken), lines
    assert all(word in line for word, line in zip(broken, lines, strict=True))


@pytest.mark.parametrize(
    ("ends_s", "broken"),
    [
        ([0, 1, 2, 3, 4, 60], 0),
        ([0, 1, 2, 3, 4, 61, 62], 0),
        ([0, 1, 2, 3, 4, 5, 60], 1),
    ],
)
def test_a_job_ends_few_runners_in_its_first_minute(ends_s: list[float], broken: int) -> None:
    items = [f"a.{number}" for number in range(len(ends_s))]
    lots = [
        records.LotRecord("a", 70, deadly=frozenset(items)),
        records.LotRecord("b", 70, deadly=frozenset({"b.0"})),
    ]
    crashes = [*zip(items, ends_s, strict=True), ("b.0", 62.0), ("r1", 63.0)]
    assert len(records.broken_limits(lots, crashes, [])) == broken


@pytest.mark.parametrize(
    ("began_s", "broken"),
    [
        ([0, 1, 2, 20, 40, 60], 0),
        ([0, 1, 2, 20, 40, 60, 61], 0),
        ([0, 1, 2, 20, 40, 50, 60], 1),
        ([0, 1, 2, 20, 40, 50, 61, 62], 1),
    ],
)
def test_a_deadly_item_is_run_again_a_few_times(began_s: list[float], broken: int) -> None:
    lot = records.LotRecord("a", 2, deadly=frozenset({"a.0"}))
    runs = [("a.0", at_s) for at_s in began_s]
    assert len(records.broken_limits([lot], [], runs)) == broken


def test_no_client_ends_a_job_with_deadly_items_in_its_first_minute() -> None:
    deadly, harmless = (
        records.LotRecord(name, 2, deadly=frozenset(items))
        for name, items in (("a", {"a.0"}), ("b", set()))
    )
    for lot in (deadly, harmless):
        lot.accept()
    assert deadly.is_watched(deadly.accepted_s + records.FIRST_S)
    assert not deadly.is_watched(deadly.accepted_s + 2 * records.FIRST_S)
    assert not harmless.is_watched(harmless.accepted_s)


def test_a_job_whose_client_got_no_clear_answer_may_be_open() -> None:
    lot = records.LotRecord("a", 2)
    assert not lot.unsure
    lot.statuses = [503, 429]
    assert not lot.unsure
    lot.statuses.append(504)
    assert lot.unsure
    lot.accept()
    assert not lot.unsure


def test_an_error_of_the_soak_itself_is_a_broken_promise() -> None:
    seen = records.Records()
    watch = own_faults.OwnFaults(seen)
    before = threading.excepthook
    watch.watch()
    try:
        thread = threading.Thread(target=lambda: 1 // 0)
        thread.start()
        thread.join()
        asyncio.run(_raise_in_a_callback())
    finally:
        threading.excepthook = before
        logging.getLogger("asyncio").removeHandler(watch)
    broken = records.broken_promises(seen, Counter(), WHOLE)
    assert len(broken) == 2
    assert all("Error" in line for line in broken)


async def _raise_in_a_callback() -> None:
    asyncio.get_running_loop().call_soon(lambda: [][0])
    await asyncio.sleep(0.01)


@contextmanager
def echoing() -> Iterator[str]:
    """Serve connections that send back what they get."""
    server = socket.create_server(("127.0.0.1", 0))

    def echo(connection: socket.socket) -> None:
        with connection:
            try:
                while data := connection.recv(100):
                    connection.sendall(data)
            except OSError:
                pass

    def accept() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    host, port = server.getsockname()
    yield f"{host}:{port}"
    server.close()


def open_to(relay: object, timeout_s: float = 0.3) -> socket.socket:
    host, _, port = relay.address.rpartition(":")  # type: ignore[attr-defined]
    return socket.create_connection((host, int(port)), timeout_s)


def test_a_connection_that_lost_its_answers_stays_open_and_silent() -> None:
    with echoing() as target:
        relay = relays.Relay(target)
        before = open_to(relay)
        before.sendall(b"a")
        assert before.recv(1) == b"a"
        relay.lose_answers()
        time.sleep(0.1)
        before.sendall(b"b")
        with pytest.raises(TimeoutError):
            before.recv(1)
        relay.heal()
        before.sendall(b"c")
        with pytest.raises(TimeoutError):
            before.recv(1)
        with open_to(relay) as after:
            after.sendall(b"d")
            assert after.recv(1) == b"d"
        before.close()
        relay.close()


ASKS_TWICE = """
import socket, sys
host, port = sys.argv[1].split(":")
with socket.create_connection((host, int(port)), 0.5) as connection:
    for _ in range(2):
        connection.sendall(b"a")
        try:
            print(connection.recv(1))
        except TimeoutError:
            print("silent")
        sys.stdin.readline()
"""


@pytest.mark.parametrize("is_held", [True, False])
def test_a_program_that_is_cut_off_gets_no_answers_until_its_links_are_healed(
    is_held: bool, tmp_path: Path
) -> None:
    program = tmp_path / "asks.py"
    program.write_text(ASKS_TWICE)
    with echoing() as target:
        own = links.Links(tmp_path / "links", [target])
        command = own.command([sys.executable, str(program)])
        with subprocess.Popen(
            [*command, target], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        ) as asking:
            assert asking.stdin is not None
            assert asking.stdout is not None
            assert asking.stdout.readline() == "b'a'\n"
            (own.hold if is_held else own.fall_silent)()
            assert own.is_cut
            print(file=asking.stdin, flush=True)
            assert asking.stdout.readline() == "silent\n"
            own.heal()
            assert not own.is_cut
            print(file=asking.stdin, flush=True)
        own.close()


def test_what_a_hanging_runner_holds_comes_later() -> None:
    with echoing() as target:
        relay = relays.Relay(target)
        with open_to(relay) as connection:
            relay.held = True
            connection.sendall(b"a")
            with pytest.raises(TimeoutError):
                connection.recv(1)
            relay.heal()
            assert connection.recv(1) == b"a"
        relay.close()


def test_connections_that_are_closing_are_reset_without_an_error() -> None:
    """Seed 77412093: a socket that was given back was asked for its options."""
    seen = records.Records()
    watch = own_faults.OwnFaults(seen)
    logging.getLogger("asyncio").addHandler(watch)
    try:
        with echoing() as target:
            relay = relays.Relay(target)
            for _ in range(5):
                connections = [open_to(relay, timeout_s=5.0) for _ in range(10)]
                for connection in connections:
                    connection.sendall(b"a")
                    assert connection.recv(1) == b"a"
                resets = asyncio.run_coroutine_threadsafe(_reset_often(relay), relay._loop)
                resets.result(5.0)
                for connection in connections:
                    connection.close()
            relay.close()
    finally:
        logging.getLogger("asyncio").removeHandler(watch)
    assert seen.own_faults == []


async def _reset_often(relay: ModuleType) -> None:
    """Reset in each turn of the loop, so that all steps of a connection's end are met."""
    for _ in range(50):
        relay._reset_all()
        await asyncio.sleep(0)


def test_soaks_at_the_same_time_have_nets_of_their_own() -> None:
    first, second = nets.Net(19100), nets.Net(19100)
    assert first.number != second.number
    assert first.host(0) != second.host(0)
    assert len({first.host(index) for index in range(600)}) == 600


def test_an_older_configuration_is_told_once_a_newer_one_must_be_in_force() -> None:
    seen = records.Records()
    seen.configured(4, 100.0)
    seen.configured(7, 110.0)
    seen.read_back(4, 111.0, "too early to tell")
    seen.read_back(9, 113.0, "newer")
    assert records.broken_promises(seen, Counter(), WHOLE) == []
    seen.read_back(4, 113.0, "control-1")
    assert len(records.broken_promises(seen, Counter(), WHOLE)) == 1


def test_the_real_programs_keep_their_promises_while_processes_die() -> None:
    done = run("--minutes", "0.1", "--seed", "11", "--only", "process killed,connections reset")
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 promises broken" in done.stdout


SEEDS_THAT_FAILED = [
    # The soak's own relay asked a socket that was given back for its options.
    (77412093, "all killed"),
    # A relay that ended while connections came in left the tasks of the last ones behind.
    (462286, "all stores killed"),
]


@pytest.mark.parametrize(
    ("seed", "closing"),
    [(5500, "stores killed and a disk lost"), *SEEDS_THAT_FAILED],
)
def test_no_accepted_item_is_left_over_after_overlapping_strikes(seed: int, closing: str) -> None:
    done = run("--minutes", "0.4", "--seed", str(seed), "--closing", closing)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 promises broken" in done.stdout


def test_accepted_items_get_runs_after_a_series_of_crashes_and_a_loss_of_all_power() -> None:
    """Seed 8109: items of sound jobs were held, or each waited for an idle back end, for 30 s."""
    done = run("--minutes", "0.2", "--seed", "8109", "--worst")
    assert done.returncode == 0, done.stdout + done.stderr
    assert "series of crashes 1" in done.stdout


def test_a_rule_that_is_broken_on_purpose_is_found() -> None:
    done = run("--minutes", "0.05", "--seed", "3", "--rule", "accept_without_asking")
    assert done.returncode == 1, done.stdout + done.stderr
    assert re.search(r"lists 0 of \d+ items", done.stdout)


DEADLY = ("--minutes", "0.5", "--seed", "21", "--closing", "none", "--only", "deadly request")


@pytest.mark.parametrize("rule", ["", "forget_suspects"])
def test_a_request_that_ends_runners_is_stopped(rule: str) -> None:
    done = run(*DEADLY, *(("--rule", rule) if rule else ()))
    told = re.search(r"a request ended \d+ runners more", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout


BAD_ITEMS = ("--minutes", "0.12", "--seed", "901", "--closing", "none", "--only", "bad items")


@pytest.mark.parametrize("rule", ["", "forget_origins"])
def test_a_job_with_bad_items_ends_few_runners(rule: str) -> None:
    done = run(*BAD_ITEMS, *(("--rule", rule) if rule else ()))
    told = re.search(r"lot \w+ ended \d+ runners in its first minute", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout
    assert re.search(r"runners ended by each: \[[1-9]", done.stdout), done.stdout


UNEVEN = ("runner slow", "runner slow untold", "runner tells slow", "answers without end")


def test_uneven_runners_and_answers_without_end_cost_nobody_a_promise() -> None:
    kinds = ",".join((*UNEVEN, "process killed"))
    done = run("--minutes", "0.2", "--seed", "9101", "--only", kinds)
    assert done.returncode == 0, done.stdout


PART = ("--minutes", "0.3", "--seed", "49", "--closing", "none", "--only", "deadly part")


@pytest.mark.parametrize("rule", ["", "judge_no_parts"])
def test_a_part_that_ends_runners_is_stopped_and_sound_requests_go_on(rule: str) -> None:
    done = run(*PART, *(("--rule", rule) if rule else ()))
    told = re.search(r"a part ended \d+ runners more", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout


class PartScene:
    """A scene whose runners answer deadly prompts by a list of statuses, the last one for ever.

    A prompt that is answered with 502 has ended a runner. Time passes between prompts only.
    """

    def __init__(self, statuses: list[int]) -> None:
        self.statuses = statuses
        self.now_s = 0.0
        self.random = Random(1)
        self.bad_tries = 0
        self.began_s: list[float] = []
        self.broken: list[str] = []
        self.traffic = SimpleNamespace(
            backends=SimpleNamespace(deadly=lambda _body: self.began_s[:]),
            ask_with_parts=self.ask,
            note_broken=self.broken.append,
        )

    def ask(self, _kind: str, body: bytes, _parts: str, _random: Random) -> int:
        if body == b"ask":
            return 200
        status = self.statuses[min(self.bad_tries, len(self.statuses) - 1)]
        self.bad_tries += 1
        if status == 502:
            self.began_s.append(self.now_s)
        return status

    def is_in_touch(self) -> bool:
        return True

    def last(self, _shortest_s: float, longest_s: float) -> None:
        self.now_s += longest_s


UP_SELDOM = [502, 503, 503, 503, 503, 503] * 100


@pytest.mark.parametrize(
    ("statuses", "is_told", "bad_tries"),
    [
        (UP_SELDOM, True, range(36, 70)),
        ([502], True, range(35, 36)),
        ([502] * 5 + [503] * 20 + [502] * 3 + [400], False, range(38, 39)),
        ([502] * 3 + [400], False, range(35, 36)),
        ([503], False, range(250, 350)),
    ],
    ids=["runners seldom up", "runners up", "refused late", "refused soon", "no runner up"],
)
def test_a_part_is_sent_until_runners_or_refusals_have_judged_it(
    statuses: list[int], is_told: bool, bad_tries: range, monkeypatch: pytest.MonkeyPatch
) -> None:
    faults = load("faults")
    scene = PartScene(statuses)
    monkeypatch.setattr(faults, "time", SimpleNamespace(monotonic=lambda: scene.now_s))
    faults.FAULTS["deadly part"].strike(scene)
    told = [line for line in scene.broken if re.match(r"a part ended \d+ runners more", line)]
    assert (bool(told), scene.bad_tries in bad_tries) == (is_told, True), scene.bad_tries


TWICE = ("--minutes", "0.2", "--seed", "6801", "--closing", "none")
REFUSED = ("--only", "refusals answered twice,connections reset,process killed")


@pytest.mark.parametrize("rule", ["", "repeat_ids"])
def test_a_refusal_that_comes_twice_lets_no_request_run_twice(rule: str) -> None:
    done = run(*TWICE, *REFUSED, *(("--rule", rule) if rule else ()))
    told = re.search(r"\(once\) ran( \d+ times|, though it was answered)", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout


CUT_STREAMS = ("--minutes", "0.1", "--seed", "48", "--closing", "none")
CUT_BY = ("--only", "process killed,connections reset,runner reborn")


@pytest.mark.parametrize("rule", ["", "continue_anywhere"])
def test_a_stream_goes_on_at_the_version_that_began_it(rule: str) -> None:
    done = run(*CUT_STREAMS, *CUT_BY, *(("--rule", rule) if rule else ()))
    told = re.search(r"stream \w+ holds events of \['v1', 'v1.1'\]", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout


BESIDE_RELEASES = (
    "--only",
    "release,two releases,control silent,two controls killed,gateway killed,"
    "all control and gateways killed,release beside strikes,strikes together",
)


def test_resumed_streams_go_on_beside_releases_and_ends_of_all_holders() -> None:
    done = run("--minutes", "0.15", "--seed", "502", "--closing", "none", *BESIDE_RELEASES)
    assert done.returncode == 0, done.stdout + done.stderr
    assert re.search(r"judged: [1-9]\d* of", done.stdout), done.stdout


RELEASED = ("--minutes", "0.15", "--seed", "531", "--closing", "none", "--machines", "9")


@pytest.mark.parametrize("rule", ["", "lose_questions_about_origins"])
def test_resumed_streams_of_killed_gateways_go_on(rule: str) -> None:
    killed = ("--only", "release,gateway killed")
    done = run(*RELEASED, *killed, *(("--rule", rule) if rule else ()))
    told = re.search(r"\d+ of \d+ resumed streams went on, .*origin: no answer", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout


def test_the_longest_wait_for_a_slot_is_told() -> None:
    """Whether a request was late for want of slots, or for anything else."""
    backends = load("backends")
    owners = SimpleNamespace(note=lambda _ends: None)
    runner = backends.Runner("i-1", "pool", 1, "v1", owners, lambda _runner: None)
    headers = {"Host": "h", "Stand-In-Work-Ms": "300", "Leverjunction-Request-Id": "r"}

    def ask() -> None:
        caller = RawCaller(runner.relay.address)
        assert caller.ask("POST", "/stream/x", headers, b"ask").complete
        caller.close()

    threads = [threading.Thread(target=ask) for _ in range(2)]
    try:
        ask()
        assert runner.longest_wait_s() < 0.2
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert runner.longest_wait_s() >= 0.25
    finally:
        runner.close()


def test_items_that_nothing_works_on_are_told_with_their_runs() -> None:
    rule = ("--rule", "leave_what_was_cut", "--only", "connections reset", "--closing", "none")
    done = run("--minutes", "0.1", "--seed", "4", "--ebb", "0", *rule)
    assert done.returncode == 1, done.stdout + done.stderr
    assert "batch STANDS STILL" in done.stdout
    assert re.search(r"open .* s, nothing works on it; runs: store-\d at i-\d+ ", done.stdout)


def test_items_that_have_no_run_in_calm_are_told_with_the_reason() -> None:
    rule = ("--rule", "wait_out_losses", "--only", "connections reset", "--closing", "none")
    done = run("--minutes", "0.2", "--seed", "13", "--ebb", "0", *rule)
    assert done.returncode == 1, done.stdout + done.stderr
    assert re.search(
        r"BROKEN item \S+ had no run for [23]\d\.\d s of calm, .* reason: \w+", done.stdout
    ), done.stdout


@pytest.mark.parametrize(
    ("runs", "gap_s"),
    [
        ([], 20.0),
        ([(95.0, None)], 0.0),
        ([(95.0, 101.0), (104.0, 119.0)], 3.0),
        ([(104.0, 106.0), (102.0, 110.0)], 10.0),
        ([(90.0, 95.0), (130.0, 131.0)], 20.0),
    ],
    ids=["none", "one goes on", "two", "one within the other", "before and after"],
)
def test_the_longest_time_without_a_run_is_counted(
    runs: list[tuple[float, float | None]], gap_s: float
) -> None:
    assert calm.longest_gap_s(runs, 100.0, 120.0) == gap_s


def test_items_without_a_run_are_told_from_calm_or_their_acceptance_until_they_are_listed() -> None:
    early, late, ended = (records.LotRecord(name, 1) for name in "abc")
    for lot, accepted_s in ((early, 80.0), (late, 105.0), (ended, 80.0)):
        lot.accepted, lot.accepted_s = True, accepted_s
    early.read(0, [("a.0", "done", WHOLE)])
    early.listed_s["a.0"] = 119.0
    ended.ending = True
    found = calm.idle_items([early, late, ended], [], 100.0, 120.0)
    assert [(item.item_id, item.idle_s, item.is_open) for item in found] == [
        ("a.0", 19.0, False),
        ("b.0", 15.0, True),
    ]


def test_the_last_reason_of_each_item_that_waits_is_told() -> None:
    log = (
        '{"at_ms":2000,"event":"waits","item":"a.0","reason":"held","quiet_ms":9000}\n'
        '{"at_ms":1000,"event":"waits","item":"a.0","reason":"no_room"}\n'
        '{"at_ms":3000,"event":"ended","item":"b.0"}\n{"at_ms":4000,"event":"waits","it'
    )
    reasons = calm.told_reasons([log, "plain line\n"])
    assert list(reasons) == ["a.0"]
    assert re.fullmatch(r"held \(.* quiet 9\.0 s\)", reasons["a.0"])


def test_syncs_differ_from_disk_to_disk_and_over_time() -> None:
    times = {
        disk: [disks.sync_s(disks.UNEVEN, "7", disk, at_s) for at_s in range(100)]
        for disk in ("store-1", "store-2", "store-3", "store-4")
    }
    assert len({tuple(own) for own in times.values()}) > 1
    assert all(len(set(own)) > 1 for own in times.values())
    assert max(max(own) for own in times.values()) < 0.5


def test_flushes_of_replicas_that_share_a_disk_wait_for_each_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(disks, "sync_s", lambda *_arguments: 0.05)
    monkeypatch.setattr(disks, "DISKS", 1)
    word = disks.word(disks.SHARED, 7, tmp_path)
    replicas = [disks.SlowDisk(word, f"store-{number}") for number in range(4)]
    threads = [threading.Thread(target=replica.flush) for replica in replicas]
    began_s = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert time.monotonic() - began_s >= 4 * 0.05


def test_the_disks_that_lasted_longest_are_lost_as_many_as_are_tolerated() -> None:
    since_s = {"store-1": 30.0, "store-2": 10.0, "store-3": 20.0, "spare": 0.0, "store-5": 40.0}
    stores = [
        SimpleNamespace(
            name=name, disk_since_s=at_s, disk_bytes=lambda name=name: 9 * (name != "spare")
        )
        for name, at_s in since_s.items()
    ]
    machines = SimpleNamespace(losses=2, of=lambda _role: list(stores))
    lost = faults.Scene.oldest_disks(SimpleNamespace(machines=machines))
    assert [store.name for store in lost] == ["store-2", "store-3"]


def test_unknown_faults_and_rules_are_told() -> None:
    for option in ("--only", "--rule"):
        done = run(option, "nothing")
        assert done.returncode == 2
        assert "known are" in done.stderr


def test_the_folder_of_kept_logs_is_made(tmp_path: Path) -> None:
    keep = tmp_path / "kept" / "logs"
    first = load("__main__").log_folder(7, str(keep))
    assert first.is_dir()
    assert first.parent == keep
    assert load("__main__").log_folder(7, str(keep)) != first


STOP = stop_records.PlannedStop("gateway-1", 100.0, 107.4, 0, True)


def stop_request(
    kind: str,
    sent_s: float,
    ended_s: float,
    status: int,
    *,
    is_whole: bool = False,
    took_s: float = 0.0,
) -> object:
    events = 5 if is_whole and status == 200 else 0
    return stop_records.StopRequest(
        "p1", kind, "gateway-1", sent_s - took_s, sent_s, ended_s, status, is_whole, events, 5, 8.0
    )


def stop_run(began_s: float, ended_s: float | None, *, is_silent: bool = False) -> object:
    return stop_records.StopRun("p1", began_s, ended_s, is_silent, False)


@pytest.mark.parametrize(
    ("request_", "run", "figure"),
    [
        (stop_request("stream", 103.1, 107.3, 200), stop_run(103.1, 107.5), "cut"),
        (stop_request("stream", 102.9, 107.3, 200), stop_run(102.9, 107.5), "at_work"),
        (stop_request("stream", 102.9, 106.5, 200), stop_run(102.9, 106.7), "cut"),
        (stop_request("stream", 102.9, 107.3, 0), stop_run(102.9, 106.6), "cut"),
        (
            stop_request("stream", 102.9, 107.3, 0),
            stop_run(102.9, 107.3, is_silent=True),
            "cut",
        ),
        (stop_request("stream", 99.0, 107.0, 200), stop_run(99.0, 107.2), "past_limit"),
        (stop_request("stream", 98.0, 105.9, 200), stop_run(98.0, 106.0), "cut"),
        (
            stop_request("stream", 98.0, 105.9, 200, took_s=0.1),
            stop_run(98.0, 106.0),
            "past_limit",
        ),
        (stop_request("stream", 103.4, 103.5, 0), None, "unread"),
        (stop_request("stream", 103.4, 103.8, 0), None, "cut"),
        (stop_request("stream", 103.4, 103.5, 0), stop_run(103.4, 103.5), "cut"),
        (stop_request("stream", 90.0, 95.0, 200), stop_run(90.0, 95.0), "cut_elsewhere"),
        (stop_request("stream", 107.5, 108.0, 0), stop_run(107.5, 108.0), "cut_elsewhere"),
        (stop_request("stream", 103.4, 103.5, 503, is_whole=True), None, "refused"),
        (stop_request("once", 103.4, 103.5, 503, is_whole=True), stop_run(1.0, 2.0), "broken"),
        (stop_request("resumed", 99.0, 107.3, 504, is_whole=True), None, "out_of_time"),
    ],
)
def test_what_a_request_around_a_planned_stop_may_come_to(
    request_: object, run: object | None, figure: str
) -> None:
    outcome = stop_records.judge_stops([request_], [run] if run else [], [STOP])
    kinds = ("cut", "cut_elsewhere", "broken", "at_work", "past_limit", "unread", "out_of_time")
    found = [kind for kind in kinds if getattr(outcome, kind)]
    assert found == ([] if figure == "refused" else [figure])
    assert outcome.refused == (figure == "refused" or request_.kind == "once")  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("status", "has_started", "broken"), [(0, True, 0), (1, True, 1), (None, False, 1)]
)
def test_how_a_process_may_end_by_a_planned_stop(
    status: int | None, has_started: bool, broken: int
) -> None:
    stop = stop_records.PlannedStop("gateway-1", 100.0, 108.0, status, has_started)
    assert len(stop_records.judge_stops([], [], [stop]).broken) == broken


def test_what_may_run_once_is_told_if_it_ran_twice() -> None:
    request = stop_request("once", 99.0, 104.0, 504, is_whole=True)
    runs = [stop_run(99.0, 104.0), stop_run(103.0, 104.0)]
    assert stop_records.judge_stops([request], runs, [STOP]).broken == [
        "request p1 (once) ran 2 times"
    ]


STOPPED = ("--minutes", "0.2", "--machines", "9", "--closing", "none", "--only", "planned stops")


@pytest.mark.parametrize("rule", ["", "take_without_schedule"])
def test_requests_that_stopping_gateways_have_read_get_whole_answers(rule: str) -> None:
    done = run(*STOPPED, "--seed", "7801", *(("--rule", rule) if rule else ()))
    assert re.search(r" [1-9]\d* later than 3 s after it", done.stdout), done.stdout
    told = re.search(r"BROKEN planned stop: request", done.stdout)
    assert (done.returncode, told is not None) == ((1, True) if rule else (0, False)), done.stdout
