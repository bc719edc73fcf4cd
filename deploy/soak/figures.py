"""Keeps what the processes say of themselves when a soak has found something."""

from __future__ import annotations

from pathlib import Path

import urllib3
from machines import FIGURES_PORT, Machines

TIMEOUT_S = 2.0


def keep_figures(machines: Machines, folder: Path) -> None:
    """Write the figures of all processes that serve some into their folders."""
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    for machine in machines.with_disks():
        try:
            reply = http.request("GET", f"http://{machine.host}:{FIGURES_PORT}/metrics")
        except urllib3.exceptions.HTTPError as error:
            text = f"no figures: {error}\n"
        else:
            text = reply.data.decode(errors="replace")
        (folder / machine.name / "figures").write_text(text)
