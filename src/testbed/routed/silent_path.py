"""A path to a back end on loopback whose open connections can go silent while new ones work."""

from __future__ import annotations

import asyncio
import threading

READ_BYTES = 65536


class SilentPath:
    """Relays connections, in a thread of its own."""

    def __init__(self, to_address: str) -> None:
        self._to = to_address
        self.address = ""
        self._round = 0
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> SilentPath:
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_error: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def silence(self) -> None:
        """Let nothing pass any more on the connections that are open now."""
        self._round += 1

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._to.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        begun = self._round
        await asyncio.gather(self._pass(reader, back, begun), self._pass(there, writer, begun))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, begun: int
    ) -> None:
        """Pass bytes on, and their end, unless the connection has gone silent."""
        try:
            while data := await reader.read(READ_BYTES):
                if self._round == begun:
                    writer.write(data)
        except ConnectionError:
            pass
        if self._round == begun:
            writer.close()
