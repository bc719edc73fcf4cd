"""Cost of the settings by tenants and by changes: in a gateway, and in the root group."""

from __future__ import annotations

import sqlite3
import tracemalloc
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

from leverjunction.consensus.api import ApplyContext
from leverjunction.settings.commands import ApplyChange, GetSettings, LeafChange
from leverjunction.settings.flatten import EMPTY_HASH, update_hash
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.settings.state_machine import SettingsStateMachine
from leverjunction.wire.codec import encode
from leverjunction.wire.messages import SettingRow
from testbed.scale.operators import initial_leaves
from testbed.scale.options import ScaleOptions
from testbed.scale.slope_report import Slope, processor_s, slope
from testbed.scale.slopes import Point

TENANTS = (100, 700, 1400, 2800, 5600)
CHANGES = (100, 400, 800, 1600)
MS = 1e3
US = 1e6
CHANGE_BATCH = 50


def measure() -> list[Slope]:
    """Return all slopes of the settings."""
    return [*_gateway_slopes(), *_root_slopes()]


def _rows(tenants: int) -> list[SettingRow]:
    leaves = initial_leaves(ScaleOptions(tenants=tenants))
    return [SettingRow(path=path, value=value, version=1) for path, value in leaves.items()]


def _gateway_slopes() -> list[Slope]:
    sent: list[Point] = []
    load: list[Point] = []
    change: list[Point] = []
    copy: list[Point] = []
    memory: list[Point] = []
    for tenants in TENANTS:
        rows = _rows(tenants)
        settings = ResolvedSettings.from_rows(rows, 1)
        row = SettingRow(path="services/llm/serving/max_queue", value=7, version=2)
        sent.append(Point(tenants, len(encode(rows))))
        load.append(Point(tenants, processor_s(partial(ResolvedSettings.from_rows, rows, 1)) * MS))
        change.append(Point(tenants, processor_s(partial(settings.apply, [row], 2)) * MS))
        copy.append(Point(tenants, processor_s(partial(_encode_copy, settings)) * MS))
        memory.append(Point(tenants, _memory_bytes(tenants)))
    return [
        slope("settings: bytes of a full copy", "B", "tenant", sent),
        slope("settings: gateway loads all", "ms", "tenant", load),
        slope("settings: gateway applies one changed leaf", "ms", "tenant", change),
        slope("settings: gateway encodes its copy for the disk", "ms", "tenant", copy),
        slope("settings: memory of a gateway (allocated)", "B", "tenant", memory),
    ]


def _encode_copy(settings: ResolvedSettings) -> None:
    encode(list(settings.rows()))


def _memory_bytes(tenants: int) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    settings = ResolvedSettings.from_rows(_rows(tenants), 1)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert settings.version == 1
    return after - before


def _root_slopes() -> list[Slope]:
    apply: list[Point] = []
    full: list[Point] = []
    disk: list[Point] = []
    for tenants in TENANTS:
        with TemporaryDirectory() as folder:
            root = _Root(Path(folder), tenants)
            taken_s = processor_s(root.make_changes)
            apply.append(Point(tenants, taken_s * US / CHANGE_BATCH))
            full.append(Point(tenants, processor_s(root.read_all) * MS))
            disk.append(Point(tenants, root.disk_bytes))
    history: list[Point] = []
    with TemporaryDirectory() as folder:
        root = _Root(Path(folder), TENANTS[0])
        for changes in CHANGES:
            while root.version < changes:
                root.make_changes()
            history.append(Point(root.version, root.disk_bytes))
    return [
        slope("root: apply a change of one leaf, no replication", "us", "tenant", apply),
        slope("root: read all leaves for a blank gateway", "ms", "tenant", full),
        slope("root: state on disk", "B", "tenant", disk),
        slope("root: state on disk by changes kept", "B", "change", history),
    ]


class _Root:
    """A settings state machine on a file, without replication."""

    def __init__(self, folder: Path, tenants: int) -> None:
        self._path = folder / "root.sqlite"
        self._machine = SettingsStateMachine()
        self._connection = sqlite3.connect(self._path, isolation_level=None)
        self._machine.create_tables(self._connection)
        self._hash = EMPTY_HASH
        self._leaves: dict[str, object] = {}
        self.version = 0
        self._change(initial_leaves(ScaleOptions(tenants=tenants)))

    @property
    def disk_bytes(self) -> int:
        return self._path.stat().st_size

    def make_changes(self) -> None:
        self._connection.execute("BEGIN")
        for _ in range(CHANGE_BATCH):
            self._change({"services/llm/serving/max_queue": self.version + 1000})
        self._connection.execute("COMMIT")

    def read_all(self) -> None:
        self._machine.query(self._connection, encode(GetSettings(after_version=0)))

    def _change(self, added: dict[str, object]) -> None:
        removed = {path: self._leaves[path] for path in added if path in self._leaves}
        self._hash = update_hash(self._hash, removed, added)
        command = ApplyChange(
            change_id=f"change-{self.version}",
            base_version=self.version,
            content_hash=self._hash,
            author="scale",
            changes=[LeafChange(path=path, value=value) for path, value in added.items()],
        )
        context = ApplyContext(index=self.version + 1, term=1, wall_ms=self.version + 1)
        reply = self._machine.apply(self._connection, context, encode(command))
        assert b'"accepted":true' in reply, reply[:300]
        self._leaves.update(added)
        self.version += 1
