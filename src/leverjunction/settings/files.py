"""Reads a directory of YAML files as one settings tree, with the source location of every key.

Files are merged, so operators may split the settings as they like. A duplicate key, within one file
or across files, is an error: neither value silently overrides the other.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec
import yaml

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.checks import Finding, check_document, shorten
from leverjunction.settings.flatten import PATH_SEPARATOR
from leverjunction.settings.schema import SettingsTree

SafeLoaders = yaml.SafeLoader | yaml.CSafeLoader
_Loader: type[SafeLoaders] = yaml.CSafeLoader if yaml.__with_libyaml__ else yaml.SafeLoader
"""The libyaml loader where available: it loads 5,600 tenants in 1.9 s instead of 7.0 s."""

FILE_SUFFIXES = (".yaml", ".yml")


class SourceLocation(msgspec.Struct, frozen=True):
    """Source location of a key: file name and line number, counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """An error in the settings files.

    Attributes:
        file: File that contains the error.
        line: Line number, counted from 1; 0 when the error concerns the whole file.
        key: Slash-separated path of the invalid key.
        expected: Description of valid input.
        got: The actual input, truncated.
    """

    file: str
    line: int
    key: str
    expected: str
    got: str

    def __str__(self) -> str:
        got = f", got {self.got}" if self.got else ""
        key = f"key {self.key}: " if self.key else ""
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {key}expected {self.expected}{got}"


class BadSettings(msgspec.Struct, frozen=True):
    """All errors found in files that do not form a valid settings tree."""

    problems: list[Problem]

    def failure(self) -> Failure:
        """Return all errors as a single failure."""
        reason = "; ".join(str(problem) for problem in self.problems)
        return Failure(
            kind=FailureKind.BAD_REQUEST,
            reason=reason,
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )


class LoadedSettings(msgspec.Struct, frozen=True):
    """Settings read from files.

    Attributes:
        tree: The validated tree.
        leaves: Its leaves by path, as they are stored.
        locations: Source location of each key by path.
    """

    tree: SettingsTree
    leaves: dict[str, object]
    locations: dict[str, SourceLocation]


def load_settings(directory: Path) -> LoadedSettings | BadSettings:
    """Read all YAML files below a directory, sorted by path, as one tree."""
    reader = _Reader()
    root = SourceLocation(str(directory), 0)
    files = _files_of(directory)
    if not files:
        got = "one without any" if directory.is_dir() else "no such directory"
        reader.problem(root, "", f"a directory of {' or '.join(FILE_SUFFIXES)} files", got)
    for file in files:
        reader.read(file)
    if not reader.document and not reader.problems:
        reader.problem(root, "", "at least one key", "empty files, which would delete all settings")
    if reader.problems:
        return BadSettings(reader.problems)
    checked = check_document(reader.document)
    if isinstance(checked, list):
        return BadSettings([reader.locate(finding) for finding in checked])
    return LoadedSettings(checked.tree, checked.leaves, reader.locations)


def _files_of(directory: Path) -> list[Path]:
    if directory.is_file():
        return [directory]
    return sorted(
        path
        for path in directory.rglob("*")
        if path.suffix in FILE_SUFFIXES
        and path.is_file()
        and not any(part.startswith(".") for part in path.relative_to(directory).parts)
    )


class _Reader:
    """Merges files into one document and records the source location of each key."""

    def __init__(self) -> None:
        self.document: dict[str, object] = {}
        self.locations: dict[str, SourceLocation] = {}
        self.problems: list[Problem] = []

    def problem(self, place: SourceLocation, key: str, expected: str, got: str) -> None:
        self.problems.append(
            Problem(file=place.file, line=place.line, key=key, expected=expected, got=got)
        )

    def read(self, file: Path) -> None:
        start = SourceLocation(str(file), 0)
        try:
            text = file.read_text(encoding="utf8")
        except (OSError, UnicodeDecodeError) as error:
            self.problem(start, "", "a readable file in UTF-8", f"this fault: {error}")
            return
        loader = _Loader(text)
        try:
            root = loader.get_single_node()
            if root is None:
                return
            if not isinstance(root, yaml.MappingNode):
                self.problem(_place(file, root), "", "a mapping of keys", _kind(root))
                return
            self._merge(file, loader, root, "", self.document, ())
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark
            place = SourceLocation(str(file), mark.line + 1 if mark else 0)
            self.problem(place, "", "YAML", f"this fault: {error.problem or error}")
        except (yaml.YAMLError, ValueError) as error:
            self.problem(start, "", "YAML", f"this fault: {error}")
        finally:
            loader.dispose()

    def _merge(
        self,
        file: Path,
        loader: SafeLoaders,
        node: yaml.MappingNode,
        prefix: str,
        target: dict[str, object],
        open_nodes: tuple[yaml.Node, ...],
    ) -> None:
        seen: dict[str, SourceLocation] = {}
        for key_node, value_node in node.value:
            place = _place(file, key_node)
            key = loader.construct_object(key_node, deep=True)
            if not _is_key(key):
                self.problem(
                    place, prefix + str(key), "a key of text without '/' (quote it)", shorten(key)
                )
                continue
            path = prefix + key
            if key in seen:
                self.problem(place, path, "each key once", f"it also at {seen[key]}")
                continue
            seen[key] = place
            if value_node in open_nodes:
                self.problem(place, path, "no value that contains itself", "a recursive alias")
                continue
            if isinstance(value_node, yaml.MappingNode):
                child = self._child(target, key, path, place)
                if child is not None:
                    inner = (*open_nodes, value_node)
                    self._merge(file, loader, value_node, path + PATH_SEPARATOR, child, inner)
            else:
                self._set(target, key, path, place, loader, value_node)

    def _child(
        self, target: dict[str, object], key: str, path: str, place: SourceLocation
    ) -> dict[str, object] | None:
        child = target.setdefault(key, {})
        first = self.locations.setdefault(path, place)
        if isinstance(child, dict):
            return child
        self.problem(place, path, "a mapping or a value, not both", f"also a value at {first}")
        return None

    def _set(
        self,
        target: dict[str, object],
        key: str,
        path: str,
        place: SourceLocation,
        loader: SafeLoaders,
        node: yaml.Node,
    ) -> None:
        if key in target:
            self.problem(place, path, "each key once", f"it also at {self.locations[path]}")
            return
        self.locations[path] = place
        target[key] = loader.construct_object(node, deep=True)
        if isinstance(node, yaml.SequenceNode):
            for position, item in enumerate(node.value):
                self.locations[f"{path}/{position}"] = _place(Path(place.file), item)

    def locate(self, finding: Finding) -> Problem:
        """Return a finding with the location of its key, or of the nearest ancestor key."""
        place = _nearest(self.locations, finding.path)
        return Problem(
            file=place.file,
            line=place.line,
            key=finding.path,
            expected=finding.expected,
            got=finding.got,
        )


def _is_key(key: object) -> bool:
    return isinstance(key, str) and bool(key) and PATH_SEPARATOR not in key


def _place(file: Path, node: yaml.Node) -> SourceLocation:
    return SourceLocation(str(file), node.start_mark.line + 1)


def _nearest(locations: Mapping[str, SourceLocation], path: str) -> SourceLocation:
    while path:
        if path in locations:
            return locations[path]
        path = path.rpartition(PATH_SEPARATOR)[0]
    return SourceLocation("", 0)


def _kind(node: yaml.Node) -> str:
    return "a sequence" if isinstance(node, yaml.SequenceNode) else "a single value"
