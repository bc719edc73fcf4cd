"""Watches the settings version in force at each gateway, and remembers whether one ever fell."""

from __future__ import annotations

import threading

from testbed.fleet.fleet import Fleet
from testbed.fleet.health import settings_version

INTERVAL_S = 0.1


class VersionWatch:
    """Reads each gateway's own counter, over and over, until it is stopped.

    A gateway that does not answer, or has no settings yet after its start, is passed over: what
    counts is that it never has a version in force that is older than an earlier one.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._highest = dict.fromkeys(fleet.gateway_names(), 0)
        self._falls: list[str] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> list[str]:
        """Stop, and return what fell."""
        self._stopping.set()
        self._thread.join()
        return self._falls

    def _run(self) -> None:
        while not self._stopping.wait(INTERVAL_S):
            for gateway in self._highest:
                self._note(gateway, settings_version(self._fleet, gateway))

    def _note(self, gateway: str, version: int) -> None:
        if 0 < version < self._highest[gateway]:
            self._falls.append(f"{gateway}: {version} after {self._highest[gateway]}")
        self._highest[gateway] = max(self._highest[gateway], version)
