"""Runs the command line as ``python -m leverjunction.cli``."""

from leverjunction.cli.commands import main

main()
