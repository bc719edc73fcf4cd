"""Encoding of the loads of all back ends as a row."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from leverjunction.proxy.load_row import MAX_LOAD, BackEndOrder

IDS = st.lists(st.text(min_size=1, max_size=12), unique=True, max_size=40)


@given(IDS, st.data())
def test_a_row_round_trips_the_known_loads(ids: list[str], data: st.DataObject) -> None:
    known = data.draw(st.sets(st.sampled_from(ids))) if ids else set()
    loads = {key: data.draw(st.integers(0, MAX_LOAD)) for key in known}
    assert BackEndOrder(ids).unpack(BackEndOrder(reversed(ids)).pack(loads)) == loads


def test_a_load_that_does_not_fit_is_capped() -> None:
    order = BackEndOrder(["a"])
    assert order.unpack(order.pack({"a": 4000})) == {"a": MAX_LOAD}


def test_the_key_depends_on_the_set_of_back_ends_only() -> None:
    assert BackEndOrder(["b", "a"]).key == BackEndOrder(["a", "b"]).key
    assert BackEndOrder(["a", "b"]).key != BackEndOrder(["a", "b", "c"]).key
