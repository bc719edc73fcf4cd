"""A back end whose process ends under certain requests, and that is started again each time."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from leverjunction.registry.records import RunnerRecord
from testbed.routed.exchange import Seen
from testbed.routed.runner import RunnerStandIn
from testbed.routed.table import SERVICE

STREAM_FOLDERS = ("/stream/", "/batch/")
ENDS_AFTER_S = 0.03
"""From the arrival of a deadly request to the end: it has begun by then."""

BEAT_S = 0.5
SLOTS = 8


class MortalStart(RunnerStandIn):
    """One life of such a back end.

    Args:
        runner_id: Its id.
        deadly: Beginning of the bodies of requests that end it.
        port: Port to listen on; 0 for any.

    Attributes:
        began_s: When it began, in monotonic seconds.
        ended_by: The request that ended it, None while there is none.
    """

    def __init__(self, runner_id: str, deadly: bytes, port: int) -> None:
        super().__init__(runner_id, port=port)
        self._deadly = deadly
        self.began_s = time.monotonic()
        self.ended_by: Seen | None = None

    @property
    def lost(self) -> list[Seen]:
        """The requests that it was running when a deadly one ended it, without that one."""
        cause = self.ended_by
        if cause is None or not self.has_ended:
            return []
        end_s = cause.began_s + ENDS_AFTER_S
        return [
            seen
            for seen in self.seen
            if seen is not cause
            and not seen.whole
            and seen.behaviour != "another"
            # One that its sender had left before was not lost by the end.
            and (seen.ended_s is None or seen.ended_s >= end_s)
        ]

    def end(self) -> None:
        """End it now, for no reason that lies in a request."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._loop.stop)

    def wait(self) -> None:
        """Return once it has ended, or was stopped."""
        self._thread.join()

    def _behaviour_for(self, seen: Seen) -> str:
        usual = super()._behaviour_for(seen)
        if usual != self.usual:
            return usual
        streams = seen.target.startswith(STREAM_FOLDERS)
        if not seen.body.startswith(self._deadly):
            return "stream" if streams else "whole"
        if self.ended_by is None:
            self.ended_by = seen
            self._loop.call_later(ENDS_AFTER_S, self._loop.stop)
        return "stream that stops" if streams else "silent"


class MortalRunner:
    """Starts such a back end again and again at one address.

    Args:
        name: Beginning of its ids.
        deadly: Beginning of the bodies of requests that end it.
        restart_s: Time from an end to the next start.
        tell: Takes its record at each start and twice a second, as the registry does.
        slots: Number of slots that its record names.
        zone: Zone that its record names.

    Attributes:
        starts: All its starts, oldest first.
    """

    def __init__(
        self,
        name: str,
        deadly: bytes,
        restart_s: float,
        tell: Callable[[RunnerRecord], object],
        slots: int = SLOTS,
        zone: str = "z1",
    ) -> None:
        self._name = name
        self._deadly = deadly
        self._restart_s = restart_s
        self._tell = tell
        self._slots = slots
        self._zone = zone
        self._stopped = threading.Event()
        self._sequence = 0
        self.starts: list[MortalStart] = []
        self._begin(0)
        self._lives = threading.Thread(target=self._live, daemon=True)
        self._beats = threading.Thread(target=self._beat, daemon=True)
        self._lives.start()
        self._beats.start()

    def stop(self) -> None:
        """End it for good."""
        self._stopped.set()
        self.starts[-1].__exit__()
        self._lives.join()
        self._beats.join()

    def begun(self, body: bytes) -> list[Seen]:
        """Return the requests with a body that any of its starts began to run.

        One that was meant for an earlier start at the same address is declined, not run.
        """
        came = [seen for start in self.starts for seen in start.seen if seen.body == body]
        return [seen for seen in came if seen.behaviour != "another"]

    @property
    def ends(self) -> list[Seen]:
        """The requests that ended a start."""
        return [start.ended_by for start in self.starts if start.ended_by is not None]

    def _begin(self, port: int) -> None:
        start = MortalStart(f"{self._name}-{len(self.starts) + 1}", self._deadly, port)
        start.__enter__()
        self.starts.append(start)

    def _live(self) -> None:
        while True:
            start = self.starts[-1]
            start.wait()
            if self._stopped.wait(self._restart_s):
                return
            self._begin(int(start.address.rpartition(":")[2]))
            self._say()

    def _beat(self) -> None:
        while not self._stopped.is_set():
            self._say()
            self._stopped.wait(BEAT_S)

    def _say(self) -> None:
        start = self.starts[-1]
        if start.has_ended:
            return
        self._sequence += 1
        self._tell(
            RunnerRecord(
                runner_id=start.runner_id,
                service=SERVICE,
                address=start.address,
                zone=self._zone,
                slots=self._slots,
                sequence=self._sequence,
            )
        )
