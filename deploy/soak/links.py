"""The connections of one process to others, through relays by which it is cut off from them."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from relay import Relay

ROUTED = Path(__file__).resolve().parent / "routed.py"


class Links:
    """Relays to all others, for a process that is started with ``command``.

    Args:
        path: File for the table of the relays.
        targets: Addresses of the others.
    """

    __slots__ = ("_path", "_relays")

    def __init__(self, path: Path, targets: Iterable[str]) -> None:
        self._path = path
        self._relays = {target: Relay(target) for target in targets}
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps({key: relay.address for key, relay in self._relays.items()}))

    def command(self, words: Sequence[str]) -> list[str]:
        """Return a Python program's command with its connections to the others by the relays."""
        return [sys.executable, str(ROUTED), str(self._path), *words[1:]]

    @property
    def is_cut(self) -> bool:
        """Whether anything is done to what they carry."""
        return any(relay.is_harmed for relay in self._relays.values())

    def hold(self) -> None:
        """Carry nothing until ``heal``, and all of it then."""
        for relay in self._relays.values():
            relay.held = True

    def fall_silent(self) -> None:
        """Lose what is sent until ``heal``; connections that lost something stay silent."""
        for relay in self._relays.values():
            relay.silent_to = relay.silent_from = True

    def heal(self) -> None:
        """Carry everything again."""
        for relay in self._relays.values():
            relay.heal()

    def close(self) -> None:
        """Stop all relays."""
        for relay in self._relays.values():
            relay.close()
