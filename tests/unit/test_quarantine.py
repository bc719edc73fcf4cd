"""Quarantine of requests that crash back ends: evidence, verdicts and their expiry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.caller_request import CallerRequest, request_content
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.quarantine.crash_detector import MAX_PENDING_RUNS, PROOF_TIMEOUT_S, CrashDetector
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import (
    RequestContent,
    path_part,
    prompt_key,
    request_key,
)
from leverjunction.quarantine.suspects import MAX_OWN_EVIDENCE, OWN_EVIDENCE_TTL_S, Suspects
from leverjunction.quarantine.verdicts import (
    FIRST_VERDICT_S,
    MAX_VERDICT_S,
    REFUSAL_THRESHOLD,
    SUSPECT_TTL_S,
    Standing,
    on_trial,
    ran_on,
    retention_s,
    standing,
    with_ended_run,
)
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.registry.suspect_review import SuspectReview


def content(**changes: bytes) -> RequestContent:
    fields = {
        "host": b"app.example",
        "method": b"POST",
        "target": b"/a/1?b=2",
        "credentials": b"",
        "body": b"ask",
    }
    return RequestContent(**{**fields, **changes})


def ended(start: str, key: str = "k") -> EndedRun:
    return EndedRun(key=key, start=start, route="r", request_id=f"at-{start}")


def late(start: str) -> EndedRun:
    return EndedRun(key="k", start=start, ran_on=True)


def record_of(*starts: str) -> SuspectRecord:
    record: SuspectRecord | None = None
    for start in starts:
        record = with_ended_run(record, ended(start))
    assert record is not None
    return record


@pytest.mark.parametrize(
    ("changes", "is_same"),
    [
        ({"host": b"APP.example"}, True),
        ({"host": b"other.example"}, False),
        ({"method": b"PUT"}, False),
        ({"target": b"/a/1"}, False),
        ({"credentials": b"Bearer other"}, False),
        ({"body": b"ask "}, False),
        ({"target": b"/a/1?b=2ask", "body": b""}, False),
        ({"body": b"x" * 4_000_000}, False),
    ],
)
def test_which_changes_make_another_request(changes: dict[str, bytes], is_same: bool) -> None:
    assert (request_key(content(**changes)) == request_key(content())) is is_same


def test_the_key_is_independent_of_ids_deadlines_and_stream_positions() -> None:
    def request(number: int) -> CallerRequest:
        headers = [
            (b"Host", b"app.example"),
            (b"Leverjunction-Request-Id", b"r%d" % number),
            (b"Leverjunction-Deadline-Ms", b"%d" % (1000 + number)),
            (b"Last-Event-Id", b"%d" % number),
        ]
        return CallerRequest(b"POST", b"/a/1", headers, b"ask", float(number))

    assert len({request_key(request_content(request(number))) for number in range(5)}) == 1


def test_a_key_starts_with_its_path_part() -> None:
    assert request_key(content()).startswith(path_part(content()))
    assert path_part(content(body=b"other")) == path_part(content())


PROMPT = b"m,part-1:800,part-2:400"


@pytest.mark.parametrize(
    ("changes", "is_same"),
    [
        ({"body": b"another"}, True),
        ({"host": b"other.example"}, False),
        ({"target": b"/a/2"}, False),
        ({"credentials": b"Bearer other"}, False),
        ({"prompt": b"m,part-1:800,part-2:401"}, False),
    ],
)
def test_which_changes_make_another_prompt(changes: dict[str, bytes], is_same: bool) -> None:
    key = prompt_key(content(prompt=PROMPT))
    assert (prompt_key(content(**{"prompt": PROMPT, **changes})) == key) is is_same
    assert key.startswith(path_part(content()))


def test_no_body_has_the_key_of_a_prompt() -> None:
    key = prompt_key(content(prompt=PROMPT))
    assert key not in (request_key(content(body=PROMPT)), request_key(content(prompt=PROMPT)))
    assert prompt_key(content()) == ""


def declaring(
    body: bytes, counts: bytes, parts: bytes, *, credentials: bytes = b"Bearer one"
) -> CallerRequest:
    headers = [
        (b"Host", b"app.example"),
        (b"Authorization", credentials),
        (b"Leverjunction-Model", b"m"),
        (b"Leverjunction-Token-Count", counts),
        (b"Leverjunction-Prompt-Prefix", parts),
    ]
    request = CallerRequest(b"POST", b"/a/1", headers, body, 0.0)
    request.metadata = PlatformDialect().read_request(headers)
    return request


@pytest.mark.parametrize(
    ("counts", "parts", "is_declared"),
    [
        (b"1200,80", b"aa:800,bb:400", True),
        (b"1200,80", b"aa:800", False),
        (b"1200,80", b"", False),
        (b"0,80", b"aa:0", False),
        (b"unreadable", b"aa:800,bb:400", False),
    ],
)
def test_only_a_prompt_that_is_declared_whole_has_a_key(
    counts: bytes, parts: bytes, is_declared: bool
) -> None:
    assert bool(request_content(declaring(b"ask", counts, parts)).prompt) is is_declared


def test_without_credentials_nobody_is_refused_for_what_another_caller_declares() -> None:
    request = declaring(b"ask", b"1200,80", b"aa:800,bb:400", credentials=b"")
    assert request_content(request).prompt == b""
    request.is_item = True
    assert request_content(request).prompt != b""


def test_one_prompt_in_different_bodies_is_one_request() -> None:
    """Guards against three crashes for each body in which a caller sends the same prompt.

    Seventeen items of several jobs had one path and one declared prompt, and each a few other
    bytes: together they crashed 37 back ends within 35 s.
    """

    async def scenario() -> list[Standing]:
        quarantine = Quarantine()
        standings = []
        for number in range(REFUSAL_THRESHOLD + 1):
            request = declaring(b"body %d" % number, b"1200,80", b"aa:800,bb:400")
            standings.append(quarantine.standing(quarantine.find(request)))
            at = runner(f"i-{number}")
            quarantine.run_lost(request, "r", "id", at, ran_on=False)
            quarantine.not_listening(at)
        return standings

    expected = [Standing.SOUND, Standing.SUSPECT, Standing.CAREFUL, Standing.REFUSED]
    assert asyncio.run(scenario()) == expected


def test_a_response_to_the_same_prompt_does_not_clear_another_body() -> None:
    """A body may be harmful for a reason that lies outside the declared prompt."""
    suspects = Suspects()
    bad, twin = content(body=b"bad", prompt=PROMPT), content(body=b"twin", prompt=PROMPT)
    for start in ("a", "b", "c"):
        for key in (prompt_key(bad), request_key(bad)):
            suspects.ended(ended(start, key), 0.0)
    assert suspects.find(twin) == suspects.find(bad) == prompt_key(bad)
    for key in (prompt_key(twin), request_key(twin)):
        suspects.answered(key)
    assert suspects.find(twin) == ""
    assert suspects.standing(suspects.find(bad)) is Standing.REFUSED


ONE = ended("a")
EVIDENCE: dict[str, tuple[tuple[EndedRun, ...], Standing]] = {
    "nothing": ((), Standing.SOUND),
    "one crash": ((ONE,), Standing.SUSPECT),
    "one crash reported by three gateways": ((ONE, ONE, ONE), Standing.SUSPECT),
    "two crashes": ((ONE, ended("b")), Standing.CAREFUL),
    "three crashes, one reported twice": (
        (ended("b"), ONE, ended("c"), ONE),
        Standing.REFUSED,
    ),
    "two late crashes": ((late("a"), late("b")), Standing.SOUND),
    "three late crashes": ((late("a"), late("b"), late("c")), Standing.SUSPECT),
    "one crash reported as late and as early": ((late("a"), ONE, late("a")), Standing.SUSPECT),
    "two early crashes and three late ones": (
        (ONE, ended("b"), late("c"), late("d"), late("e")),
        Standing.REFUSED,
    ),
    "nine late crashes": (
        tuple(late(f"i-{n}") for n in range(9)),
        Standing.REFUSED,
    ),
    "very many crashes": (tuple(ended(f"i-{n}") for n in range(100)), Standing.REFUSED),
}


@pytest.mark.parametrize("name", EVIDENCE)
def test_the_standing_follows_from_the_evidence(name: str) -> None:
    runs, expected = EVIDENCE[name]
    suspects = Suspects()
    record: SuspectRecord | None = None
    for run in runs:
        suspects.ended(run, 0.0)
        record = with_ended_run(record, run)
    assert suspects.standing("k") is expected
    assert (standing(record) if record else Standing.SOUND) is expected
    assert record is None or len(record.starts) + len(record.late_starts) <= 24


def test_own_and_reported_evidence_are_combined() -> None:
    suspects = Suspects()
    suspects.replace(SuspectList(revision=1, suspects=(record_of("a", "b"),)))
    assert suspects.standing("k") is Standing.CAREFUL
    suspects.ended(ended("b"), 0.0)
    assert suspects.standing("k") is Standing.CAREFUL
    suspects.ended(ended("c"), 0.0)
    assert suspects.standing("k") is Standing.REFUSED


def test_a_complete_response_clears_a_suspect() -> None:
    suspects = Suspects()
    key = request_key(content())
    suspects.replace(SuspectList(revision=1, suspects=(record_of("a", "b"),)))
    suspects.ended(ended("c", key), 0.0)
    assert suspects.find(content()) == key
    suspects.answered(key)
    assert suspects.find(content()) == ""


def test_a_suspect_cleared_elsewhere_is_cleared_here() -> None:
    suspects = Suspects()
    for start in ("a", "b", "c"):
        suspects.ended(ended(start), 0.0)
    suspects.replace(SuspectList(revision=1))
    assert suspects.standing("k") is Standing.REFUSED, "not reported by the registry yet"
    suspects.replace(SuspectList(revision=2, suspects=(record_of("a", "b", "c"),)))
    suspects.replace(SuspectList(revision=3))
    assert suspects.standing("k") is Standing.SOUND


def test_own_evidence_is_bounded_in_time_and_number() -> None:
    suspects = Suspects()
    for number in range(MAX_OWN_EVIDENCE + 10):
        suspects.ended(ended("a", f"{number:048x}"), float(number > 0))
    assert suspects.counts()[0] == MAX_OWN_EVIDENCE
    suspects.expire(OWN_EVIDENCE_TTL_S + 1.1)
    assert suspects.is_empty


def test_bodies_are_hashed_only_for_paths_of_suspects(monkeypatch: pytest.MonkeyPatch) -> None:
    hashed: list[RequestContent] = []
    from leverjunction.quarantine import suspects as module

    def counted(item: RequestContent) -> str:
        hashed.append(item)
        return request_key(item)

    monkeypatch.setattr(module, "request_key", counted)
    suspects = Suspects()
    suspects.find(content())
    suspects.ended(ended("a", request_key(content())), 0.0)
    suspects.find(content(target=b"/other"))
    assert hashed == []
    assert suspects.find(content()) == request_key(content())
    assert len(hashed) == 1


def test_each_further_verdict_lasts_longer() -> None:
    record = record_of("a", "b", "c")
    lengths = [retention_s(record)]
    for number in range(12):
        record = on_trial(record)
        assert standing(record) is Standing.CAREFUL
        record = with_ended_run(record, ended(f"later-{number}"))
        assert standing(record) is Standing.REFUSED
        lengths.append(retention_s(record))
    assert lengths[:3] == [FIRST_VERDICT_S, 2 * FIRST_VERDICT_S, 4 * FIRST_VERDICT_S]
    assert lengths[-1] == MAX_VERDICT_S
    assert retention_s(record_of("a", "b")) == SUSPECT_TTL_S


def test_a_verdict_by_late_crashes_expires_too() -> None:
    record: SuspectRecord | None = None
    for number in range(9):
        record = with_ended_run(record, late(f"i-{number}"))
    assert record is not None
    assert record.verdicts == 1
    assert standing(on_trial(record)) is Standing.CAREFUL


def test_the_review_expires_verdicts_and_suspects() -> None:
    review = SuspectReview()
    refused, suspect = record_of("a", "b", "c"), with_ended_run(None, ended("a", "other"))
    told = SuspectList(revision=1, suspects=(refused, suspect))
    assert review.due(told, 0.0) == []
    assert review.due(told, min(FIRST_VERDICT_S, SUSPECT_TTL_S) - 1.0) == []
    [change] = review.due(told, max(FIRST_VERDICT_S, SUSPECT_TTL_S))
    assert (change.on_trial, change.forgotten) == (("k",), ("other",))


@pytest.mark.parametrize(
    ("first_output_s", "expected"), [(None, False), (9.9, False), (9.76, False), (9.7, True)]
)
def test_when_a_crash_counts_as_late(first_output_s: float | None, expected: bool) -> None:
    assert ran_on(first_output_s, 10.0) is expected


Proof = Callable[[CrashDetector], list[EndedRun]]
PROOFS: dict[str, tuple[Proof, int]] = {
    "port closed": (lambda watch: watch.ended("a", 0.1), 1),
    "proved twice": (lambda watch: watch.ended("a", 0.1) + watch.ended("a", 0.2), 1),
    "another start crashed": (lambda watch: watch.ended("b", 0.1), 0),
    "proof too late": (lambda watch: watch.ended("a", PROOF_TIMEOUT_S + 0.1), 0),
    "planned stop": (lambda watch: (watch.planned_stop("a"), watch.ended("a", 0.1))[1], 0),
}


@pytest.mark.parametrize("name", PROOFS)
def test_what_proves_that_a_start_crashed(name: str) -> None:
    prove, expected = PROOFS[name]
    watch = CrashDetector()
    assert watch.lost(ended("a"), 0.0) == []
    assert len(prove(watch)) == expected


def test_all_lost_runs_of_a_crashed_start_are_evidence_even_if_detected_later() -> None:
    watch = CrashDetector()
    for number in range(12):
        watch.lost(ended("a", f"k{number}"), 0.0)
    assert len(watch.ended("a", 0.1)) == 12
    assert len(watch.lost(ended("a", "late"), 0.2)) == 1


def test_the_number_of_runs_without_proof_is_bounded() -> None:
    watch = CrashDetector()
    for number in range(MAX_PENDING_RUNS + 100):
        watch.lost(ended(f"i-{number}"), 0.0)
    assert len(list(watch.pending())) <= MAX_PENDING_RUNS
    watch.expire(PROOF_TIMEOUT_S + 1)
    assert list(watch.pending()) == []


def runner(runner_id: str, address: str = "127.0.0.1:1", **changes: object) -> RunnerRecord:
    fields: dict[str, object] = {
        "runner_id": runner_id,
        "service": "s",
        "address": address,
        "zone": "z",
        "slots": 4,
    }
    return RunnerRecord(**{**fields, **changes})  # type: ignore[arg-type]


LISTENING = "the test's own port"
REGISTRY: dict[str, tuple[RunnerRecord, list[RunnerRecord], Standing]] = {
    "leaving": (
        runner("a"),
        [runner("a", state=RunnerState.LEAVING)],
        Standing.SOUND,
    ),
    "removed": (runner("a"), [runner("b", "127.0.0.1:2")], Standing.SOUND),
    "still listed and listening": (
        runner("a", LISTENING),
        [runner("a", LISTENING)],
        Standing.SOUND,
    ),
    "silent": (
        runner("a", LISTENING),
        [runner("a", LISTENING, state=RunnerState.SILENT)],
        Standing.SUSPECT,
    ),
    "address taken by another start": (
        runner("a", LISTENING),
        [runner("a", LISTENING), runner("b", LISTENING)],
        Standing.SUSPECT,
    ),
    "still listed, port closed": (runner("a"), [runner("a")], Standing.SUSPECT),
}


@pytest.mark.parametrize("name", REGISTRY)
def test_a_lost_run_is_judged_by_the_registry_and_a_probe(name: str) -> None:
    at, listed, expected = REGISTRY[name]

    async def scenario() -> Standing:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        here = f"127.0.0.1:{port}"

        def placed(record: RunnerRecord) -> RunnerRecord:
            if record.address != LISTENING:
                return record
            return runner(record.runner_id, here, state=record.state)

        quarantine = Quarantine()
        quarantine.replace([placed(at)], SuspectList())
        headers = [(b"Host", b"app.example")]
        request = CallerRequest(b"POST", b"/a/1", headers, b"ask", 0.0)
        quarantine.replace([placed(record) for record in listed], SuspectList())
        quarantine.run_lost(request, "r", "id", placed(at), ran_on=False)
        await quarantine.wait_for_probe(placed(at))
        quarantine.replace([placed(record) for record in listed], SuspectList())
        server.close()
        return quarantine.standing(quarantine.find(request))

    assert asyncio.run(scenario()) is expected


USUAL_CRASH_RATE = 0.01
HIGH_CRASH_RATE = 0.15
"""Shares of runs hit by a crash with another cause: on a day with crashes, and while harmful
requests crash one of nine back ends per second and runs take a second.
"""


@pytest.mark.parametrize(
    ("crash_rate", "max_share"), [(USUAL_CRASH_RATE, 0.00001), (HIGH_CRASH_RATE, 0.005)]
)
def test_a_harmless_request_is_rarely_refused(crash_rate: float, max_share: float) -> None:
    """Two attempts with two runs each: the request is refused if three in a row meet a crash."""
    random = Random(26)
    refused = 0
    count = 200_000
    for _ in range(count):
        crashes = 0
        while crashes < REFUSAL_THRESHOLD and random.random() < crash_rate:
            crashes += 1
        refused += crashes >= REFUSAL_THRESHOLD
    assert refused / count <= max_share
