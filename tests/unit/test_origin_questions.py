"""Tests of the questions about origins of streams: which are sent, and what answers mean."""

from __future__ import annotations

from leverjunction.registry.origin_questions import MAX_STREAMS_ASKED, Lookup, OriginQuestions
from leverjunction.registry.origins import (
    STREAM_LIFETIME_S,
    FoundOrigins,
    OriginSource,
    StreamOrigin,
)

SERVICE = "pool"
NEW = StreamOrigin(SERVICE, "v1.1")
PEERS = ("a", "b", "c")
NONE_KNOWN = FoundOrigins(kept_s=STREAM_LIFETIME_S)


def begin(questions: OriginQuestions, *streams: int) -> list[Lookup]:
    lookups = [Lookup(stream, SERVICE) for stream in streams]
    for lookup in lookups:
        questions.begin(lookup, PEERS)
    return lookups


def asked(questions: OriginQuestions, peer: str) -> list[int]:
    question = questions.next_question(peer)
    return [] if question is None else question.services[SERVICE]


def test_a_control_process_is_asked_one_question_at_a_time_for_all_streams() -> None:
    questions = OriginQuestions()
    begin(questions, 1)
    assert asked(questions, "a") == [1]
    begin(questions, 2, 3)
    assert set(questions.peers()) == {"b", "c"}
    assert asked(questions, "a") == []
    assert asked(questions, "b") == [1, 2, 3]
    questions.answered("a", NONE_KNOWN)
    assert asked(questions, "a") == [2, 3]


def test_the_first_positive_answer_ends_a_lookup() -> None:
    questions = OriginQuestions()
    (lookup,) = begin(questions, 1)
    for peer in PEERS:
        asked(questions, peer)
    assert questions.answered("a", NONE_KNOWN) == {}
    found = questions.answered("b", FoundOrigins(origins={1: NEW}))
    assert found[lookup].origin == NEW
    assert len(questions) == 0


def test_a_lookup_whose_caller_is_gone_gets_into_no_further_question() -> None:
    questions = OriginQuestions()
    begin(questions, 1, 2)
    assert asked(questions, "a") == [1, 2]
    questions.drop(Lookup(1, SERVICE))
    assert asked(questions, "b") == [2]
    assert questions.answered("a", NONE_KNOWN) == {}


def test_one_question_holds_a_bounded_number_of_streams() -> None:
    questions = OriginQuestions()
    begin(questions, *range(MAX_STREAMS_ASKED + 5))
    assert len(asked(questions, "a")) == MAX_STREAMS_ASKED
    questions.answered("a", None)
    assert len(asked(questions, "a")) == 5


def test_no_answer_and_nobody_knows_are_different() -> None:
    for last, kept_s, source in (
        (NONE_KNOWN, STREAM_LIFETIME_S, OriginSource.NOBODY_KNOWS),
        (None, STREAM_LIFETIME_S, OriginSource.NO_ANSWER),
        (NONE_KNOWN, STREAM_LIFETIME_S - 1, OriginSource.RESTARTED),
    ):
        questions = OriginQuestions()
        (lookup,) = begin(questions, 1)
        for peer in PEERS:
            asked(questions, peer)
        questions.answered("a", FoundOrigins(kept_s=kept_s))
        questions.answered("b", NONE_KNOWN)
        assert questions.answered("c", last)[lookup].source is source


def test_the_only_version_counts_once_nobody_else_can_know_better() -> None:
    questions = OriginQuestions()
    (lookup,) = begin(questions, 1)
    for peer in PEERS:
        asked(questions, peer)
    only = FoundOrigins(only_versions={SERVICE: "v1"}, kept_s=STREAM_LIFETIME_S)
    assert questions.answered("a", only) == {}
    assert questions.answered("b", None) == {}
    found = questions.give_up(lookup)
    assert (found.origin, found.source) == (
        StreamOrigin(SERVICE, "v1"),
        OriginSource.ONLY_VERSION,
    )
    assert (found.answered, found.asked) == (1, 3)
