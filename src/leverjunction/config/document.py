"""Reads a YAML configuration file into plain data, without schema validation."""

from __future__ import annotations

from pathlib import Path

import yaml

from leverjunction.errors import Failure, FailureKind, Step


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses duplicate keys, of which PyYAML would silently use the last."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[object, object]:
        seen: set[object] = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key_node.value} is given twice", key_node.start_mark
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def read_document(path: Path) -> dict[str, object] | Failure:
    """Return the mapping in a YAML file, or a failure that names the file and the error."""
    try:
        # Derived from SafeLoader, so only plain data is constructed.
        document = yaml.load(path.read_text(encoding="utf8"), _UniqueKeyLoader) or {}
    except OSError as error:
        return bad_file(path, f"cannot be read: {error.strerror}")
    except UnicodeDecodeError as error:
        return bad_file(path, f"is not text in UTF-8: {error.reason}")
    except yaml.YAMLError as error:
        return bad_file(path, f"is not YAML: {error}")
    if not isinstance(document, dict):
        return bad_file(path, f"must hold a mapping of keys, got {type(document).__name__}")
    return document


def bad_file(path: Path, reason: str) -> Failure:
    """Return a failure for an invalid configuration file."""
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=f"{path}: {reason}", step=Step.CONFIGURATION
    )
