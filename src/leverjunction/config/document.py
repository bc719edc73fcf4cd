"""Reads a YAML or JSON configuration file into plain data, without schema validation.

JSON is a subset of YAML. A file that is JSON is parsed as such, so that a process whose settings
are JSON does not load the YAML parser when it starts.
"""

from __future__ import annotations

import json
import math
from pathlib import Path

from leverjunction.errors import Execution, Failure, FailureKind, Step


def read_document(path: Path) -> dict[str, object] | Failure:
    """Return the mapping in a file, or a failure that names the file and the error."""
    try:
        text = path.read_text(encoding="utf8")
    except OSError as error:
        return bad_file(path, f"cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return bad_file(path, f"is not text in UTF-8: {error.reason}")
    document = _parse(text)
    if isinstance(document, Failure):
        return bad_file(path, document.reason)
    if not isinstance(document, dict):
        return bad_file(path, f"must hold a mapping of keys, got {type(document).__name__}")
    return document


def bad_file(path: Path, reason: str) -> Failure:
    """Return a failure for an invalid configuration file."""
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"{path}: {reason}",
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )


def _parse(text: str) -> object | Failure:
    try:
        document: object = json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_float=_finite,
            parse_constant=_finite,
        )
    except ValueError:
        # The YAML parser names the place of an error, also in JSON.
        from leverjunction.config.yaml_document import parse_yaml

        document = parse_yaml(text)
    return document or {}


def _unique_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    document = dict(pairs)
    if len(document) < len(pairs):
        raise ValueError("a key is given twice")
    return document


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number is infinite or not a number")
    return number
