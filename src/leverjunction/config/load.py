"""Reads a process's settings file: flags over file over defaults, checked by pydantic."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from leverjunction.errors import Failure, FailureKind, Step

ConfigT = TypeVar("ConfigT", bound=BaseModel)


def load_config(
    path: Path, config_type: type[ConfigT], overrides: dict[str, object]
) -> ConfigT | Failure:
    """Read and check a settings file.

    Args:
        path: YAML file.
        config_type: Class that it must satisfy.
        overrides: Values from flags by dotted key (``listen.http_port``); they win over the file.

    Returns:
        The configuration, or a failure naming file, key, what was expected and what was got.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf8")) or {}
    except OSError as error:
        return _bad(path, f"cannot be read: {error.strerror}")
    except yaml.YAMLError as error:
        return _bad(path, f"is not YAML: {error}")
    if not isinstance(document, dict):
        return _bad(path, f"must hold a mapping of keys, got {type(document).__name__}")
    for dotted, value in overrides.items():
        _set_dotted(document, dotted, value)
    try:
        return config_type.model_validate(document)
    except ValidationError as error:
        return _bad(path, "; ".join(_explain(item) for item in error.errors()))


def _set_dotted(document: dict[str, object], dotted: str, value: object) -> None:
    *parents, leaf = dotted.split(".")
    target = document
    for parent in parents:
        child = target.setdefault(parent, {})
        if not isinstance(child, dict):
            return
        target = child
    target[leaf] = value


def _explain(item: object) -> str:
    assert isinstance(item, dict)
    key = ".".join(str(part) for part in item["loc"])
    return f"key {key}: {item['msg']}, got {item['input']!r}"


def _bad(path: Path, reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=f"{path}: {reason}", step=Step.CONFIGURATION
    )
