"""Log of every order that an engine received: what checkers prove the fence of orders with."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

import msgspec

from testbed.engine.types import EngineOrder, OrderAnswer


class OrderEffect(StrEnum):
    """What an engine did with an order."""

    CARRIED_OUT = "carried_out"
    RESEND = "resend"
    REFUSED = "refused"


class OrderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One order as an engine received it.

    Attributes:
        runner_id: Engine that received it.
        incarnation: Life of the engine.
        received_ms: Wall-clock time of its arrival, in milliseconds.
        ready_ms: When the load that it begins will be ready, in milliseconds; 0 if it begins none.
        effect: What the engine did with it.
        held: Requests of the model and its adapters that ran or waited when it came.
        order: The order.
    """

    runner_id: str
    incarnation: int
    received_ms: int
    ready_ms: int
    effect: OrderEffect
    held: int
    order: EngineOrder


class OrderLog:
    """Appends each order to a JSONL file, which outlives a killed engine.

    Not safe between threads: the engine's runtime calls it under its lock.
    """

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None

    def record(self, record: OrderRecord) -> None:
        """Append one order."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b"\n")


def effect_of(answer: OrderAnswer) -> OrderEffect:
    """Return what an engine did with an order that it answered so."""
    if not answer.accepted:
        return OrderEffect.REFUSED
    return OrderEffect.RESEND if answer.is_resend else OrderEffect.CARRIED_OUT


def read_orders(path: Path) -> list[OrderRecord]:
    """Read a log file, in the order of arrival."""
    records = []
    for line in path.read_bytes().splitlines():
        try:
            records.append(msgspec.json.decode(line, type=OrderRecord))
        except msgspec.DecodeError:
            continue  # a killed engine can leave half a line
    return records
