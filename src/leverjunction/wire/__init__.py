"""Messages between the processes of leverjunction, and the internal RPC that carries them."""
