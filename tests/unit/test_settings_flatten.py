"""Conversion of nested documents to leaves, and the content hash of leaves."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverjunction.settings.flatten import (
    EMPTY_HASH,
    FlattenError,
    content_hash,
    difference,
    flatten,
    unflatten,
    update_hash,
)

KEYS = st.text(st.characters(codec="utf-8", exclude_characters="/"), min_size=1, max_size=4)
VALUES = st.one_of(
    st.integers(-9, 9), st.floats(0, 1), st.booleans(), st.lists(st.text(), max_size=2)
)
DOCUMENTS = st.recursive(
    st.dictionaries(KEYS, VALUES, max_size=3),
    lambda inner: st.dictionaries(KEYS, st.one_of(VALUES, inner), max_size=3),
    max_leaves=8,
)


@given(DOCUMENTS)
def test_round_trip(document: dict[str, object]) -> None:
    assert unflatten(flatten(document)) == document


@given(DOCUMENTS, DOCUMENTS)
def test_an_updated_hash_equals_the_full_hash(
    old: dict[str, object], new: dict[str, object]
) -> None:
    before, after = flatten(old), flatten(new)
    changes = difference(before, after)
    removed = {leaf.path: before[leaf.path] for leaf in changes if leaf.path in before}
    added = {leaf.path: leaf.value for leaf in changes if not leaf.deleted}
    assert update_hash(content_hash(before), removed, added) == content_hash(after)


def test_empty_mappings_survive_and_none_is_absent() -> None:
    assert flatten({"models": {"m": {}}, "x": None}) == {"models/m": {}}


@pytest.mark.parametrize("document", [{"a/b": 1}, {"a": {"": 1}}, {"a": {3: 1}}])
def test_keys_that_cannot_be_part_of_a_path(document: dict[str, object]) -> None:
    with pytest.raises(FlattenError):
        flatten(document)


@pytest.mark.parametrize(
    ("one", "other"),
    [({"a": 1}, {"a": 1.0}), ({"a": 1}, {"a": True}), ({"a": "b"}, {"ab": ""}), ({"a": []}, {})],
)
def test_different_leaves_have_different_hashes(
    one: dict[str, object], other: dict[str, object]
) -> None:
    assert content_hash(one) != content_hash(other)
    assert difference(one, other)
    assert content_hash({}) == EMPTY_HASH
