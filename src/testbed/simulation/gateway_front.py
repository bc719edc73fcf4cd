"""A gateway's front in place of CherryPy: takes callers' requests and writes the answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from leverjunction.api.batches_lines import LineReader
from leverjunction.api.batches_upload import JobUpload, UploadTerms
from leverjunction.api.errors import stopping_failure
from leverjunction.backends.types import COMPLETION_PATH
from leverjunction.batch.commands import CancelJob, GetResults, JobView, ResultPage
from leverjunction.batch.directory import JobDirectory
from leverjunction.errors import Failure
from leverjunction.gateway.http_server import ClientConnection
from leverjunction.gateway.online import BufferedResponse, CallerRequest, RelayedResponse
from testbed.simulation.caller_messages import HttpBytes, HttpEnd, HttpHead, HttpRequest
from testbed.simulation.channel import Channel
from testbed.simulation.virtual_sockets import VirtualSocket

if TYPE_CHECKING:
    from testbed.simulation.gateway_node import GatewayNode

MAX_JOB_ITEMS = 1000
PAGE_LINES = 5
STATUS_OK = 200
STATUS_REFUSED = 503
SHUTDOWN_TIMEOUT_S = 5.0
"""How long cheroot waits at its stop for workers that read a request."""

AWAIT_INTERVAL_S = 0.05


class GatewayFront:
    """Serves one incarnation of a gateway; each call is a fiber, as CherryPy gives it a thread.

    Attributes:
        listens: False once the port is closed at a planned stop: no connection opens any more.
        awaited: Connections that were accepted and whose request has not come yet.
    """

    def __init__(self, gateway: GatewayNode) -> None:
        self._gateway = gateway
        self._directory = JobDirectory(gateway.control, gateway.job_groups, gateway.random)
        self._sockets: dict[Channel, VirtualSocket] = {}
        self._requests = 0
        self.listens = True
        self.awaited: set[Channel] = set()

    def accept(self, channel: Channel) -> None:
        """Take a new connection."""
        channel.attach(self._gateway.machine, self)
        self.awaited.add(channel)

    def close_port(self) -> None:
        """Accept no more, and give those who have connected the time that cheroot gives them."""
        self.listens = False
        machine = self._gateway.machine
        end_s = machine.monotonic_s() + SHUTDOWN_TIMEOUT_S
        while self.awaited and machine.monotonic_s() < end_s:
            self._gateway.board.fibers.sleep(machine, AWAIT_INTERVAL_S)

    def received(self, channel: Channel, message: object) -> None:
        """Take a request (``ChannelEnd``)."""
        assert isinstance(message, HttpRequest)
        self.awaited.discard(channel)
        gateway = self._gateway
        gateway.board.fibers.spawn(gateway.machine, lambda: self._serve(channel, message))

    def broken(self, channel: Channel) -> None:
        """The caller went away (``ChannelEnd``)."""
        self.awaited.discard(channel)
        socket = self._sockets.pop(channel, None)
        if socket is not None:
            socket.break_off()

    def _serve(self, channel: Channel, message: HttpRequest) -> None:
        """Do what ``api.completions`` does with a request."""
        gateway = self._gateway
        self._requests += 1
        request_id = f"{gateway.name}-{gateway.machine.incarnation}-{self._requests}"
        with gateway.inflight.track() as accepted:
            if not accepted:
                self._refuse(channel, request_id, stopping_failure())
                return
            answer = gateway.service.serve(
                CallerRequest(
                    request_id=request_id,
                    tenant=message.tenant,
                    path=COMPLETION_PATH,
                    body=message.body,
                    idempotency_key=message.idempotency_key,
                    never_repeat=message.never_repeat,
                )
            )
            if isinstance(answer, Failure):
                self._refuse(channel, request_id, answer)
                return
            if isinstance(answer, BufferedResponse):
                head = HttpHead(request_id, answer.status, body=answer.body)
                channel.send(gateway.machine, head)
                return
        self._hand_over(channel, request_id, answer)

    def _hand_over(self, channel: Channel, request_id: str, answer: RelayedResponse) -> None:
        machine = self._gateway.machine
        channel.send(machine, HttpHead(request_id, STATUS_OK))
        socket = VirtualSocket(on_send=lambda data: channel.send(machine, HttpBytes(data)))
        self._sockets[channel] = socket

        def release(reusable: bool) -> None:
            self._sockets.pop(channel, None)
            if reusable:
                channel.send(machine, HttpEnd())
            else:
                channel.close(machine)

        answer.handover(
            ClientConnection(connection=socket, chunked=False, release=release)  # type: ignore[arg-type]
        )

    def _refuse(self, channel: Channel, request_id: str, failure: Failure) -> None:
        channel.send(self._gateway.machine, HttpHead(request_id, STATUS_REFUSED, failure))

    # Jobs: what ``api.batches`` does, without HTTP.

    def submit(self, lines: list[dict[str, object]], terms: UploadTerms) -> JobView | Failure:
        """Accept a job whose JSON lines arrive in pieces."""
        if self._gateway.inflight.stopping:
            return stopping_failure()
        settings = self._gateway.settings.current

        def service_for(model: str) -> str | None:
            service = settings.service_for_model(model)
            allowed = service is not None and settings.may_call(terms.tenant, service)
            return service if allowed else None

        upload = JobUpload(self._directory, LineReader(service_for, MAX_JOB_ITEMS), terms)
        for line in lines:
            upload.write(msgspec.json.encode(line) + b"\n")
        return upload.finish()

    def show(self, tenant: str, job_id: str) -> JobView | Failure:
        """Return a job."""
        return self._directory.find(tenant, job_id)

    def cancel(self, tenant: str, job_id: str) -> JobView | Failure:
        """Cancel a job."""
        job = self._directory.find(tenant, job_id)
        if isinstance(job, Failure):
            return job
        group = job_id.rpartition(".")[0]
        return self._directory.control.propose(group, CancelJob(job_id), JobView)

    def results(self, tenant: str, job_id: str, after: int) -> ResultPage | Failure:
        """Return a page of results."""
        job = self._directory.find(tenant, job_id)
        if isinstance(job, Failure):
            return job
        return self._directory.control.query(
            job_id.rpartition(".")[0], GetResults(job_id, after, PAGE_LINES), ResultPage
        )
