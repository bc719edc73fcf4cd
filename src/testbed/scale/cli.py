"""Command line of the scale runs: ``testbed scale ...`` or ``python -m testbed.scale.cli``."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import fire
import msgspec
from loguru import logger

from testbed.scale.operators import ScaleError
from testbed.scale.options import ScaleOptions
from testbed.scale.report import print_result
from testbed.scale.run import run_scale

EXIT_FAILED = 1


def scale(json: str = "", keep: str = "", **sizes: float) -> int:
    """Run hollow gateways and runners against real control processes, and print their cost.

    Args:
        json: File that gets the result as one JSON object.
        keep: Empty or new folder for the run's files; without it a temporary one is used.
        sizes: Fields of ``ScaleOptions``, such as ``--gateways=340 --runners=1200 --controls=3``.
    """
    # The processes have log files of their own; here only the run itself speaks.
    logger.disable("leverjunction")
    try:
        options = _options(sizes)
        if keep:
            _make_empty(Path(keep))
            result = run_scale(options, Path(keep))
        else:
            with tempfile.TemporaryDirectory(prefix="scale-") as folder:
                result = run_scale(options, Path(folder))
    except ScaleError as error:
        logger.error("{}", error)
        return EXIT_FAILED
    print_result(result)
    if json:
        Path(json).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    return 0


def _options(sizes: dict[str, float]) -> ScaleOptions:
    """Return the options; a name that is not one of theirs is refused, not left out."""
    values = {name.replace("-", "_"): value for name, value in sizes.items()}
    unknown = sorted(set(values) - set(ScaleOptions.__struct_fields__))
    if unknown:
        known = ", ".join(ScaleOptions.__struct_fields__)
        raise ScaleError(f"unknown: {', '.join(unknown)}; expected some of: {known}")
    try:
        return msgspec.convert(values, ScaleOptions)
    except msgspec.ValidationError as error:
        raise ScaleError(str(error)) from error


def _make_empty(folder: Path) -> None:
    """Make a folder; one with files is refused, since old data would join the new fleet."""
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise ScaleError(f"--keep={folder}: expected an empty or a new folder")


def main() -> None:
    """Entry point."""
    sys.exit(fire.Fire(scale, serialize=lambda _: None))


if __name__ == "__main__":
    main()
