"""Tests of the log of stream origins: what is read back, slow and full disks, clocks, bounds."""

from __future__ import annotations

import errno
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from leverjunction.clock import SystemClock, steady_s
from leverjunction.registry import origin_log
from leverjunction.registry.origin_log import OriginLog, SegmentFiles, SegmentFolder
from leverjunction.registry.origin_segments import (
    DOUBT_S,
    MAX_CLOCK_ERROR_S,
    MAX_SEGMENT_BYTES,
    MAX_TOTAL_BYTES,
    Moment,
    OriginBatch,
    SegmentPlan,
    WaitingOrigins,
    decode_batches,
    encode_batch,
    make_batch,
)
from leverjunction.registry.origins import KEEP_ORIGIN_S, StreamOrigin

OLD, NEW = StreamOrigin("pool", "v1"), StreamOrigin("pool", "v1.1")
BOOT, ANOTHER_BOOT = 11, 12
HOUR_S = 3600.0


def batch(streams: dict[int, StreamOrigin], wall_ms: int = 0, steady: float = 0.0) -> OriginBatch:
    return make_batch(streams, Moment(wall_ms, steady, BOOT))


FIRST, LAST = batch({1: OLD, 2: NEW}), batch({3: NEW, 2**64 - 1: OLD})


class TestFormat:
    def test_what_is_encoded_is_decoded(self) -> None:
        segment = encode_batch(FIRST) + encode_batch(LAST)
        batches, used = decode_batches(segment)
        assert used == len(segment)
        assert [item.streams() for item in batches] == [{1: OLD, 2: NEW}, {3: NEW, 2**64 - 1: OLD}]

    def test_a_tail_torn_at_any_byte_is_cut_off(self) -> None:
        first, last = encode_batch(FIRST), encode_batch(LAST)
        for end in range(len(last)):
            assert decode_batches(first + last[:end]) == ([FIRST], len(first))

    def test_a_flipped_byte_cuts_off_its_record(self) -> None:
        first, last = encode_batch(FIRST), encode_batch(LAST)
        for place in range(len(last)):
            for mask in (0x01, 0x80, 0xFF):
                broken = bytearray(last)
                broken[place] ^= mask
                assert decode_batches(first + bytes(broken)) == ([FIRST], len(first))

    @pytest.mark.parametrize("tail", [bytes(1), bytes(8), bytes(4096), b"\xff" * 64])
    def test_zeros_and_noise_after_the_last_record_are_cut_off(self, tail: bytes) -> None:
        first = encode_batch(FIRST)
        assert decode_batches(first + tail) == ([FIRST], len(first))

    @given(st.binary(max_size=200))
    def test_no_content_of_a_file_raises(self, content: bytes) -> None:
        batches, used = decode_batches(content)
        assert (used == 0) == (not batches)

    def test_a_key_that_no_record_can_hold_is_left_out(self) -> None:
        assert batch({-1: OLD, 2**64: OLD, 5: OLD}).streams() == {5: OLD}


def test_180_000_origins_in_batches_of_20_ms_take_less_than_5_mb() -> None:
    random = Random(1)
    origins = [StreamOrigin(f"service-{n}", version) for n in range(20) for version in "ab"]
    size = 0
    for _ in range(3000):
        streams = {random.getrandbits(64): random.choice(origins) for _ in range(60)}
        size += len(encode_batch(batch(streams, 1_700_000_000_000, 1_000.5)))
    assert size < 5_000_000


def moment(wall_s: float, steady: float, boot: int = BOOT) -> Moment:
    return Moment(int(wall_s * 1000), steady, boot)


class TestAge:
    WRITTEN = make_batch({1: OLD}, moment(10_000.0, 500.0))

    @pytest.mark.parametrize("wall_s", [10_020.0, 10_020.0 - 30 * 24 * HOUR_S, 10_020.0 + HOUR_S])
    def test_a_wall_clock_that_is_set_does_not_matter_within_one_boot(self, wall_s: float) -> None:
        assert self.WRITTEN.age_s(moment(wall_s, 520.0)) == 20.0
        assert self.WRITTEN.age_s(moment(wall_s, 500.0 + 61.0)) == 61.0

    @pytest.mark.parametrize(
        "ahead_s", [-30 * 24 * HOUR_S, -HOUR_S, -1.0, 0.0, 20.0, 61.0, HOUR_S, MAX_CLOCK_ERROR_S]
    )
    def test_after_another_boot_a_record_that_may_be_alive_counts_as_new(
        self, ahead_s: float
    ) -> None:
        for boot in (ANOTHER_BOOT, 0):
            assert self.WRITTEN.age_s(moment(10_000.0 + ahead_s, 3.0, boot)) == 0.0

    def test_after_another_boot_a_very_old_record_is_old(self) -> None:
        now = moment(10_001.0 + MAX_CLOCK_ERROR_S, 3.0, ANOTHER_BOOT)
        assert self.WRITTEN.age_s(now) > KEEP_ORIGIN_S

    def test_without_an_id_of_the_boot_monotonic_times_are_not_compared(self) -> None:
        unknown = msgspec.structs.replace(self.WRITTEN, boot=0)
        assert unknown.age_s(moment(10_000.0, 5_000.0, 0)) == 0.0

    def test_a_monotonic_time_that_is_later_than_now_counts_as_now(self) -> None:
        assert self.WRITTEN.age_s(moment(10_000.0, 499.0)) == 0.0


class TestSegmentPlan:
    def test_segments_are_rotated_and_removed_after_the_lifetime_of_a_stream(self) -> None:
        plan = SegmentPlan()
        held: set[int] = set()
        for second in range(600):
            for number in plan.unneeded(30_000, float(second)):
                plan.remove(number)
                held.remove(number)
            held.add(plan.select(30_000, float(second)))
            plan.grow(30_000)
            assert len(held) <= 3
            written_s = min(second, DOUBT_S)
            most_s = DOUBT_S + KEEP_ORIGIN_S + 3
            assert 30_000 * written_s <= _bytes(plan) <= 30_000 * most_s

    @given(st.lists(st.tuples(st.integers(1, MAX_SEGMENT_BYTES), st.floats(0.0, 40.0))))
    def test_no_more_than_the_most_bytes_are_held(self, records: list[tuple[int, float]]) -> None:
        plan, now_s = SegmentPlan(), 0.0
        for size, pause_s in records:
            now_s += pause_s
            for number in plan.unneeded(size, now_s):
                plan.remove(number)
            plan.select(size, now_s)
            plan.grow(size)
            assert _bytes(plan) <= MAX_TOTAL_BYTES
            assert plan.size <= MAX_SEGMENT_BYTES

    def test_a_live_segment_is_removed_only_for_want_of_space(self) -> None:
        plan = SegmentPlan()
        plan.adopt(1, 100, 0.0)
        plan.adopt(2, MAX_SEGMENT_BYTES, 0.0)
        plan.adopt(3, MAX_SEGMENT_BYTES, 0.0)
        plan.adopt(4, MAX_SEGMENT_BYTES - 100, 0.0)
        assert plan.unneeded(0, DOUBT_S) == []
        assert plan.unneeded(50, 0.0) == [1]
        assert plan.unneeded(50, DOUBT_S + 0.1) == [1, 2, 3, 4]
        # An empty log would be taken for a lost one.
        assert plan.unneeded(0, DOUBT_S + 0.1) == [1, 2, 3]
        assert plan.select(50, 0.0) == 5


def _bytes(plan: SegmentPlan) -> int:
    return plan.size + sum(size for _, size, _ in plan._closed)


class TestWaitingOrigins:
    def test_the_newest_are_kept_within_the_bound(self) -> None:
        waiting = WaitingOrigins(100)
        for stream in range(1000):
            waiting.add({stream: OLD})
            assert len(waiting) <= 100
        assert waiting.dropped + len(waiting) == 1000
        taken = waiting.take()
        assert list(taken) == list(range(1000 - len(taken), 1000))
        assert len(taken) >= 50
        assert len(waiting) == 0

    def test_what_was_not_written_comes_first_unless_there_is_too_much(self) -> None:
        waiting = WaitingOrigins(100)
        waiting.add({1: OLD})
        taken = waiting.take()
        waiting.add({2: OLD, 1: NEW})
        waiting.put_back(taken)
        assert waiting.take() == {1: NEW, 2: OLD}
        waiting.add(dict.fromkeys(range(40), OLD))
        waiting.put_back(dict.fromkeys(range(100, 180), OLD))
        assert (len(waiting), waiting.dropped) == (40, 80)


class SetClock:
    """A clock whose wall time can be set."""

    def __init__(self) -> None:
        self.ahead_ms = 0

    def monotonic_s(self) -> float:
        return steady_s()

    def wall_ms(self) -> int:
        return SystemClock().wall_ms() + self.ahead_ms


class FaultyFolder(SegmentFolder):
    """A folder whose disk can be full, fail to sync, stand still, or write a part only."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.is_full = False
        self.cannot_sync = False
        self.goes_on = threading.Event()
        self.goes_on.set()
        self.waits = threading.Event()
        self.writes = 0

    def write(self, number: int, offset: int, content: bytes) -> None:
        self.writes += 1
        if self.is_full:
            super().write(number, offset, content[: len(content) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        super().write(number, offset, content)

    def sync(self) -> None:
        if not self.goes_on.is_set():
            self.waits.set()
            assert self.goes_on.wait(30.0)
        if self.cannot_sync:
            raise OSError(errno.EIO, "input/output error")
        super().sync()


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    lines: list[str] = []
    handler = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(handler)


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(origin_log, "RETRY_PAUSE_S", 0.05)
    monkeypatch.setattr(origin_log, "SYNC_INTERVAL_S", 0.02)


def start(
    stack: ExitStack, files: SegmentFiles, clock: SetClock | None = None, boot: int = BOOT
) -> tuple[OriginLog, dict[int, StreamOrigin]]:
    """Return the log of a process that has just started, and what it read."""
    log = OriginLog(files, clock or SetClock(), boot, most_waiting=1000)
    loaded: dict[int, StreamOrigin] = {}
    for age_s, batch in log.load():
        assert 0.0 <= age_s <= DOUBT_S
        if age_s <= KEEP_ORIGIN_S:
            loaded.update(batch.streams())
    stack.callback(log.close)
    return log, loaded


def comes_true(condition: Callable[[], bool], timeout_s: float = 5.0) -> bool:
    until_s = steady_s() + timeout_s
    pause = threading.Event()
    while not condition() and steady_s() < until_s:
        pause.wait(0.005)
    return condition()


def on_disk(folder: Path) -> dict[int, StreamOrigin]:
    """Return what a process that starts now would read."""
    return _read_all(SegmentFolder(folder))


def _read_all(files: SegmentFolder) -> dict[int, StreamOrigin]:
    origins: dict[int, StreamOrigin] = {}
    for number in files.numbers():
        for item in decode_batches(files.read(number))[0]:
            origins.update(item.streams())
    return origins


def test_origins_survive_a_restart(stack: ExitStack, tmp_path: Path) -> None:
    log, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {}
    log.append({1: OLD})
    log.append({2: NEW})
    log.close()
    _, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {1: OLD, 2: NEW}


def test_origins_survive_an_end_without_a_stop(stack: ExitStack, tmp_path: Path) -> None:
    log, _ = start(stack, SegmentFolder(tmp_path / "origins"))
    log.append({1: OLD})
    assert comes_true(lambda: on_disk(tmp_path / "origins") == {1: OLD})
    _, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {1: OLD}


def test_origins_survive_two_starts_in_a_row(stack: ExitStack, tmp_path: Path) -> None:
    for stream in range(5):
        log, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
        assert loaded == dict.fromkeys(range(stream), NEW)
        log.append({stream: NEW})
        log.close()


def test_a_start_after_a_torn_record_keeps_what_precedes_it(
    stack: ExitStack, tmp_path: Path
) -> None:
    log, _ = start(stack, SegmentFolder(tmp_path / "origins"))
    log.append({1: OLD})
    log.close()
    (segment,) = (tmp_path / "origins").iterdir()
    segment.write_bytes(segment.read_bytes() + encode_batch(LAST)[:-1])
    log, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {1: OLD}
    log.append({2: NEW})
    log.close()
    _, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {1: OLD, 2: NEW}


def test_nothing_is_written_while_nothing_is_reported(stack: ExitStack, tmp_path: Path) -> None:
    """But for the one record that tells when the log began."""
    for _ in range(3):
        log, _ = start(stack, SegmentFolder(tmp_path / "origins"))
        log.append({})
        log.close()
        (segment,) = (tmp_path / "origins").iterdir()
        (record,) = decode_batches(segment.read_bytes())[0]
        assert not record.groups


def test_a_full_disk_fails_no_report_and_is_written_again(stack: ExitStack, tmp_path: Path) -> None:
    files = FaultyFolder(tmp_path / "origins")
    log, _ = start(stack, files)
    log.append({1: OLD})
    assert comes_true(lambda: on_disk(tmp_path / "origins") == {1: OLD})
    files.is_full = True
    log.append({2: OLD})
    assert comes_true(lambda: log.failed_writes >= 3)
    log.append({3: OLD})
    files.is_full = False
    # What the failed writes left behind is in the way of nothing.
    assert comes_true(lambda: on_disk(tmp_path / "origins") == {1: OLD, 2: OLD, 3: OLD})


def test_a_full_disk_is_logged_once(stack: ExitStack, tmp_path: Path, log_lines: list[str]) -> None:
    files = FaultyFolder(tmp_path / "origins")
    files.is_full = True
    log, _ = start(stack, files)
    log.append({1: OLD})
    assert comes_true(lambda: log.failed_writes >= 3)
    files.is_full = False
    assert comes_true(lambda: any("written again" in line for line in log_lines))
    assert sum("cannot write" in line for line in log_lines) == 1


def test_space_is_left_to_the_consensus_log(
    stack: ExitStack, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files = FaultyFolder(tmp_path / "origins")
    monkeypatch.setattr(files, "free_bytes", lambda: origin_log.RESERVED_BYTES)
    log, _ = start(stack, files)
    log.append({1: OLD})
    assert comes_true(lambda: log.failed_writes >= 2)
    assert files.writes == 0


def test_a_disk_that_stands_still_holds_no_report_and_bounded_memory(
    stack: ExitStack, tmp_path: Path
) -> None:
    files = FaultyFolder(tmp_path / "origins")
    log, _ = start(stack, files)
    files.goes_on.clear()
    stack.callback(files.goes_on.set)
    log.append({1: OLD})
    assert files.waits.wait(5.0)
    began_s = steady_s()
    for stream in range(2, 5002):
        log.append({stream: OLD})
    assert steady_s() - began_s < 5.0
    assert len(log._waiting) <= 1000
    assert log.dropped >= 4000
    files.goes_on.set()
    assert comes_true(lambda: 5001 in on_disk(tmp_path / "origins"))
    assert len(on_disk(tmp_path / "origins")) == 5001 - log.dropped


def test_a_disk_that_stands_still_does_not_hold_up_the_stop(
    stack: ExitStack, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(origin_log, "CLOSE_TIMEOUT_S", 0.05)
    files = FaultyFolder(tmp_path / "origins")
    log, _ = start(stack, files)
    files.goes_on.clear()
    stack.callback(files.goes_on.set)
    log.append({1: OLD})
    assert files.waits.wait(5.0)
    began_s = steady_s()
    log.close()
    assert steady_s() - began_s < 5.0


def test_a_failed_sync_loses_nothing_that_is_read_later(stack: ExitStack, tmp_path: Path) -> None:
    files = FaultyFolder(tmp_path / "origins")
    files.cannot_sync = True
    log, _ = start(stack, files)
    log.append({1: OLD})
    assert comes_true(lambda: log.failed_writes >= 2)
    files.cannot_sync = False
    log.append({2: NEW})
    log.close()
    _, loaded = start(stack, SegmentFolder(tmp_path / "origins"))
    assert loaded == {1: OLD, 2: NEW}


@pytest.mark.parametrize("boot", [BOOT, ANOTHER_BOOT, 0])
@pytest.mark.parametrize("ahead_s", [-30 * 24 * HOUR_S, -HOUR_S, HOUR_S, 12 * HOUR_S])
def test_a_clock_that_is_set_loses_no_origin(
    stack: ExitStack, tmp_path: Path, ahead_s: float, boot: int
) -> None:
    clock = SetClock()
    log, _ = start(stack, SegmentFolder(tmp_path / "origins"), clock)
    log.append({1: OLD})
    log.close()
    clock.ahead_ms = int(ahead_s * 1000)
    _, loaded = start(stack, SegmentFolder(tmp_path / "origins"), clock, boot)
    assert loaded == {1: OLD}


@pytest.mark.parametrize(
    ("age_s", "is_kept"), [(KEEP_ORIGIN_S - 1, True), (KEEP_ORIGIN_S + 1, False)]
)
def test_origins_that_are_kept_no_longer_are_not_read(
    stack: ExitStack, tmp_path: Path, age_s: float, is_kept: bool
) -> None:
    files = SegmentFolder(tmp_path / "origins")
    files.write(1, 0, encode_batch(batch({1: OLD}, 0, steady_s() - age_s)))
    files.close()
    _, loaded = start(stack, files)
    assert loaded == ({1: OLD} if is_kept else {})


def test_segments_of_former_starts_are_removed_after_a_lifetime(
    stack: ExitStack, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log, _ = start(stack, SegmentFolder(tmp_path / "origins"))
    log.append({1: OLD})
    log.close()
    clock = SetClock()
    skipped_s = 0.0
    monkeypatch.setattr(clock, "monotonic_s", lambda: steady_s() + skipped_s)
    log, _ = start(stack, SegmentFolder(tmp_path / "origins"), clock)
    skipped_s = DOUBT_S + 1.0
    log.append({2: NEW})
    assert comes_true(lambda: on_disk(tmp_path / "origins") == {2: NEW})


def test_other_files_and_unreadable_segments_are_passed_over(
    stack: ExitStack, tmp_path: Path
) -> None:
    folder = tmp_path / "origins"
    log, _ = start(stack, SegmentFolder(folder))
    log.append({1: OLD})
    log.close()
    (folder / "notes.log").write_text("not a segment")
    (folder / "0000000007.log").mkdir()
    log, loaded = start(stack, SegmentFolder(folder))
    assert loaded == {1: OLD}
    log.append({2: NEW})
    assert comes_true(lambda: (folder / "0000000008.log").exists())
