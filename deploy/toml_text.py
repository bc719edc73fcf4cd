"""Writes TOML: the standard library only reads it."""

from __future__ import annotations

from collections.abc import Mapping


def to_document(tables: Mapping[str, object]) -> str:
    """Return a document: plain values first, then tables, then lists of tables whose name is told
    by ``[[name]]`` when an entry of theirs holds lists of tables itself.
    """
    plain = {key: item for key, item in tables.items() if not _is_section(item)}
    lines = [f"{key} = {to_inline(item)}" for key, item in plain.items()]
    for key, item in tables.items():
        if isinstance(item, dict):
            lines += ["", f"[{key}]", *_entries(item)]
        elif _is_section(item) and isinstance(item, list):
            for entry in item:
                lines += ["", f"[[{key}]]", *_entries(entry)]
    return "\n".join(lines) + "\n"


def to_inline(value: object) -> str:
    """Return a value as TOML has it in one line."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list | tuple):
        return "[" + ", ".join(to_inline(item) for item in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {to_inline(item)}" for key, item in value.items()) + " }"
    raise TypeError(f"no TOML for {type(value).__name__}")


def _entries(table: Mapping[str, object]) -> list[str]:
    return [f"{key} = {to_inline(item)}" for key, item in table.items()]


def _is_section(value: object) -> bool:
    if isinstance(value, dict):
        return True
    is_tables = isinstance(value, list) and bool(value) and isinstance(value[0], dict)
    return is_tables and any(isinstance(item, list) for item in value[0].values())
