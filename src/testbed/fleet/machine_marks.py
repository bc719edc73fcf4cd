"""Marks on runners in the stand-in machine list: leaving, and live again."""

from __future__ import annotations

import time

import msgspec
import urllib3

from testbed.fleet.machine_list import Machine, MachineListing

CALL_TIMEOUT_S = 5.0
_MS_PER_S = 1000


class MachineMarks:
    """Changes the machine list, which shows each change after its lag.

    Args:
        http: Connections to use.
        address: ``host:port`` of the machine list.
        machines: Runners by name, as listed at the start.
    """

    def __init__(
        self, http: urllib3.PoolManager, address: str, machines: dict[str, Machine]
    ) -> None:
        self._http = http
        self._url = f"http://{address}/machines"
        self._machines = machines
        self._leaving: set[str] = set()

    def is_runner(self, name: str) -> bool:
        """Return whether a runner of that name was listed at the start."""
        return name in self._machines

    def leave(self, runner: str) -> None:
        """Mark a runner as leaving."""
        self._leaving.add(runner)
        self._post(msgspec.structs.replace(self._machines[runner], state="leaving"))

    def list_live(self, runner: str) -> None:
        """List a runner as live, with the incarnation of now."""
        self._leaving.discard(runner)
        incarnation = int(time.time() * _MS_PER_S)
        self._post(msgspec.structs.replace(self._machines[runner], incarnation=incarnation))

    def recover(self) -> None:
        """List every runner that was marked as live again."""
        for runner in list(self._leaving):
            self.list_live(runner)

    def is_listed_leaving(self, runner: str) -> bool:
        """Return whether the list shows a runner as leaving, its lag being over."""
        response = self._http.request("GET", self._url, timeout=CALL_TIMEOUT_S)
        listing = msgspec.json.decode(response.data, type=MachineListing)
        return any(m.id == runner and m.state == "leaving" for m in listing.machines)

    def _post(self, machine: Machine) -> None:
        url = f"{self._url}/{machine.id}"
        body = msgspec.json.encode(machine)
        response = self._http.request("POST", url, body=body, timeout=CALL_TIMEOUT_S)
        if response.status != 200:
            raise RuntimeError(f"{url} answered {response.status}: {response.data[:200]!r}")
