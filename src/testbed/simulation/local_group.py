"""A simulated replica as ``ReplicatedGroup``, the blocking contract of the product's code."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.status import status_of
from leverjunction.errors import Execution, Failure, FailureKind, Step
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.machine import Machine
from testbed.simulation.network import Reply
from testbed.simulation.replica import Replica


class LocalGroup:
    """Implements ``consensus.api.ReplicatedGroup``; called from fibers."""

    def __init__(self, replica: Replica, machine: Machine, fibers: Fibers) -> None:
        self._replica = replica
        self._machine = machine
        self._fibers = fibers

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Replicate a command and return its reply once it is applied here."""
        return self._wait(
            lambda reply: self._replica.propose(command, reply), timeout_s, Execution.UNKNOWN
        )

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Answer a linearizable read on the leader."""
        return self._wait(
            lambda reply: self._replica.query(query, reply), timeout_s, Execution.NOT_RUN
        )

    def query_local(self, query: bytes) -> bytes:
        """Answer from the applied state."""
        return self._replica.query_local(query)

    def status(self) -> GroupStatus:
        """Return what this replica knows of its group."""
        return status_of(self._replica.engine, self._machine.monotonic_s())

    def _wait(
        self, begin: Callable[[Reply], None], timeout_s: float, execution: Execution
    ) -> bytes | Failure:
        timed_out = Failure(
            kind=FailureKind.TIMEOUT,
            reason=f"no quorum answered within {timeout_s:g} s",
            step=Step.PROPOSING,
            execution=execution,
        )

        def arm(resume: Resume) -> None:
            self._machine.after(timeout_s, lambda: resume(timed_out))
            begin(resume)

        result = self._fibers.wait(arm)
        assert isinstance(result, bytes | Failure)
        return result
