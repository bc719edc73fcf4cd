"""The simulator: seeds hold, runs repeat, and a broken rule is caught by its checker."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from loguru import logger
from tests.unit.test_batch_harvest_state import held_state

from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.gateway import claims
from testbed.simulation.breaks import RULES, RUN_ENDS, BrokenRule
from testbed.simulation.checkers import all_checkers
from testbed.simulation.cli import (
    EXIT_BAD_ARGUMENT,
    EXIT_HOLDS,
    EXIT_VIOLATED,
    is_caught,
    simulate,
)
from testbed.simulation.faults import FaultKind, schedule
from testbed.simulation.machine import Machine
from testbed.simulation.result import SeedResult
from testbed.simulation.run import Plan, run_seed
from testbed.simulation.scheduler import Scheduler
from testbed.simulation.shrink import shrink
from testbed.simulation.variation import Source, Variation
from testbed.simulation.world import planned_faults


@pytest.fixture(scope="module")
def results() -> dict[str, SeedResult]:
    return {name: run_seed(Plan(name), seed) for name, seed in (("kilimo", 3), ("hanbit", 2))}


@pytest.mark.parametrize("scenario", ["kilimo", "hanbit"])
def test_every_promise_holds(results: dict[str, SeedResult], scenario: str) -> None:
    result = results[scenario]
    assert result.violations == []
    assert result.counts["acknowledged_items"] > 0
    assert result.counts["online_whole"] > 0
    assert sum(result.faults.values()) > 0


def test_a_history_does_not_depend_on_the_hash_seed(results: dict[str, SeedResult]) -> None:
    """A seed that fails fails again, though sets of names are in another order in each process."""
    for hash_seed in ("1", "2"):
        assert digest_elsewhere("", PYTHONHASHSEED=hash_seed) == results["hanbit"].digest


def test_a_history_does_not_depend_on_what_other_tests_import() -> None:
    """Support modules of other tests change no constant of the product for the whole process.

    Symptom: one history in several test runs had another digest than the same seed in a process
    of its own (6155587c for 7a26d34a, twice). Sequence: a worker imports the support of the gateway
    tests, then runs a seed. Cause: that module set the product's limit of a poll to 30 s for good.
    """
    support = (
        "import importlib, pathlib\n"
        "for path in sorted(pathlib.Path('tests/unit').glob('*_support.py')):\n"
        "    importlib.import_module(f'tests.unit.{path.stem}')\n"
    )
    assert digest_elsewhere(support) == digest_elsewhere("")


def digest_elsewhere(prelude: str, **environment: str) -> str:
    """Return the digest of a seed in a process of its own."""
    program = (
        f"{prelude}from testbed.simulation.run import Plan, run_seed\n"
        "print(run_seed(Plan('hanbit'), 2).digest)"
    )
    root = Path(__file__).parent.parent.parent
    done = subprocess.run(
        [sys.executable, "-c", program],
        check=True,
        capture_output=True,
        text=True,
        cwd=root,
        env={**os.environ, **environment},
    )
    return done.stdout.strip()


def test_a_history_does_not_depend_on_other_threads_of_the_process(
    results: dict[str, SeedResult],
) -> None:
    """Threads that earlier tests left behind draw no ids, times or errors of a run.

    Symptom: one history in several test runs had another digest than the same seed in a process
    of its own. Sequence: tests of gateways leave threads that harvest and renew leases until they
    notice their end; a run puts its clock and its generator of ids under the same modules. Cause:
    what such a thread drew from that generator was missing in the run.
    """
    ended = threading.Event()

    def left_behind() -> None:
        while not ended.wait(0.05):
            claims.uuid.uuid4()
            logger.error("a thread of another test")

    thread = threading.Thread(target=left_behind)
    thread.start()
    try:
        result = run_seed(Plan("hanbit"), 2)
    finally:
        ended.set()
        thread.join()
    assert result.violations == []
    assert result.digest == results["hanbit"].digest


def test_a_seed_gives_the_same_history_again(results: dict[str, SeedResult]) -> None:
    assert run_seed(Plan("kilimo"), 3).digest == results["kilimo"].digest


@pytest.mark.parametrize(
    ("options", "status", "told"),
    [
        (["--first-seed", "17", "--seeds", "2"], EXIT_HOLDS, " 0 failing seeds"),
        # Each change of the code changes which seed meets the fault: the first that does ends it.
        (
            ["--first-seed", "40", "--seeds", "30", "--break", "skip_takeover_sweep"],
            EXIT_VIOLATED,
            "skip_takeover_sweep: caught",
        ),
    ],
)
def test_a_cancelled_job_stops_though_its_gateway_was_killed(
    options: list[str], status: int, told: str
) -> None:
    # In a process of its own: a seed meets the fault only in the order of a fixed hash seed.
    chosen = ["--faults", "kill_gateway,cut_gateway"]
    command = [sys.executable, "-m", "testbed.simulation.cli", "simulate", *chosen, *options]
    done = subprocess.run(command, check=False, capture_output=True, text=True)
    assert done.returncode == status
    assert told in done.stdout


@pytest.mark.parametrize(
    ("scenario", "seed"),
    [
        # The settings' group had no leader to the end of the run. A control process that crashed
        # in a sync told an earlier repair once more after its restart, at an address whose disk
        # had been lost again meanwhile; whoever waits for the report before the next machine is
        # touched (here the fault injector) then lost the second of three disks.
        # Lines: "repair told by control-0: old fd36, new 5f38, control-2" at 26.7 and at 31.9 s,
        # control-2 blank as 2f68 since 29.3 s.
        ("hanbit", 148),
        # An item was received 4.3 s after its job's cancel. Traced: sent 0.7 s after the cancel,
        # before the gateway could know; held up on its way for 3.6 s; it ran for 0.09 s. The
        # checker goes by the time of sending since, and asks for the end of what arrives late.
        ("hanbit", 77330144),
        # All gateways were one version behind for more than 4 s: a late message of a dead leader
        # counted as its life, so the two others had none for 3.2 s. Its blank successor at the
        # same address had been asked, and the answer was not used.
        ("hanbit", 77320183),
        # Gateways were a version behind for 4.1 and 7.8 s, after most control processes had ended
        # and one had lost its disk: they asked a hub without a quorum only once a second, and one
        # that had just caught up called itself fresh before it had read the settings.
        ("hanbit", 90000051),
        ("kilimo", 90000084),
        ("hanbit", 90000210),
        # Items were sent 6.5 s after their job's cancel, 0.1 s too late: the same pause of a second
        # after a hub without a quorum, then an exchange that was lost, after a restart of all.
        ("kilimo", 90000347),
        # Nothing was wrong: all control processes are started again at the end of a burst of
        # changes, here at 42.7 s, and the groups were looked at 0.9 s later. They are looked at
        # 8 s after the last fault since, a burst's restart included.
        ("hanbit", 90000115),
        # A gateway was a version behind for 4 s: it went to a hub that had come back without its
        # disk and stayed until that was repaired, while two others had the version.
        ("kilimo", 95100059),
    ],
)
def test_a_seed_that_failed_holds(scenario: str, seed: int) -> None:
    result = run_seed(Plan(scenario), seed)
    assert result.violations == []


@pytest.mark.parametrize(
    ("seed", "draw"),
    [
        # A gateway was a version behind for 4 s: a leader froze 0.2 s after the acknowledgement,
        # and the answers of two voters to its successor were lost. It did not ask them again, and
        # all waited for a whole election timeout: no leader for 3.4 s.
        (2, "network:45"),
        (2, "timers:63"),
        (2, "ids:67"),
        # The same words on an earlier state of the code.
        (2, "fault_time:56"),
    ],
)
def test_a_history_beside_a_seed_that_failed_holds(seed: int, draw: str) -> None:
    plan = Plan("hanbit", variation=Variation.from_name(draw))
    assert run_seed(plan, seed).violations == []


def test_a_gateway_whose_only_trusted_hub_is_cut_off_tries_the_doubted_ones() -> None:
    """It was a version behind for 4.2 s; the others had failed before, and had the version."""
    kinds = (
        FaultKind.LOSE_SECOND_DISK,
        FaultKind.CUT_CONTROL,
        FaultKind.CUT_CONTROL_ONE_WAY,
        FaultKind.LOSE_DISK,
        FaultKind.CUT_GATEWAY,
    )
    plan = Plan("hanbit", only=kinds, variation=Variation.from_name("timers:0"))
    assert run_seed(plan, 3004).violations == []


@pytest.mark.parametrize(
    ("rule", "seed"),
    [
        ("elect_only_once", 1),
        ("exit_at_once", 5),
        ("forget_job_keys", 3),
        ("skip_echo_check", 7),
    ],
)
def test_a_broken_rule_is_caught(rule: str, seed: int) -> None:
    assert is_caught(run_seed(Plan("kilimo", rule), seed), rule)


@pytest.mark.parametrize("variation", [None, Variation(Source.NETWORK, 2)])
def test_gateways_that_stand_still_lose_no_item(variation: Variation | None) -> None:
    """Histories in which items of a gateway whose clock fell behind stayed without a result.

    What stayed was an item whose answer had been lost; such are run again since, so the broken
    rule is told by what it breaks first, in the test below.
    """
    only = (FaultKind.FREEZE_GATEWAY, FaultKind.CUT_GATEWAY)
    for rule in ("", "clock_stands_while_frozen"):
        assert run_seed(Plan("kilimo", rule, only, variation), 268).violations == []


@pytest.mark.parametrize(("rule", "starts"), [("", 0), ("clock_stands_while_frozen", 2)])
def test_a_gateway_that_stood_still_starts_nothing_of_a_lease_that_is_over(
    rule: str, starts: int
) -> None:
    """Its lease has ended and others run its items; one that may not repeat would run twice."""
    state = held_state(may_repeat=False)
    state.work.leases["l"].valid_until_s = LEASE_DURATION_S
    scheduler = Scheduler()
    machine = Machine("gateway-0", "z", scheduler)
    with BrokenRule(rule):
        planned = state.plan(machine.monotonic_s()).starts
        machine.freeze()
        scheduler.run_until(LEASE_DURATION_S + 2.0)
        machine.wake()
        begun = [run for run in planned if state.try_begin(run, machine.monotonic_s())]
    assert len(planned) == 2
    assert len(begun) == starts


def test_every_checker_of_a_promise_has_a_rule_that_breaks_it() -> None:
    caught_by = {rule.caught_by for rule in RULES.values()}
    names = {checker.name for checker in all_checkers()}
    assert caught_by == names - {"internal_errors"} | {RUN_ENDS}


def test_the_list_of_rules_and_bad_arguments(capsys: pytest.CaptureFixture[str]) -> None:
    assert simulate(break_rule="list") == EXIT_HOLDS
    assert "never_yield" in capsys.readouterr().out
    assert simulate(scenario="nowhere") == EXIT_BAD_ARGUMENT
    assert simulate(break_rule="no_such_rule") == EXIT_BAD_ARGUMENT
    assert simulate(faults="kill_gateway,no_such_fault") == EXIT_BAD_ARGUMENT
    capsys.readouterr()
    assert simulate(faults="list") == EXIT_HOLDS
    assert "kill_gateway" in capsys.readouterr().out.split()


def test_histories_beside_a_seed_differ_and_can_be_played_again(
    results: dict[str, SeedResult], capsys: pytest.CaptureFixture[str]
) -> None:
    """The same callers and faults, other draws of one source: found again by the name."""
    plan = Plan("hanbit", variation=Variation(Source.NETWORK, 0))
    again = [run_seed(plan, 2).digest for _ in range(2)]
    assert again[0] == again[1] != results["hanbit"].digest
    assert simulate(near=2, seeds=2, scenario="hanbit", source="network", workers=1) == EXIT_HOLDS
    assert "2 histories (2 distinct)" in capsys.readouterr().out


def test_a_failing_history_is_shrunk_to_the_faults_that_matter() -> None:
    shorter, result = shrink(Plan("kilimo", "exit_at_once"), 5)
    assert is_caught(result, "exit_at_once")
    assert shorter.without
    assert is_caught(run_seed(shorter, 5), "exit_at_once")


def test_what_happened_is_told_and_changes_no_history(results: dict[str, SeedResult]) -> None:
    lines: list[str] = []
    assert run_seed(Plan("hanbit"), 2, lines).digest == results["hanbit"].digest
    told = "\n".join(lines)
    for word in ("fault freeze_control", "state root control-0", "leader term", "settings version"):
        assert word in told


@pytest.mark.parametrize(
    ("options", "told"),
    [
        ({"source": "weather"}, "there are: network, replicas"),
        ({"draw": "weather:1"}, "SOURCE:NUMBER"),
        ({"draw": "network"}, "SOURCE:NUMBER"),
        ({"without": "first"}, "positions of faults"),
        ({"seeds": 0}, "from 1"),
    ],
)
def test_what_names_no_history_is_refused_with_what_there_is(
    options: dict[str, str], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert simulate(**options) == EXIT_BAD_ARGUMENT  # type: ignore[arg-type]
    assert told in capsys.readouterr().out


def test_one_fault_is_moved_and_the_others_stay() -> None:
    planned = planned_faults(148)
    moved = planned_faults(148, (), Variation(Source.FAULT_TIME, 3))
    assert len(moved) == len(planned)
    assert len(set(moved) - set(planned)) == 1


def test_a_schedule_holds_only_the_kinds_that_were_asked_for() -> None:
    only = (FaultKind.KILL_GATEWAY, FaultKind.CUT_RUNNER)
    struck = schedule(random.Random(1), 0.0, 30.0, only)
    assert {fault.kind for fault in struck} == set(only)
