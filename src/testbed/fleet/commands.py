"""Commands of the testbed for fleets and their faults."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path

import cherrypy
import msgspec
import urllib3

from testbed.engine.process import serve
from testbed.faults.api import FaultAction, FaultRequest, FaultsApi
from testbed.fleet.description import describe, read_description
from testbed.fleet.fleet import Fleet, FleetError
from testbed.fleet.plan import FleetOptions, PortPicker
from testbed.scenarios import load_scenario

LAUNCHER_IP = "127.0.0.9"
LAUNCHER_THREADS = 4
FAULT_TIMEOUT_S = 90.0


class FleetCommands:
    """Start a whole fleet as real processes."""

    def up(
        self,
        scenario: str = "kilimo",
        json: str = "",
        relay_network: bool = True,
        engine_speed: float = 1.0,
    ) -> int:
        """Start a fleet and keep it running until SIGINT or SIGTERM.

        Args:
            scenario: kilimo or hanbit.
            json: File to write the fleet's description to, once it is ready.
            relay_network: False runs without delays and cuttable links.
            engine_speed: Factor by which engines are faster than the scenario says.
        """
        stopping = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stopping.set())
        options = FleetOptions(relay_network=relay_network, engine_speed=engine_speed)
        try:
            with Fleet(load_scenario(scenario), options) as fleet:
                _announce(fleet, json)
                stopping.wait()
                cherrypy.engine.exit()
        except FleetError as error:
            print(f"fleet up: {error}", file=sys.stderr)
            return 1
        return 0


class FaultCommands:
    """Bring faults into a fleet that runs; JSON is what ``fleet up --json`` wrote."""

    def kill(self, json: str, target: str) -> int:
        """SIGKILL a process."""
        return _send(json, FaultAction.KILL, target)

    def freeze(self, json: str, target: str) -> int:
        """SIGSTOP a process."""
        return _send(json, FaultAction.FREEZE, target)

    def thaw(self, json: str, target: str) -> int:
        """SIGCONT a frozen process."""
        return _send(json, FaultAction.THAW, target)

    def wipe(self, json: str, target: str) -> int:
        """Kill a process, empty its data folder and start it again."""
        return _send(json, FaultAction.WIPE, target)

    def restart(self, json: str, target: str) -> int:
        """Start a process again, after killing it if it runs."""
        return _send(json, FaultAction.RESTART, target)

    def terminate(self, json: str, target: str) -> int:
        """SIGTERM a process: a planned stop."""
        return _send(json, FaultAction.TERMINATE, target)

    def leave(self, json: str, target: str) -> int:
        """Mark a runner as leaving in the machine list."""
        return _send(json, FaultAction.LEAVE, target)

    def cut(self, json: str, first: str, second: str = "*") -> int:
        """Cut the traffic between two zones or processes in silence; "*" is any."""
        return _send(json, FaultAction.CUT, first, second)

    def soak(
        self, scenario: str = "kilimo", minutes: float = 5.0, seed: int = 1, json: str = ""
    ) -> int:
        """Start a fleet, load it, and bring random faults about; every answer is checked.

        Args:
            scenario: kilimo or hanbit.
            minutes: How long faults strike.
            seed: Seed of the faults' order, targets and times.
            json: File for the report as one JSON object.
        """
        from testbed.faults.soak import soak

        return soak(scenario, minutes, seed, json)

    def heal(self, json: str, first: str, second: str = "*") -> int:
        """Undo a cut."""
        return _send(json, FaultAction.HEAL, first, second)


def _announce(fleet: Fleet, json_file: str) -> None:
    port = PortPicker().pick(LAUNCHER_IP)
    serve(FaultsApi(fleet), LAUNCHER_IP, port, LAUNCHER_THREADS)
    description = describe(fleet, f"http://{LAUNCHER_IP}:{port}/")
    encoded = msgspec.json.format(msgspec.json.encode(description), indent=2)
    if json_file:
        temporary = Path(json_file + ".partial")
        temporary.write_bytes(encoded)
        temporary.rename(json_file)
    print(f"# {len(description.processes)} processes; files and logs are in {description.folder}")
    print(f"export LEVERJUNCTION_CONTROL={','.join(description.control)}")
    print(f"export LEVERJUNCTION_TOKEN_FILE={description.operator_token_file}")
    print(f"export GATEWAY={description.gateways[0].removeprefix('http://')}")
    for url in description.gateways:
        print(f"# gateway {url}")
    print("# ready; Ctrl-C stops the fleet", flush=True)


def _send(json_file: str, action: FaultAction, target: str, other: str = "*") -> int:
    description = read_description(Path(json_file))
    body = msgspec.json.encode(FaultRequest(action=action, target=target, other=other))
    response = urllib3.request("POST", description.faults_url, body=body, timeout=FAULT_TIMEOUT_S)
    if response.status != 200:
        print(response.data.decode(), file=sys.stderr)
        return 1
    return 0
