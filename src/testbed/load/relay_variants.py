"""Other ways to relay, for the bench to compare with the product's loop."""

from __future__ import annotations

import threading
from enum import StrEnum

from leverjunction.gateway import runtime
from leverjunction.gateway.relay import READ_BYTES, RelayLoop
from leverjunction.gateway.relay_stream import DONE_EVENT, LAST_CHUNK, RelayStream


class RelayVariant(StrEnum):
    """A way to relay."""

    LOOP = "loop"
    THREADS = "threads"


class ThreadRelay(RelayLoop):
    """One thread a stream: blocking reads and writes."""

    def submit(self, stream: RelayStream) -> None:
        """Relay a stream in a thread of its own."""
        threading.Thread(target=self._relay, args=(stream,), daemon=True).start()

    def _relay(self, stream: RelayStream) -> None:
        assert stream.engine is not None
        client = stream.client.connection
        client.setblocking(True)
        engine = stream.engine.connection
        engine.setblocking(True)
        data = stream.engine.first_bytes or engine.recv(READ_BYTES)
        try:
            while data:
                events = stream.complete_events(data)
                stream.transcript += events
                if events:
                    client.sendall(stream.encode_body(events))
                if events.endswith(DONE_EVENT):
                    client.sendall(LAST_CHUNK)
                    break
                data = engine.recv(READ_BYTES)
        except OSError:
            # The bench ended the stream.
            stream.client.release(False)
        finally:
            engine.close()


def use_variant(variant: RelayVariant) -> None:
    """Make gateways of this process relay in another way."""
    if variant is RelayVariant.THREADS:
        runtime.RelayLoop = ThreadRelay  # type: ignore[misc]
