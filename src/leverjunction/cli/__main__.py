"""Entry point of ``python -m leverjunction.cli``."""

from leverjunction.cli.commands import main

main()
