"""Client of the engine protocol (docs/BACKENDS.md)."""
