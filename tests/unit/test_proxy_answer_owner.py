"""Tells whose answer arrives on a connection that has carried several requests."""

from __future__ import annotations

import pytest

from leverjunction.proxy.answer_owner import (
    MAX_CARRIED_REQUESTS,
    AnswerOwner,
    CarriedRequests,
)


@pytest.mark.parametrize(
    ("carried", "answer_id", "owner"),
    [
        (["a"], "a", AnswerOwner.OWN),
        (["a"], "b", AnswerOwner.FOREIGN),
        (["a"], "", AnswerOwner.UNNAMED),
        (["a", "b"], "b", AnswerOwner.OWN),
        (["a", "b"], "a", AnswerOwner.EARLIER),
        (["a", "b"], "c", AnswerOwner.FOREIGN),
        (["a", "b", "a"], "b", AnswerOwner.EARLIER),
        (["", "b"], "", AnswerOwner.EARLIER),
        (["", "b"], "b", AnswerOwner.OWN),
    ],
)
def test_the_id_of_an_answer_tells_whose_it_is(
    carried: list[str], answer_id: str, owner: AnswerOwner
) -> None:
    requests = CarriedRequests()
    for request_id in carried:
        requests.add(request_id)
    assert len(requests) == len(carried)
    assert requests.owner_of(answer_id) is owner


@pytest.mark.parametrize(("is_named", "is_full"), [(True, True), (False, False)])
def test_a_connection_is_replaced_after_many_requests_with_an_id(
    is_named: bool, is_full: bool
) -> None:
    """Reads of a load have none, and would cost a connection each few seconds."""
    requests = CarriedRequests()
    for number in range(MAX_CARRIED_REQUESTS):
        assert not requests.is_full
        requests.add(f"r{number}" if is_named else "")
    assert requests.is_full is is_full
    assert requests.has("r0") is is_named
