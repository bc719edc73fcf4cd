"""Prints the result of a scale run for a person."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from testbed.scale.result import ScaleResult

MEGABYTE = 1e6
KILOBYTE = 1e3
SHOWN_CORE_RATIO = 0.0002
"""Threads that use less of a core are left out."""


def print_result(result: ScaleResult) -> None:
    """Print one run: command, control processes, gateways, changes."""
    console = Console(width=120)
    console.print(f"[bold]{result.command}[/bold]  commit {result.commit}  {result.outcome}")
    console.print(
        f"window {result.window_s:.1f} s, load average {result.load_before:.1f} before, "
        f"{result.load_after:.1f} after, in step after {result.start_s:.1f} s, "
        f"{result.machine_list_polls_per_s:.1f} machine list polls/s"
    )
    console.print(_control_table(result))
    console.print(_gateway_table(result))
    if result.struck is not None:
        zones = ", ".join(sorted(result.struck.zones)) or "no whole zone"
        console.print(f"struck: {len(result.struck.processes)} processes, {zones}")
    if result.changes:
        console.print(_change_table(result))


def _control_table(result: ScaleResult) -> Table:
    table = Table("control", "core %", "RSS MB", "disk KB/s", "wire KB/s", "threads", "data MB")
    for control in result.controls:
        usage = control.usage
        if usage is None:
            table.add_row(control.name, "struck" if control.struck else "gone")
            continue
        table.add_row(
            control.name,
            f"{usage.core_ratio:.1%}",
            f"{usage.rss_bytes / MEGABYTE:.0f}",
            f"{usage.written_bytes_per_s / KILOBYTE:.0f}",
            f"{control.wire_bytes_per_s / KILOBYTE:.1f}",
            str(usage.threads),
            f"{control.data_bytes / MEGABYTE:.1f}",
        )
    return table


def _gateway_table(result: ScaleResult) -> Table:
    gateways = result.gateways
    table = Table("gateways", "value")
    table.add_row("exchanges/s", f"{gateways.exchanges_per_s:.1f}")
    table.add_row("failed exchanges", str(gateways.failed_exchanges))
    table.add_row("full views", str(gateways.full_views))
    table.add_row(
        "exchange ms p50, p99, max",
        f"{gateways.exchange_ms.p50:.1f}, {gateways.exchange_ms.p99:.1f}, "
        f"{gateways.exchange_ms.maximum:.1f}",
    )
    table.add_row("payload bytes/s a gateway", f"{gateways.payload_bytes_per_gateway_s:.0f}")
    table.add_row("wire bytes/s a gateway", f"{gateways.wire_bytes_per_gateway_s:.0f}")
    table.add_row("digests/s a gateway", f"{gateways.digests_per_gateway_s:.1f}")
    table.add_row("hollow core % a gateway", f"{gateways.core_ratio_per_gateway:.3%}")
    leases = gateways.leases
    table.add_row("items completed/s", f"{leases.completed_items / max(result.window_s, 1e-9):.1f}")
    table.add_row(
        "grants, empty, failures", f"{leases.grants}, {leases.empty_grants}, {leases.failures}"
    )
    for index, usage in enumerate(result.real_gateways):
        table.add_row(
            "real gateway core %, RSS MB, wire B/s, of it control",
            f"{usage.core_ratio:.2%}, {usage.rss_bytes / MEGABYTE:.0f}, "
            f"{result.real_gateway_wire_bytes_per_s[index]:.0f}, "
            f"{result.real_gateway_control_bytes_per_s[index]:.0f}",
        )
        threads = result.real_gateway_threads[index]
        shown = [thread for thread in threads if thread.core_ratio >= SHOWN_CORE_RATIO]
        table.add_row(
            "by thread", ", ".join(f"{thread.name} {thread.core_ratio:.2%}" for thread in shown)
        )
    for reason, count in gateways.failure_reasons.items():
        table.add_row(reason, str(count))
    return table


def _change_table(result: ScaleResult) -> Table:
    table = Table(
        "change",
        "acknowledged s",
        "p50 s",
        "p99 s",
        "max s",
        "gateways",
        "after strike",
        "struck caught up, max s",
    )
    for change in result.changes:
        table.add_row(
            str(change.version),
            f"{change.acknowledged_s:.3f}",
            f"{change.in_force_s.p50:.3f}",
            f"{change.in_force_s.p99:.3f}",
            f"{change.in_force_s.maximum:.3f}",
            str(change.reached),
            "yes" if change.after_strike else "",
            f"{change.caught_up_s.maximum:.3f} ({change.caught_up_s.count})"
            if change.caught_up_s.count
            else "",
        )
    return table
