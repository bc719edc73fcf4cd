"""Datagram socket of the owner of the tenants' limits, in a thread of its own."""

from __future__ import annotations

import socket
import threading

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.quota.owner import STEP_S, Datagram, QuotaOwner
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.envelope import Envelope, decode_envelope, encode_envelope

JOIN_TIMEOUT_S = 2.0
MAX_DATAGRAM_BYTES = 65536
MIN_TIMEOUT_S = 0.001
RECEIVE_BUFFER_BYTES = 1 << 20
"""Holds the reports that all gateways send within the pause of a busy process."""


class OwnerSocket:
    """Receives reports and sends what the owner tells.

    If the port can't be bound, gateways decide alone while this process leads.

    Args:
        address: Host and port to bind, separated by a colon.
        cluster_key: Key that authenticates the datagrams.
        incarnation: Start time of this process, in milliseconds since the Unix epoch.
        owner: Processes the messages.
        clock: Source of monotonic time.
    """

    def __init__(
        self, address: str, cluster_key: bytes, incarnation: int, owner: QuotaOwner, clock: Clock
    ) -> None:
        self._address = address
        self._key = cluster_key
        self._incarnation = incarnation
        self._owner = owner
        self._clock = clock
        self._stopped = threading.Event()
        self._failing = False
        self._socket: socket.socket | None = None
        self._thread = threading.Thread(target=self._run, name="quota-owner", daemon=True)

    def start(self) -> None:
        """Bind the socket and start the thread."""
        host, _, port = self._address.rpartition(":")
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.bind((host, int(port)))
        except OSError as error:
            opened.close()
            logger.warning(
                "cannot bind {}, limits of tenants are not kept here: {}", self._address, error
            )
            return
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket = opened
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the socket."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)
        if self._socket is not None:
            self._socket.close()

    def _run(self) -> None:
        due_s = self._clock.monotonic_s()
        while not self._stopped.is_set():
            now_s = self._clock.monotonic_s()
            try:
                if now_s < due_s:
                    self._receive(due_s - now_s)
                else:
                    due_s = now_s + STEP_S
                    self._step(now_s)
            except Exception:
                # The thread must survive: without it all gateways decide alone.
                if not self._failing:
                    logger.exception("keeping the limits of tenants failed")
                self._failing = True
                self._stopped.wait(MIN_TIMEOUT_S)

    def _step(self, now_s: float) -> None:
        for datagram in self._owner.step(now_s):
            self._send(datagram)
        if self._failing:
            logger.info("keeping the limits of tenants works again")
        self._failing = False

    def _receive(self, timeout_s: float) -> None:
        assert self._socket is not None
        self._socket.settimeout(max(MIN_TIMEOUT_S, timeout_s))
        try:
            data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        except ConnectionError:
            # An earlier datagram found no listener at its receiver.
            return
        envelope = decode_envelope(data, self._key, sender[0])
        if not isinstance(envelope, Failure):
            self._owner.receive(envelope, (sender[0], sender[1]), self._clock.monotonic_s())

    def _send(self, datagram: Datagram) -> None:
        assert self._socket is not None
        envelope = Envelope(
            kind=datagram.kind,
            group=JOBS_GROUP,
            incarnation=self._incarnation,
            body=datagram.body,
        )
        data = encode_envelope(envelope, self._key)
        for receiver in datagram.receivers:
            try:
                self._socket.sendto(data, receiver)
            except OSError as error:
                # The others still get it, and this one the next message.
                logger.debug("cannot send to {}: {}", receiver[0], error)


__all__ = ["OwnerSocket"]
