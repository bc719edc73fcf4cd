"""Tests of the judgement on parts of prompts: which part is accused, and of what it is cleared."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from random import Random

import pytest

from leverjunction.proxy.caller_request import CallerRequest, request_parts
from leverjunction.proxy.dialect import PromptPart, RequestMetadata
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.quarantine.prompt_parts import (
    MAX_PROVEN,
    PROOF_S,
    ProvenParts,
    judge,
    part_key,
)
from leverjunction.quarantine.records import EndedRun
from leverjunction.quarantine.verdicts import EARLY_RUN_S, REFUSAL_THRESHOLD, Standing
from leverjunction.registry.records import RunnerRecord

ROUTE = "r"


def ask(*parts: str, credentials: str = "", is_item: bool = False) -> CallerRequest:
    request = CallerRequest(b"POST", b"/x", [(b"Host", b"h")], b"body", 0.0)
    request.metadata = RequestMetadata(
        parts=tuple(PromptPart(part, 10) for part in parts), credentials=credentials
    )
    request.is_item = is_item
    return request


def back_end(number: int) -> RunnerRecord:
    return RunnerRecord(
        runner_id=f"i-{number}", service="s", address="127.0.0.1:1", zone="z", slots=4
    )


class Reports:
    """Takes the place of the registry."""

    def __init__(self) -> None:
        self.evidence: list[EndedRun] = []
        self.cleared: list[str] = []

    def ended(self, run: EndedRun) -> None:
        self.evidence.append(run)

    def answered(self, key: str) -> None:
        self.cleared.append(key)


class Judge:
    """A gateway's quarantine, with back ends whose crashes are proved at once."""

    def __init__(self) -> None:
        self.reports = Reports()
        self.quarantine = Quarantine(self.reports)
        self._crashes = 0

    def crash(self, *requests: CallerRequest, ran_on: bool = False, sent_s: float = 0.0) -> None:
        """Have a back end crash that runs these requests."""
        self._crashes += 1
        runner = back_end(self._crashes)
        loop = asyncio.get_running_loop()
        for request in requests:
            self.quarantine.run_lost(
                request, ROUTE, "a", runner, ran_on=ran_on, sent_s=sent_s or loop.time()
            )
        self.quarantine.not_listening(runner)

    def standing(self, request: CallerRequest) -> Standing:
        return self.quarantine.judge_parts(request, ROUTE)[1]


def test_a_part_is_refused_after_three_crashes_whatever_else_the_prompts_hold() -> None:
    async def run() -> None:
        judged = Judge()
        standings = []
        for number in range(3):
            judged.crash(ask("first", "bad", f"own-{number}"))
            judged.quarantine.parts_answered(ask("first", "good", "own"), ROUTE)
            standings.append(judged.standing(ask("first", "bad", "other")))
        assert standings == [Standing.SUSPECT, Standing.CAREFUL, Standing.REFUSED]
        assert judged.standing(ask("first", "good", "other")) is Standing.SOUND
        # The last part is the request's own.
        assert judged.standing(ask("first", "good", "bad")) is Standing.SOUND

    asyncio.run(run())


def test_a_part_that_was_lately_answered_is_not_accused() -> None:
    async def run() -> None:
        judged = Judge()
        judged.quarantine.parts_answered(ask("first", "middle", "own"), ROUTE)
        for _ in range(5):
            judged.crash(ask("first", "bad", "own"))
        assert judged.standing(ask("first", "middle", "own")) is Standing.SOUND
        assert {run.key for run in judged.reports.evidence if run.key.startswith("part:")} == {
            part_key((ROUTE, "", "bad"))
        }

    asyncio.run(run())


def test_an_answer_clears_a_part_at_all_gateways() -> None:
    async def run() -> None:
        judged = Judge()
        for _ in range(2):
            judged.crash(ask("rare", "own"))
        assert judged.standing(ask("rare", "own")) is Standing.CAREFUL
        judged.quarantine.parts_answered(ask("rare", "own"), ROUTE)
        assert judged.standing(ask("rare", "own")) is Standing.SOUND
        assert judged.reports.cleared == [part_key((ROUTE, "", "rare"))]

    asyncio.run(run())


def test_a_run_that_had_gone_on_does_not_accuse_its_parts() -> None:
    async def run() -> None:
        judged = Judge()
        for _ in range(5):
            judged.crash(ask("rare", "own"), ran_on=True)
        assert judged.standing(ask("rare", "own")) is Standing.SOUND

    asyncio.run(run())


def test_sound_requests_with_a_shared_part_are_not_refused_beside_a_series_of_crashes() -> None:
    """Slow back ends that crash in series complete no response which would clear the part."""

    async def run() -> None:
        judged = Judge()
        for number in range(5):
            early, late = ask("shared", f"early-{number}"), ask("shared", f"late-{number}")
            judged.crash(early)
            judged.crash(late, ran_on=True)
            assert judged.standing(ask("shared", "own")) is Standing.SOUND

    asyncio.run(run())


def test_back_ends_that_crash_together_count_once_against_a_part() -> None:
    """A power failure ends the back ends of several runs with a part that is new."""

    async def run() -> None:
        judged = Judge()
        sent_s = asyncio.get_running_loop().time() - 0.1
        for _ in range(5):
            judged.crash(ask("new", "own"), sent_s=sent_s)
        assert judged.standing(ask("new", "own")) is Standing.SUSPECT

    asyncio.run(run())


def test_what_one_caller_declares_is_not_held_against_another() -> None:
    async def run() -> None:
        judged = Judge()
        for _ in range(3):
            judged.crash(ask("shared", "own", credentials="one"))
        assert judged.standing(ask("shared", "own", credentials="one")) is Standing.REFUSED
        assert judged.standing(ask("shared", "own", credentials="two")) is Standing.SOUND
        assert judged.quarantine.judge_parts(ask("shared", "own"), "another")[1] is Standing.SOUND

    asyncio.run(run())


def test_parts_that_always_came_together_are_told_apart_by_an_answer() -> None:
    crashed = {"first": {"1", "2", "3"}, "bad": {"1", "2", "3"}}
    assert judge({"first", "bad"}, crashed)[1] is Standing.REFUSED
    # Either of the two may be the cause: a request with one of them runs with care.
    assert judge({"first", "good"}, crashed) == ("first", Standing.CAREFUL)
    crashed["bad"] |= {"4", "5"}
    assert judge({"bad", "other"}, crashed)[1] is Standing.CAREFUL
    crashed["bad"].add("6")
    assert judge({"bad", "other"}, crashed) == ("bad", Standing.REFUSED)
    assert judge({"other"}, crashed) == ("", Standing.SOUND)


@pytest.mark.parametrize("text", ["", "\udcff", "x" * 10_000])
def test_strange_ids_of_parts_have_keys(text: str) -> None:
    assert len(part_key((ROUTE, "", text))) == len(part_key((ROUTE, "", "a")))


def test_a_prompt_of_very_many_parts_is_judged_by_its_first_ones() -> None:
    assert len(request_parts(ask(*(f"p{number}" for number in range(4000))), ROUTE)) == 16
    assert request_parts(ask("only"), ROUTE) == []
    assert request_parts(ask(), ROUTE) == []


def test_proofs_expire_and_are_bounded() -> None:
    proven = ProvenParts()
    parts = [(ROUTE, "", f"p{number}") for number in range(MAX_PROVEN + 1)]
    for number, part in enumerate(parts):
        proven.add([part], number / MAX_PROVEN)
    assert proven.has(parts[-1], 1.0)
    assert not proven.has(parts[0], 1.0)
    assert not proven.has(parts[-1], 1.1 + PROOF_S)


RUNNERS = 9
RUN_S = 1.0
GATEWAYS = 7


def draw_refused(random: Random, slots: int, crashes_per_minute: float, minutes: float) -> int:
    """Return how many sound parts get a verdict beside crashes that have other causes.

    Each back end works on half of its slots. A tenth of the requests has a part that is asked for
    for the first time, a third one of 200 that are shared. A crash early in a run sends the request
    to another back end.
    """
    rate = RUNNERS * slots / 2 / RUN_S
    share_early = EARLY_RUN_S / RUN_S
    per_run = crashes_per_minute / 60 / RUNNERS * RUN_S
    crashes: Counter[str] = Counter()
    answered_s: dict[tuple[int, str], float] = defaultdict(lambda: float("-inf"))
    refused: set[str] = set()
    for number in range(int(rate * minutes * 60)):
        now_s = number / rate
        kind = random.random()
        middle = f"new-{number}" if kind < 0.1 else f"shared-{random.randrange(200)}"
        parts = ["first", middle] if kind < 0.43 else ["first"]
        gateway = random.randrange(GATEWAYS)
        while random.random() < per_run:
            if random.random() < share_early:
                for part in parts:
                    if now_s - answered_s[gateway, part] > PROOF_S:
                        crashes[part] += 1
                        refused |= {part} if crashes[part] >= REFUSAL_THRESHOLD else set()
        for part in parts:
            answered_s[gateway, part] = now_s
            crashes.pop(part, None)
    return len(refused)


@pytest.mark.parametrize("slots", [12, 19])
def test_sound_parts_are_not_refused_beside_crashes_with_other_causes(slots: int) -> None:
    """Forty days of a minute and a half, with thirty crashes each."""
    assert draw_refused(Random(slots), slots, 20.0, 60.0) == 0
