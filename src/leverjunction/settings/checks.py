"""Validates a whole settings document against the schema and the rules that span several keys.

The command line validates operators' files before it plans a change, and the operators' API
validates a change before it proposes it. The replicated state machine does not validate: replicas
that run different releases could then disagree.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, get_args, get_origin

import msgspec
from pydantic import BaseModel, ValidationError

from leverjunction.settings.flatten import (
    PATH_SEPARATOR,
    FlattenError,
    Leaves,
    flatten,
    unflatten,
)
from leverjunction.settings.schema import Serving, SettingsTree

HIGHEST_BATCH_PRIORITY = 3
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_MAX_SHOWN_CHARACTERS = 80


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A validation error in a settings document.

    Attributes:
        path: Slash-separated path of the invalid key.
        expected: Description of a valid value.
        got: The actual value, truncated; empty if there is none.
    """

    path: str
    expected: str
    got: str


class CheckedSettings(msgspec.Struct, frozen=True):
    """A valid document, as a typed tree and as the leaves that are stored."""

    tree: SettingsTree
    leaves: dict[str, object]


def check_document(document: dict[str, object]) -> CheckedSettings | list[Finding]:
    """Return the settings of a nested document, or all validation errors.

    Values are not coerced: ``"5"`` is not a number and ``1`` is not a version.
    """
    try:
        tree = SettingsTree.model_validate(document, strict=True)
    except ValidationError as error:
        return [_finding(item) for item in error.errors()]
    findings = [*_invalid_names(tree), *_invalid_priorities(tree), *_invalid_references(tree)]
    findings += _duplicates(_zones(tree), "a zone of one region only")
    findings += _duplicates(_models(tree), "a model of one service only")
    findings += _duplicates(_key_hashes(tree), "a key of one tenant only")
    if findings:
        return findings
    try:
        leaves = flatten(tree.model_dump(mode="json", exclude_unset=True, exclude_none=True))
    except FlattenError as error:
        return [Finding(path="", expected="keys that a path can hold", got=str(error))]
    return CheckedSettings(tree, leaves)


def check_leaves(leaves: Leaves) -> list[Finding]:
    """Return the validation errors of a tree that is given as leaves."""
    checked = check_document(unflatten(leaves))
    return checked if isinstance(checked, list) else []


def shorten(value: object) -> str:
    """Return the ``repr`` of a value, truncated to 80 characters."""
    text = repr(value)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[: _MAX_SHOWN_CHARACTERS - 3] + "..."


def _finding(item: Any) -> Finding:
    location = tuple(item["loc"])
    path = PATH_SEPARATOR.join(str(part) for part in location)
    if item["type"] == "missing":
        return Finding(path=path, expected="a value, the key is required", got="")
    if item["type"] == "extra_forbidden":
        known = ", ".join(_known_keys(location[:-1]))
        return Finding(path=path, expected=f"one of the keys {known}", got=str(location[-1]))
    if item["type"] == "model_type":
        known = ", ".join(_known_keys(location))
        return Finding(path=path, expected=f"a mapping of {known}", got=shorten(item["input"]))
    return Finding(path=path, expected=_expected(item["msg"]), got=shorten(item["input"]))


def _expected(message: str) -> str:
    for prefix in ("Input should be ", "Value should "):
        if message.startswith(prefix):
            return message.removeprefix(prefix)
    return message


def _known_keys(location: tuple[object, ...]) -> list[str]:
    """Return the keys that the schema allows at a location."""
    model: Any = SettingsTree
    for part in location:
        if isinstance(model, type) and issubclass(model, BaseModel):
            field = model.model_fields.get(str(part))
            model = field.annotation if field else None
        elif get_origin(model) is dict:
            model = get_args(model)[1]
    is_model = isinstance(model, type) and issubclass(model, BaseModel)
    return list(model.model_fields) if is_model else []


def _invalid_names(tree: SettingsTree) -> Iterator[Finding]:
    for path in _named_paths(tree):
        name = path.rsplit("/", 1)[-1]
        if not _NAME.fullmatch(name):
            yield Finding(
                path=path,
                expected="a name of letters, digits, '.', '_' and '-', from a letter or digit",
                got=shorten(name),
            )


def _named_paths(tree: SettingsTree) -> Iterator[str]:
    for section in ("regions", "services", "tenants", "batch_classes"):
        yield from (f"{section}/{name}" for name in getattr(tree, section))
    yield from (path for path, _ in _zones(tree))
    yield from (path for path, _ in _models(tree))
    for service_name, service in tree.services.items():
        for model_name, model in service.models.items():
            for adapter in model.adapters:
                yield f"services/{service_name}/models/{model_name}/adapters/{adapter}"


def _invalid_priorities(tree: SettingsTree) -> Iterator[Finding]:
    # Engines count priorities 0 to 3 as batch work in their load reports.
    for path, serving in _serving_blocks(tree):
        batch, online = serving.batch_priority, serving.online_priority
        if batch is not None and batch > HIGHEST_BATCH_PRIORITY:
            yield Finding(
                path=f"{path}/batch_priority",
                expected=f"at most {HIGHEST_BATCH_PRIORITY}, the highest one of batch work",
                got=str(batch),
            )
        if online is not None and online <= HIGHEST_BATCH_PRIORITY:
            yield Finding(
                path=f"{path}/online_priority",
                expected=f"more than {HIGHEST_BATCH_PRIORITY}, the highest one of batch work",
                got=str(online),
            )


def _serving_blocks(tree: SettingsTree) -> Iterator[tuple[str, Serving]]:
    yield "defaults/serving", tree.defaults.serving
    for region_name, region in tree.regions.items():
        yield f"regions/{region_name}/serving", region.serving
        for zone_name, zone in region.zones.items():
            yield f"regions/{region_name}/zones/{zone_name}/serving", zone.serving
    for service_name, service in tree.services.items():
        yield f"services/{service_name}/serving", service.serving
        for model_name, model in service.models.items():
            path = f"services/{service_name}/models/{model_name}"
            yield f"{path}/serving", model.serving
            for adapter_name, adapter in model.adapters.items():
                yield f"{path}/adapters/{adapter_name}/serving", adapter.serving


def _invalid_references(tree: SettingsTree) -> Iterator[Finding]:
    for tenant_name, tenant in tree.tenants.items():
        for position, service in enumerate(tenant.services):
            if service not in tree.services:
                yield Finding(
                    path=f"tenants/{tenant_name}/services/{position}",
                    expected="the name of a service in the settings",
                    got=shorten(service),
                )
        for position, key_hash in enumerate(tenant.api_key_hashes):
            if not _KEY_HASH.fullmatch(key_hash):
                yield Finding(
                    path=f"tenants/{tenant_name}/api_key_hashes/{position}",
                    expected="a SHA-256 as 64 lower-case hex digits",
                    got=f"{len(key_hash)} characters",
                )


def _zones(tree: SettingsTree) -> Iterator[tuple[str, str]]:
    for region_name, region in tree.regions.items():
        for zone in region.zones:
            yield f"regions/{region_name}/zones/{zone}", zone


def _models(tree: SettingsTree) -> Iterator[tuple[str, str]]:
    for service_name, service in tree.services.items():
        for model in service.models:
            yield f"services/{service_name}/models/{model}", model


def _key_hashes(tree: SettingsTree) -> Iterator[tuple[str, str]]:
    for tenant_name, tenant in tree.tenants.items():
        for position, key_hash in enumerate(tenant.api_key_hashes):
            yield f"tenants/{tenant_name}/api_key_hashes/{position}", key_hash


def _duplicates(named: Iterator[tuple[str, str]], expected: str) -> list[Finding]:
    first: dict[str, str] = {}
    findings: list[Finding] = []
    for path, name in named:
        if name in first:
            got = f"the same as {first[name]}"
            findings.append(Finding(path=path, expected=expected, got=got))
        first.setdefault(name, path)
    return findings
