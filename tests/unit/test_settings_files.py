"""Settings files: errors name the file, line and key, and the expected and actual input."""

from __future__ import annotations

from pathlib import Path

import pytest

from leverjunction.settings.files import BadSettings, LoadedSettings, load_settings
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow

EXAMPLES = Path(__file__).parents[2] / "examples"
HASH = "a" * 64


@pytest.mark.parametrize(
    ("text", "line", "key", "expected", "got"),
    [
        (
            "services:\n  s:\n    serving:\n      max_queue: lots\n",
            4,
            "services/s/serving/max_queue",
            "a valid integer",
            "'lots'",
        ),
        ("services:\n  s:\n    servng: {}\n", 3, "services/s/servng", "serving, models", "servng"),
        ("tenants:\n\n  t: {}\n", 3, "tenants/t/api_key_hashes", "required", ""),
        (f"tenants:\n  t:\n    api_key_hashes:\n      - {HASH}\n      - abc\n", 5,
         "tenants/t/api_key_hashes/1", "SHA-256", "3 characters"),
        ("services:\n  s: {}\n  s: {}\n", 3, "services/s", "each key once", "one.yaml:2"),
        ("services:\n  1: {}\n", 2, "services/1", "text without '/'", "1"),
        ("services:\n  a/b: {}\n", 2, "services/a/b", "text without '/'", "'a/b'"),
        ("services:\n  'a:b': {}\n", 2, "services/a:b", "a name of letters", "'a:b'"),
        ("services:\n  s: [\n", 3, "", "YAML", ""),
        ("- 1\n", 1, "", "a mapping of keys", "a sequence"),
        ("services: &s\n  x: *s\n", 2, "services/x", "contains itself", "recursive"),
        ("services: {s: {models: {m: {version: 2}}}}\n", 1, "services/s/models/m/version",
         "a valid string", "2"),
        ("defaults:\n  serving:\n    batch_priority: 7\n", 3, "defaults/serving/batch_priority",
         "at most 3", "7"),
        ("defaults:\n  serving:\n    deadline_s: .inf\n", 3, "defaults/serving/deadline_s",
         "a finite number", "inf"),
        ("services: {s: {models: {m: {version: ''}}}}\n", 1, "services/s/models/m/version",
         "at least 1 character", "''"),
        ("defaults:\n  serving:\n    interference: yes\n", 3, "defaults/serving/interference",
         "a valid number", "True"),
        ("services:\n  a: {models: {m: {}}}\n  b:\n    models:\n      m: {}\n", 5,
         "services/b/models/m", "one service only", "services/a/models/m"),
        (f"tenants:\n  t:\n    api_key_hashes: ['{HASH}']\n    services: [none]\n", 4,
         "tenants/t/services/0", "name of a service", "'none'"),
    ],
)  # fmt: skip
def test_bad_files(tmp_path: Path, text: str, line: int, key: str, expected: str, got: str) -> None:
    file = tmp_path / "one.yaml"
    file.write_text(text)
    loaded = load_settings(tmp_path)
    assert isinstance(loaded, BadSettings)
    problem = loaded.problems[0]
    assert (problem.file, problem.line, problem.key) == (str(file), line, key)
    assert expected in problem.expected
    assert got in problem.got
    assert f"{file}:{line}: " in loaded.failure().reason


@pytest.mark.parametrize(
    ("second", "got"),
    [
        ("defaults: {serving: {max_queue: 2}}", "it also at"),
        ("defaults: {serving: {max_queue: 2}}", "first.yaml:3"),
        ("defaults: {serving: 4}", "first.yaml:2"),
        ("defaults: {serving: {max_queue: {}}}", "first.yaml:3"),
    ],
)
def test_two_files_may_not_set_one_key(tmp_path: Path, second: str, got: str) -> None:
    (tmp_path / "first.yaml").write_text("defaults:\n  serving:\n    max_queue: 1\n")
    (tmp_path / "second.yaml").write_text(second)
    loaded = load_settings(tmp_path)
    assert isinstance(loaded, BadSettings)
    assert loaded.problems[0].file.endswith("second.yaml")
    assert got in loaded.problems[0].got


def test_files_are_merged_with_source_locations(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text("services:\n  s:\n    models: {m: {}}\n")
    (tmp_path / "sub").mkdir()
    (tmp_path / "sub" / "b.yml").write_text("services:\n  s:\n    serving: {max_queue: 3}\n")
    (tmp_path / ".hidden.yaml").write_text("nonsense: 1")
    (tmp_path / "empty.yaml").write_text("# nothing yet\n")
    loaded = load_settings(tmp_path)
    assert isinstance(loaded, LoadedSettings)
    assert loaded.leaves == {"services/s/models/m": {}, "services/s/serving/max_queue": 3}
    assert str(loaded.locations["services/s/serving/max_queue"]).endswith("b.yml:3")


@pytest.mark.parametrize(
    ("folder", "text", "expected"),
    [
        (
            "missing",
            "a: 1",
            "missing: expected a directory of .yaml or .yml files, got no such dir",
        ),
        (
            "empty",
            "a: 1",
            "empty: expected a directory of .yaml or .yml files, got one without any",
        ),
        ("", "# nothing\n", ": expected at least one key, got empty files, which would delete all"),
    ],
)
def test_a_directory_without_settings_is_refused(
    tmp_path: Path, folder: str, text: str, expected: str
) -> None:
    (tmp_path / "empty").mkdir()
    (tmp_path / "one.yaml").write_text(text)
    loaded = load_settings(tmp_path / folder)
    assert isinstance(loaded, BadSettings)
    assert expected in str(loaded.problems[0])


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("batch_classes:\n  c: 5\n", "one.yaml:2: key batch_classes/c: expected a mapping of dead"),
        ("services: [\n", "one.yaml:2: expected YAML, got this fault: "),
        ("a: 1\na: 1\n", "one.yaml:2: key a: expected each key once, got it also at "),
    ],
)
def test_problem_messages(tmp_path: Path, text: str, message: str) -> None:
    (tmp_path / "one.yaml").write_text(text)
    loaded = load_settings(tmp_path)
    assert isinstance(loaded, BadSettings)
    assert message in str(loaded.problems[0])


@pytest.mark.parametrize(
    ("name", "key", "tenant", "models"),
    [
        (
            "kilimo",
            "kilimo-demo-key",
            "kilimo",
            {"trace-small": "summaries", "issue-api": "issues"},
        ),
        (
            "hanbit",
            "hanbit-demo-key",
            "hanbit",
            {"doc-convert": "conversion", "notice-api": "notices"},
        ),
    ],
)
def test_examples(name: str, key: str, tenant: str, models: dict[str, str]) -> None:
    loaded = load_settings(EXAMPLES / name / "settings")
    assert isinstance(loaded, LoadedSettings), loaded
    rows = [SettingRow(path, value, 1) for path, value in loaded.leaves.items()]
    settings = ResolvedSettings.from_rows(rows)
    assert settings.tenant_for_key(key) == tenant
    assert settings.tenant_for_key("batch-demo-key") is not None
    assert {model: settings.service_for_model(model) for model in models} == models
