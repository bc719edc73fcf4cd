"""Reads the back ends' load while there is batch work, and keeps the room that follows from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger

from leverjunction.lots.batch_capacity import RunnerCapacity, ServiceCapacity
from leverjunction.lots.item_status import ServiceSight
from leverjunction.lots.lost_runs import LostRuns, Report
from leverjunction.lots.told_loads import ToldLoads
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.runner_seat import RunnerSeat

READ_INTERVAL_S = 0.1
"""Pause between two readings of a back end: how soon batch learns that it has to give way."""

READS_PER_S = 200
"""Of all back ends of a service together: many of them are read less often."""

LOG_INTERVAL_S = 5.0
NEAR_ROOM = 3
"""Slots that a back end in this zone must have free to be preferred to one with more elsewhere."""


class LoadWatch:
    """Used by one event loop.

    Args:
        sender: Sends the readings.
        balancer: Knows the back ends.
        zone: Zone of this process.
        read: Called after each reading.

    Attributes:
        lost_runs: Takes each reading too.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        zone: str,
        read: Callable[[], None],
    ) -> None:
        self._sender = sender
        self._balancer = balancer
        self._zone = zone
        self._read_one = read
        self._rooms: dict[str, ServiceCapacity] = {}
        self._reading: dict[str, asyncio.Task[None]] = {}
        self._logged_s = float("-inf")
        self.lost_runs = LostRuns()
        self._loop = asyncio.get_running_loop()

    def clear(self) -> None:
        """Forget all: another store leads the group."""
        self._rooms.clear()
        self.lost_runs.clear()

    def keep(self, runner_ids: frozenset[str]) -> None:
        """Forget back ends that are gone."""
        for room in self._rooms.values():
            room.keep(runner_ids)
        self.lost_runs.keep(runner_ids)

    def poll(self, services: Iterable[str]) -> None:
        """Ask every back end of these services for its load, a few times a second."""
        now_s = self._loop.time()
        for service in services:
            self._room(service).note(now_s)
            seats = self._balancer.seats(service)
            pause_s = max(READ_INTERVAL_S, len(seats) / READS_PER_S)
            for seat in seats:
                key = seat.record.start
                if key not in self._reading:
                    self._reading[key] = self._loop.create_task(self._read(seat, pause_s))

    def apply_gateway_loads(self, loads: ToldLoads) -> None:
        """Take what gateways tell of their online requests."""
        now_s = self._loop.time()
        loads.expire(now_s)
        for service, room in self._rooms.items():
            for key, seat in room.seats.items():
                seat.tell(loads.at_runner(key), now_s)
            room.hear(loads.tellers, loads.interval_s(), loads.held(service))
            room.note(now_s)

    def online(self) -> dict[str, int]:
        """Return the online requests at each back end whose load is known."""
        now_s = self._loop.time()
        rooms = self._rooms.values()
        return {key: seat.online for room in rooms for key, seat in room.read(now_s)}

    def capacity_at(self, seat: RunnerSeat) -> RunnerCapacity:
        """Return what is known of one back end."""
        return self._room(seat.record.service).seat(seat.record.start, seat.record.slots)

    def pick_runner(self, service: str) -> RunnerSeat | None:
        """Return the back end with most room for batch; None while online requests need it all."""
        now_s = self._loop.time()
        if self._room(service).allowance(now_s) <= 0:
            return None
        free = [
            (self.capacity_at(seat).free(now_s), seat)
            for seat in self._balancer.seats(service)
            if seat.ejected_until_s <= now_s
        ]
        room, seat = max(free, key=self._preference, default=(0, None))
        return seat if room > 0 else None

    def sight(self, service: str) -> ServiceSight:
        """Return what decides on the room of a service, for a person."""
        now_s = self._loop.time()
        seats = self._balancer.seats(service)
        room = self._rooms.get(service)
        free = {key: seat.free(now_s) for key, seat in room.read(now_s)} if room else {}
        sound: list[int | None] = []
        ejected: list[int | None] = []
        for seat in seats:
            kept = sound if seat.ejected_until_s <= now_s else ejected
            kept.append(free.get(seat.record.start))
        return ServiceSight(
            known=len(seats),
            sound=len(sound),
            read=sum(1 for count in sound if count is not None),
            allowance=room.allowance(now_s) if room else 0,
            free=max((count or 0 for count in sound), default=0),
            free_ejected=max((count or 0 for count in ejected), default=0),
        )

    def to_park(self) -> list[str]:
        """Return the back ends at which a batch run should be parked, one entry for each run."""
        now_s = self._loop.time()
        parked: list[str] = []
        for room in self._rooms.values():
            here = {key: seat.excess(now_s) for key, seat in room.seats.items()}
            left = room.excess(now_s) - sum(here.values())
            own = {key: seat.own - here[key] for key, seat in room.read(now_s)}
            while left > 0 and any(own.values()):
                fullest = max(own, key=lambda key: (own[key], key))
                own[fullest] -= 1
                here[fullest] += 1
                left -= 1
            parked += [key for key, count in here.items() for _ in range(count)]
        return parked

    def is_to_log(self) -> bool:
        """Return whether it is time for the next line."""
        return self._loop.time() - self._logged_s >= LOG_INTERVAL_S

    def log(self, open_items: int, running: int) -> None:
        """Say how much runs, and why not more."""
        now_s = self._loop.time()
        self._logged_s = now_s
        for service, room in self._rooms.items():
            logger.info(
                "batch of {}: {} open, {} running, {} may be added; online peak {}, now {},"
                " {} slots read",
                service,
                open_items,
                running,
                *room.figures(now_s),
            )

    def _room(self, service: str) -> ServiceCapacity:
        return self._rooms.setdefault(service, ServiceCapacity())

    def _preference(self, candidate: tuple[int, RunnerSeat]) -> tuple[bool, int, str]:
        """Rank back ends: with room in this zone, as bodies are large; then by room."""
        room, seat = candidate
        near = seat.record.zone == self._zone and room >= NEAR_ROOM
        return (near, room, seat.record.start)

    async def _read(self, seat: RunnerSeat, pause_s: float) -> None:
        try:
            load = await self._sender.read_load(seat)
            if load is None:
                self._sender.distrust(seat)
                # The last reading grows old, and then nothing is added there.
                return
            now_s = self._loop.time()
            room = self.capacity_at(seat)
            room.read(load.running, load.waiting, now_s)
            report = Report(now_s, load.running + load.waiting)
            self.lost_runs.note(seat.record.start, report)
            self._read_one()
            await asyncio.sleep(pause_s)
        finally:
            self._reading.pop(seat.record.start, None)
