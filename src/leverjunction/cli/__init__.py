"""Command line of leverjunction: processes and operators' commands."""

from leverjunction.cli.commands import main

__all__ = ["main"]
