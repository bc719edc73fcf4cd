"""Evidence against requests, verdicts, and how these end; by the questions that matter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest

from leverjunction.proxy.caller_connection import CallerRequest, request_content
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.quarantine.end_watch import PENDING_MOST, PROOF_S, EndWatch
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import RequestContent, path_part, request_key
from leverjunction.quarantine.suspects import OWN_KEPT_S, OWN_MOST, Suspects
from leverjunction.quarantine.verdicts import (
    STARTS_OF_VERDICT,
    SUSPECT_S,
    VERDICT_MOST_S,
    VERDICT_S,
    Standing,
    kept_s,
    on_trial,
    ran_on,
    standing,
    with_end,
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
        record = with_end(record, ended(start))
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
def test_which_requests_are_the_same(changes: dict[str, bytes], is_same: bool) -> None:
    assert (request_key(content(**changes)) == request_key(content())) is is_same


def test_ids_deadlines_and_stream_positions_do_not_matter() -> None:
    def request(number: int) -> CallerRequest:
        headers = [
            (b"Host", b"app.example"),
            (b"Leverjunction-Request-Id", b"r%d" % number),
            (b"Leverjunction-Deadline-Ms", b"%d" % (1000 + number)),
            (b"Last-Event-Id", b"%d" % number),
        ]
        return CallerRequest(b"POST", b"/a/1", headers, b"ask", float(number))

    assert len({request_key(request_content(request(number))) for number in range(5)}) == 1


def test_a_key_begins_with_its_path() -> None:
    assert request_key(content()).startswith(path_part(content()))
    assert path_part(content(body=b"other")) == path_part(content())


ONE = ended("a")
EVIDENCE: dict[str, tuple[tuple[EndedRun, ...], Standing]] = {
    "nothing": ((), Standing.SOUND),
    "one end": ((ONE,), Standing.SUSPECT),
    "one end told by three gateways": ((ONE, ONE, ONE), Standing.SUSPECT),
    "two ends": ((ONE, ended("b")), Standing.CAREFUL),
    "three ends, one told late and twice": (
        (ended("b"), ONE, ended("c"), ONE),
        Standing.REFUSED,
    ),
    "two ends of runs that had gone on": ((late("a"), late("b")), Standing.SOUND),
    "three of these": ((late("a"), late("b"), late("c")), Standing.SUSPECT),
    "the same end told of both kinds": ((late("a"), ONE, late("a")), Standing.SUSPECT),
    "two of runs that had just begun, three of others": (
        (ONE, ended("b"), late("c"), late("d"), late("e")),
        Standing.REFUSED,
    ),
    "nine ends of runs that had gone on": (
        tuple(late(f"i-{n}") for n in range(9)),
        Standing.REFUSED,
    ),
    "very many ends": (tuple(ended(f"i-{n}") for n in range(100)), Standing.REFUSED),
}


@pytest.mark.parametrize("name", EVIDENCE)
def test_how_much_evidence_makes_a_verdict(name: str) -> None:
    runs, expected = EVIDENCE[name]
    suspects = Suspects()
    record: SuspectRecord | None = None
    for run in runs:
        suspects.ended(run, 0.0)
        record = with_end(record, run)
    assert suspects.standing("k") is expected
    assert (standing(record) if record else Standing.SOUND) is expected
    assert record is None or len(record.starts) + len(record.late_starts) <= 24


def test_own_evidence_and_what_others_saw_count_together() -> None:
    suspects = Suspects()
    suspects.replace(SuspectList(revision=1, suspects=(record_of("a", "b"),)))
    assert suspects.standing("k") is Standing.CAREFUL
    suspects.ended(ended("b"), 0.0)
    assert suspects.standing("k") is Standing.CAREFUL
    suspects.ended(ended("c"), 0.0)
    assert suspects.standing("k") is Standing.REFUSED


def test_a_whole_answer_clears() -> None:
    suspects = Suspects()
    key = request_key(content())
    suspects.replace(SuspectList(revision=1, suspects=(record_of("a", "b"),)))
    suspects.ended(ended("c", key), 0.0)
    assert suspects.find(content()) == key
    suspects.answered(key)
    assert suspects.find(content()) == ""


def test_what_is_cleared_elsewhere_is_cleared_here() -> None:
    suspects = Suspects()
    for start in ("a", "b", "c"):
        suspects.ended(ended(start), 0.0)
    suspects.replace(SuspectList(revision=1))
    assert suspects.standing("k") is Standing.REFUSED, "not told of yet"
    suspects.replace(SuspectList(revision=2, suspects=(record_of("a", "b", "c"),)))
    suspects.replace(SuspectList(revision=3))
    assert suspects.standing("k") is Standing.SOUND


def test_own_evidence_is_bounded_in_time_and_number() -> None:
    suspects = Suspects()
    for number in range(OWN_MOST + 10):
        suspects.ended(ended("a", f"{number:048x}"), float(number > 0))
    assert suspects.counts()[0] == OWN_MOST
    suspects.expire(OWN_KEPT_S + 1.1)
    assert suspects.is_empty


def test_other_requests_are_not_hashed(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_verdict_ends_and_comes_again_for_longer() -> None:
    record = record_of("a", "b", "c")
    lengths = [kept_s(record)]
    for number in range(12):
        record = on_trial(record)
        assert standing(record) is Standing.CAREFUL
        record = with_end(record, ended(f"later-{number}"))
        assert standing(record) is Standing.REFUSED
        lengths.append(kept_s(record))
    assert lengths[:3] == [VERDICT_S, 2 * VERDICT_S, 4 * VERDICT_S]
    assert lengths[-1] == VERDICT_MOST_S
    assert kept_s(record_of("a", "b")) == SUSPECT_S


def test_a_verdict_by_ends_of_runs_that_had_gone_on_ends_too() -> None:
    record: SuspectRecord | None = None
    for number in range(9):
        record = with_end(record, late(f"i-{number}"))
    assert record is not None
    assert record.verdicts == 1
    assert standing(on_trial(record)) is Standing.CAREFUL


def test_the_leader_ends_what_is_old() -> None:
    review = SuspectReview()
    refused, suspect = record_of("a", "b", "c"), with_end(None, ended("a", "other"))
    told = SuspectList(revision=1, suspects=(refused, suspect))
    assert review.due(told, 0.0) == []
    assert review.due(told, min(VERDICT_S, SUSPECT_S) - 1.0) == []
    [change] = review.due(told, max(VERDICT_S, SUSPECT_S))
    assert (change.on_trial, change.forgotten) == (("k",), ("other",))


@pytest.mark.parametrize(
    ("first_output_s", "expected"), [(None, False), (9.9, False), (9.76, False), (9.7, True)]
)
def test_when_a_run_had_gone_on(first_output_s: float | None, expected: bool) -> None:
    assert ran_on(first_output_s, 10.0) is expected


Proof = Callable[[EndWatch], list[EndedRun]]
PROOFS: dict[str, tuple[Proof, int]] = {
    "nobody listens": (lambda watch: watch.ended("a", 0.1), 1),
    "told twice": (lambda watch: watch.ended("a", 0.1) + watch.ended("a", 0.2), 1),
    "another start ended": (lambda watch: watch.ended("b", 0.1), 0),
    "proof comes too late": (lambda watch: watch.ended("a", PROOF_S + 0.1), 0),
    "it left": (lambda watch: (watch.left("a"), watch.ended("a", 0.1))[1], 0),
}


@pytest.mark.parametrize("name", PROOFS)
def test_what_proves_that_a_start_ended(name: str) -> None:
    prove, expected = PROOFS[name]
    watch = EndWatch()
    assert watch.lost(ended("a"), 0.0) == []
    assert len(prove(watch)) == expected


def test_all_runs_of_an_ended_start_are_evidence_also_those_noticed_later() -> None:
    watch = EndWatch()
    for number in range(12):
        watch.lost(ended("a", f"k{number}"), 0.0)
    assert len(watch.ended("a", 0.1)) == 12
    assert len(watch.lost(ended("a", "late"), 0.2)) == 1


def test_runs_without_proof_are_bounded() -> None:
    watch = EndWatch()
    for number in range(PENDING_MOST + 100):
        watch.lost(ended(f"i-{number}"), 0.0)
    assert len(list(watch.pending())) <= PENDING_MOST
    watch.expire(PROOF_S + 1)
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
    "it was leaving": (
        runner("a"),
        [runner("a", state=RunnerState.LEAVING)],
        Standing.SOUND,
    ),
    "it had left": (runner("a"), [runner("b", "127.0.0.1:2")], Standing.SOUND),
    "it is listed still": (runner("a", LISTENING), [runner("a", LISTENING)], Standing.SOUND),
    "it is silent": (
        runner("a", LISTENING),
        [runner("a", LISTENING, state=RunnerState.SILENT)],
        Standing.SUSPECT,
    ),
    "another start has its address": (
        runner("a", LISTENING),
        [runner("a", LISTENING), runner("b", LISTENING)],
        Standing.SUSPECT,
    ),
    "nobody listens there": (runner("a"), [runner("a")], Standing.SUSPECT),
}


@pytest.mark.parametrize("name", REGISTRY)
def test_what_the_registry_and_a_look_say_of_a_broken_run(name: str) -> None:
    at, listed, expected = REGISTRY[name]

    async def play() -> Standing:
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
        quarantine.lost(request, "r", "id", placed(at), ran_on=False)
        await quarantine.settle(placed(at))
        quarantine.replace([placed(record) for record in listed], SuspectList())
        server.close()
        return quarantine.standing(quarantine.find(request))

    assert asyncio.run(play()) is expected


CALM_HIT = 0.01
STORM_HIT = 0.15
"""Share of runs that meet the end of their back end: on a day with crashes, and while bad requests
end one back end of nine each second under runs of a second.
"""


@pytest.mark.parametrize(("hit", "most"), [(CALM_HIT, 0.00001), (STORM_HIT, 0.005)])
def test_how_often_a_sound_request_is_refused(hit: float, most: float) -> None:
    """Two tries of two runs each: it is refused if three in a row meet an end."""
    random = Random(26)
    wrong = 0
    count = 200_000
    for _ in range(count):
        ends = 0
        while ends < STARTS_OF_VERDICT and random.random() < hit:
            ends += 1
        wrong += ends >= STARTS_OF_VERDICT
    assert wrong / count <= most
