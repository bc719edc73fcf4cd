"""Tests that the product and those who play its surroundings state the platform's names apart."""

from __future__ import annotations

import ast
import importlib
import json
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

import msgspec
import pytest

from leverjunction.config.machine import MachineConfig
from leverjunction.lots.commands import ItemState
from leverjunction.platform import control_calls, gateway_calls, headers, roles, route_table
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.records import RunnerState
from leverjunction.routes.types import RouteClass
from testbed import platform_words as words

ROOT = Path(__file__).parent.parent.parent
ADAPTER = "leverjunction.platform"
MODULES = (control_calls, gateway_calls, headers, roles, route_table)
STATEMENT = ROOT / "src" / "testbed" / "platform_words.py"
PLAYERS = sorted(
    path
    for folder in ("src/testbed", "deploy", "tests")
    for path in (ROOT / folder).rglob("*.py")
    if path != Path(__file__)
)

FIELDS = {
    "control_calls._HeartbeatPayload": words.BEAT_FIELDS,
    "control_calls._LeavePayload": words.LEAVE_FIELDS,
    "control_calls._RetirementPayload": words.RETIREMENT_FIELDS,
    "gateway_calls._ItemPayload": words.ITEM_FIELDS,
    "gateway_calls._LotPayload": words.LOT_FIELDS,
    "gateway_calls._ResultPayload": words.RESULT_FIELDS,
    "gateway_calls._PagePayload": words.PAGE_FIELDS,
    "headers._ReportPayload": words.REPORT_FIELDS,
    "route_table._Payload": frozenset(),
    "route_table._SplitPayload": words.SPLIT_FIELDS,
    "route_table._RoutePayload": words.ROUTE_FIELDS,
    "route_table._EnginePayload": words.ENGINE_FIELDS,
    "route_table._ServicePayload": words.SERVICE_FIELDS,
    "route_table._LimitsPayload": words.LIMITS_FIELDS,
    "route_table._TenantPayload": words.TENANT_FIELDS,
    "route_table._TablePayload": words.TABLE_FIELDS,
}

HTTP_AND_PYTHON = frozenset(
    {
        "Host",
        "Content-Type",
        "Content-Length",
        "application/json",
        "close",
        "GET",
        "POST",
        "DELETE",
        "OK",
        "Refused",
        "CONTENT_LENGTH",
        "HTTP_TRANSFER_ENCODING",
        "PATH_INFO",
        "REQUEST_METHOD",
        "wsgi.input",
        "utf8",
        "ascii",
        "latin-1",
        "pascal",
    }
)
THE_PRODUCTS_OWN = frozenset(
    {
        "ControlCalls",
        "body",
        "status",
        "gateway",
        "control",
        "store",
        "control-calls",
        "leverjunction",
        "INFO",
        "heartbeat",
        "farewell",
        "load",
        "report",
        "Error",
    }
)
"""Attributes, roles, counters, a log level, and the field of a reason for people.

With the set above: all words in the adapter that stand on no page.
"""

WORD = re.compile(r"/?[A-Za-z][\w./-]*")
GAP = re.compile(r"\{\{([#/^]?)([\w.]+)(\|json)?\}\}")
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def holds_words(value: object) -> bool:
    """Return whether a value is a word of the adapter or a collection of words."""
    if isinstance(value, str | bytes):
        return True
    if isinstance(value, dict | set | frozenset | list | tuple):
        return any(holds_words(item) for item in value)
    return False


def imported_words(path: Path) -> list[str]:
    """Return the words that a file takes from the adapter."""
    tree = ast.parse(path.read_text(encoding="utf8"))
    modules: dict[str, ModuleType] = {}
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.startswith(ADAPTER):
                    modules[alias.asname or alias.name] = importlib.import_module(alias.name)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith(ADAPTER):
            for name, value in _imported(node):
                if isinstance(value, ModuleType):
                    modules[name] = value
                elif holds_words(value):
                    found.append(name)
        elif isinstance(node, ast.ImportFrom) and node.module == "leverjunction":
            for alias in node.names:
                if alias.name == "platform":
                    found.append("platform")
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            module = modules.get(ast.unparse(node.value))
            if module is not None and holds_words(getattr(module, node.attr, None)):
                found.append(ast.unparse(node))
    return found


def _imported(node: ast.ImportFrom) -> Iterator[tuple[str, object]]:
    module = importlib.import_module(node.module or "")
    for alias in node.names:
        if alias.name == "*":
            yield from vars(module).items()
        elif hasattr(module, alias.name):
            yield alias.asname or alias.name, getattr(module, alias.name)
        else:
            submodule = importlib.import_module(f"{node.module}.{alias.name}")
            yield alias.asname or alias.name, submodule


@pytest.mark.parametrize(
    "line",
    [
        "from leverjunction.platform.headers import RESUMES",
        "from leverjunction.platform.headers import RESUMES as NAMED, PlatformDialect",
        "from leverjunction.platform.headers import *",
        "from leverjunction.platform import headers as names\nprint(names.RESUMES)",
        "import leverjunction.platform.headers\nprint(leverjunction.platform.headers.RESUMES)",
        "import leverjunction.platform.headers as names\nprint(names.RESUMES.decode())",
        "from leverjunction.platform.route_table import _ROUTE_KINDS",
        "from leverjunction import platform",
    ],
)
def test_an_imported_word_is_found(tmp_path: Path, line: str) -> None:
    path = tmp_path / "caller.py"
    path.write_text(line)
    assert imported_words(path) != []


def test_no_stand_in_speaks_words_of_the_product() -> None:
    assert {path.name: found for path in PLAYERS if (found := imported_words(path))} == {}


def test_the_stated_words_come_from_nowhere_else() -> None:
    tree = ast.parse(STATEMENT.read_text(encoding="utf8"))
    imports = [node for node in ast.walk(tree) if isinstance(node, ast.Import | ast.ImportFrom)]
    assert [ast.unparse(node) for node in imports] == ["from __future__ import annotations"]


def test_streams_are_looked_up_by_the_header_that_callers_send() -> None:
    sent = [(words.RESUMES.encode(), b"ad78a7c456ff3a30"), (words.LAST_EVENT_ID.encode(), b"1")]
    request = PlatformDialect().read_request(sent)
    assert (request.resumes, request.last_event_id) == ("ad78a7c456ff3a30", "1")


def test_each_header_and_path_is_the_stated_one() -> None:
    used = {
        name: value.decode() if isinstance(value, bytes) else value
        for module in MODULES
        for name, value in vars(module).items()
        if name.isupper() and isinstance(value, str | bytes) and WORD.fullmatch(_text(value))
    }
    assert used == {name: getattr(words, name, None) for name in used}


def test_the_headers_that_are_read_are_the_stated_ones() -> None:
    stated = words.CALLER_FIELDS | words.BACK_END_FIELDS | {words.AUTHORIZATION}
    read = headers._PARSED_FIELDS | {headers.API_KEY.lower()}
    assert read == {name.lower().encode() for name in stated}


def test_the_headers_that_are_set_are_the_stated_ones() -> None:
    dialect = PlatformDialect()
    added = dialect.forwarded_headers([], 1.0, "i-1", "5", "acme")
    assert {name.decode() for name, _ in added} == words.SYSTEM_FIELDS
    own = dialect.own_response_headers("r-1", 0.5)
    assert {name.decode() for name, _ in own} == {words.REQUEST_ID, words.RETRY_AFTER}


def test_the_calls_that_are_answered_are_the_stated_ones() -> None:
    assert set(control_calls._HANDLERS) == {
        ("POST", words.REPLACE_PATH),
        ("GET", words.READ_BACK_PATH),
        ("POST", words.BEAT_PATH),
        ("POST", words.LEAVE_PATH),
        ("POST", words.RETIRE_PATH),
        ("GET", words.RETIREMENT_PATH),
    }
    assert set(gateway_calls._HANDLERS) == {
        (b"GET", words.LOTS_PATH),
        (b"DELETE", words.LOTS_PATH),
        (b"GET", words.ITEMS_PATH),
    }


def test_the_fields_of_bodies_are_the_stated_ones() -> None:
    used = {
        f"{module.__name__.rpartition('.')[2]}.{name}": frozenset(
            field.encode_name for field in msgspec.structs.fields(value)
        )
        for module in MODULES
        for name, value in vars(module).items()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__module__ == module.__name__
    }
    assert used == FIELDS


def test_the_values_of_enumerations_are_the_stated_ones() -> None:
    assert control_calls._RUNNER_STATES == {
        "ready": RunnerState.READY,
        "draining": RunnerState.LEAVING,
    }
    assert set(control_calls._RUNNER_STATES) == words.RUNNER_STATES
    assert route_table._ROUTE_KINDS == {
        "idempotent": RouteClass.REPEATABLE,
        "non_idempotent": RouteClass.ONCE,
        "streaming": RouteClass.STREAM,
        "batch": RouteClass.BATCH,
    }
    assert set(route_table._ROUTE_KINDS) == words.ROUTE_KINDS
    assert {state.value for state in ItemState} == words.RESULT_STATES
    assert gateway_calls.MAX_ITEMS == words.LARGEST_LOT


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.__name__)
def test_each_word_of_the_adapter_is_stated(module: ModuleType) -> None:
    known = {*_stated_words(), *HTTP_AND_PYTHON, *THE_PRODUCTS_OWN}
    stated = {word.lower() for word in known}
    used = {word for word in _literals(module) if WORD.fullmatch(word)}
    assert {word for word in used if word.lower() not in stated} == set()


def _stated_words() -> Iterator[str]:
    for name, value in vars(words).items():
        if name.isupper() and isinstance(value, str):
            yield value
        elif name.isupper() and isinstance(value, frozenset):
            yield from value


def _literals(module: ModuleType) -> Iterator[str]:
    """Yield the texts of a module but for docstrings and messages that are put together."""
    tree = ast.parse(Path(module.__file__ or "").read_text(encoding="utf8"))
    skipped: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr):
            skipped.add(id(node.value))
        elif isinstance(node, ast.JoinedStr):
            skipped.update(id(part) for part in ast.walk(node))
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in skipped:
            continue
        if isinstance(node.value, str | bytes):
            yield _text(node.value)


def _text(value: str | bytes) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else value


TEMPLATES = sorted((ROOT / "deploy").glob("*.template"))
SETTINGS: dict[str, object] = {
    "NodeName": "n-1",
    "Zone": "z-1",
    "Ip": "127.0.0.1",
    "Seeds": ["127.0.0.1:8146", "127.0.0.2:8146"],
    "InternalPorts.0": 7660,
    "Bootstrap": True,
    "FaultTolerance.Machines": 2,
    "Limits.MemoryMb": 300,
    "DataDir": "/data",
    "Listen.Front": "127.0.0.1:8144",
    "Listen.Ready": "127.0.0.1:8140",
    "Listen.Control": "127.0.0.1:8146",
    "Bounds.QuotaWindowS": 6,
    "Bounds.QuotaOvershoot": 0.1,
    "Bounds.QuotaSlack": 20,
    "Bounds.FailClosed": True,
    "Bounds.RevokeMs": 4000,
    "Bounds.GraceS": 9,
    "Bounds.DrainMs": 2500,
    "Bounds.StatusS": 110,
    "Bounds.ConfigApplyMs": 1500,
}
WITHOUT_TENANTS = frozenset(
    f"Bounds.{name}"
    for name in ("QuotaWindowS", "QuotaOvershoot", "QuotaSlack", "FailClosed", "RevokeMs")
)


def filled(template: str, settings: dict[str, object]) -> str:
    """Return a template with its gaps filled as the deploy page says."""
    kept = SECTION.sub(lambda found: found[2] if settings.get(found[1]) else "", template)

    def fill(gap: re.Match[str]) -> str:
        value = settings[gap[2]]
        plain = isinstance(value, str) and not gap[3]
        return str(value) if plain else json.dumps(value)

    return GAP.sub(fill, kept)


def test_templates_name_the_stated_settings() -> None:
    used = {gap[2] for path in TEMPLATES for gap in GAP.finditer(path.read_text())}
    assert used == words.SETTINGS_FIELDS == set(SETTINGS)


@pytest.mark.parametrize("path", TEMPLATES, ids=lambda path: path.name)
def test_each_setting_reaches_the_process(path: Path) -> None:
    text = filled(path.read_text(), SETTINGS)
    config = msgspec.json.decode(text, type=MachineConfig)
    bounds = config.bounds
    assert (config.name, config.zone, config.seeds) == ("n-1", "z-1", tuple(SETTINGS["Seeds"]))  # type: ignore[arg-type]
    assert (config.first_start, config.losses, config.memory_mb) == (True, 2, 300)
    assert config.listen.rpc == f"127.0.0.1:{config.rpc_seed_port}" == "127.0.0.1:7660"
    assert (bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack) == (6, 0.1, 20)
    assert (bounds.stop_grace_s, bounds.drain_ms, bounds.status_s) == (9, 2500, 110)
    assert bounds.in_force_ms == 1500
    listen = config.listen
    if path.name.startswith("gateway"):
        assert (listen.callers, listen.ready) == ("127.0.0.1:8144", "127.0.0.1:8140")
        assert (bounds.refuse_stale_keys, bounds.revoke_ms) == (True, 4000)
    else:
        assert config.data_folder == "/data"
    if path.name.startswith("control"):
        assert listen.control == "127.0.0.1:8146"


@pytest.mark.parametrize("path", TEMPLATES, ids=lambda path: path.name)
def test_settings_that_a_deployment_leaves_out_keep_their_defaults(path: Path) -> None:
    given = {name: value for name, value in SETTINGS.items() if name not in WITHOUT_TENANTS}
    config = msgspec.json.decode(filled(path.read_text(), given), type=MachineConfig)
    assert (config.bounds.refuse_stale_keys, config.bounds.quota_overshoot) == (False, 0.0)


def test_the_deploy_file_uses_the_stated_keys() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert set(deploy) <= words.DEPLOY_FIELDS
    for role in deploy["roles"].values():
        assert set(role) <= words.ROLE_FIELDS
        assert role["on"] in words.MACHINE_CLASSES
        assert set(role["serves"]) <= words.SERVED
