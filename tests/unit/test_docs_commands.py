"""Checks that the command line accepts every command shown in the documentation."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterator
from pathlib import Path

import fire
import pytest

from leverjunction.cli.command import DeferredCommand, prepare_arguments
from leverjunction.cli.commands import Commands

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
FENCE = "```"
PROGRAM_PATTERN = re.compile(r"(?:^|[|;(] *)(?:\.venv/bin/)?leverjunction ([^|;>&)]*)")
SUBSTITUTION_PATTERN = re.compile(r'"\$\([^"]*\)"')
PLACEHOLDER = "..."


def iter_shell_lines(text: str) -> Iterator[str]:
    """Yield the lines of fenced code blocks that have no language."""
    language: str | None = None
    for line in text.splitlines():
        if line.startswith(FENCE):
            language = line.removeprefix(FENCE) if language is None else None
        elif language == "":
            yield line


def iter_commands(text: str) -> Iterator[str]:
    """Yield the arguments of each leverjunction command in the code blocks of a text."""
    for line in iter_shell_lines(text):
        for arguments in PROGRAM_PATTERN.findall(SUBSTITUTION_PATTERN.sub("VALUE", line)):
            if PLACEHOLDER not in arguments:
                yield arguments.strip()


DOCUMENTED_COMMANDS = sorted(
    {
        (page.name, arguments)
        for page in PAGES
        for arguments in iter_commands(page.read_text(encoding="utf8"))
    }
)


@pytest.mark.parametrize(("page", "arguments"), DOCUMENTED_COMMANDS)
def test_documented_command_is_parsed(page: str, arguments: str) -> None:
    words = prepare_arguments(shlex.split(arguments, comments=True))
    parsed = fire.Fire(Commands, command=words, serialize=lambda _result: None)
    assert isinstance(parsed, DeferredCommand), f"{page}: {arguments}"


def test_commands_are_found_in_blocks() -> None:
    text = (
        "```yaml\nleverjunction: 1\n```\nleverjunction prose\n```\nleverjunction why X | wc\n```\n"
    )
    assert list(iter_commands(text)) == ["why X"]


LINK_PATTERN = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
LINKING_PAGES = sorted((ROOT / "docs" / "operators").glob("*.md"))


@pytest.mark.parametrize("page", LINKING_PAGES, ids=lambda page: page.name)
def test_links_point_to_existing_files(page: Path) -> None:
    targets = LINK_PATTERN.findall(page.read_text(encoding="utf8"))
    assert [target for target in targets if not (page.parent / target).exists()] == []
