"""Parses YAML into plain data; apart from JSON, because loading the YAML parser takes a while."""

from __future__ import annotations

import yaml

from leverjunction.errors import Execution, Failure, FailureKind, Step


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


def parse_yaml(text: str) -> object | Failure:
    """Return the document in a YAML text, None for an empty one, or a failure."""
    try:
        # Derived from SafeLoader, so only plain data is constructed.
        return yaml.load(text, _UniqueKeyLoader)
    except yaml.YAMLError as error:
        return Failure(
            kind=FailureKind.BAD_REQUEST,
            reason=f"is not YAML: {error}",
            step=Step.CONFIGURATION,
            execution=Execution.NOT_RUN,
        )


__all__ = ["parse_yaml"]
