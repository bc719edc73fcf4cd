"""The leverjunction command line: starts processes and runs operator commands."""

from leverjunction.cli.commands import main

__all__ = ["main"]
