"""What a simulated back end records."""

from __future__ import annotations

import random

from testbed.engine.types import EngineRequest
from testbed.simulation.channel import Channel
from testbed.simulation.engine_messages import Submit
from testbed.simulation.history import History
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, NetworkProfile
from testbed.simulation.runner_node import RunnerNode
from testbed.simulation.scenario import SCENARIOS
from testbed.simulation.scheduler import Scheduler

IDLE_S = 10.0
PAUSE_S = 5.0


def test_online_work_is_there_since_it_came_to_an_idle_back_end() -> None:
    """Kilimo 1098: the time of the last step counted, so that an idle engine had no grace."""
    scheduler = Scheduler()
    network = Network(scheduler, random.Random(1), NetworkProfile())
    gateway, machine = (
        network.add(Machine(name, "zone", scheduler)) for name in ("gateway-0", "llm-0")
    )
    scenario = SCENARIOS["kilimo"]
    service = scenario.services[0]
    history = History()
    config = scenario.engine("llm-0", service)
    runner = RunnerNode(machine, service.name, config, random.Random(1), history)
    for number in range(2):
        scheduler.run_until(scheduler.now_s + IDLE_S)
        came_s = scheduler.now_s
        request = EngineRequest(
            request_id=f"request-{number}", model=service.model, prompt="online/llm/1 word"
        )
        channel = Channel(scheduler, network, gateway, machine)
        runner.received(channel, Submit(request, gateway.name, stream=True, sent_s=came_s))
        scheduler.run_until(came_s + PAUSE_S)
        assert {step.online_since_s for step in history.steps} == {came_s}
        history.steps.clear()
