"""Messages between leverjunction's own processes, and the RPC that carries them."""
