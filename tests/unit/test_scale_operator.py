from __future__ import annotations

import random

import pytest

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import ApplyChange, ChangeOutcome
from testbed.scale.cli import scale
from testbed.scale.operators import Operator, ScaleError

LOST_ANSWER = Failure(
    kind=FailureKind.TIMEOUT,
    reason="lost",
    step=Step.RESPONDING,
    peer="hub",
    execution=Execution.NOT_RUN,
)


def accepted(version: int) -> ChangeOutcome:
    return ChangeOutcome(
        accepted=True,
        version=version,
        replayed=False,
        winner="",
        winner_ms=0,
        differing_paths=[],
        reason="",
    )


class ForgetfulControl:
    """Commits every change, and loses the answer to chosen tries."""

    def __init__(self, lost_tries: set[int]) -> None:
        self.commands: list[ApplyChange] = []
        self._lost_tries = lost_tries
        self._outcomes: dict[str, ChangeOutcome] = {}

    def propose(self, group: str, command: ApplyChange, *_: object) -> ChangeOutcome | Failure:
        self.commands.append(command)
        version = command.base_version + 1
        outcome = self._outcomes.setdefault(command.change_id, accepted(version))
        return LOST_ANSWER if len(self.commands) in self._lost_tries else outcome


def test_a_change_without_an_answer_is_sent_again_under_its_id() -> None:
    control = ForgetfulControl(lost_tries={1, 2})
    operator = Operator(control, random.Random(1))
    for _ in range(2):
        with pytest.raises(ScaleError, match="lost"):
            operator.small_change(0)
    change = operator.small_change(0)
    assert operator.version == change.version == 1
    assert len({command.change_id for command in control.commands}) == 1
    operator.small_change(1)
    first, *_, last = control.commands
    assert last.change_id != first.change_id
    assert last.base_version == 1


def test_a_folder_with_old_data_is_refused(tmp_path_factory: pytest.TempPathFactory) -> None:
    folder = tmp_path_factory.mktemp("old")
    (folder / "control-0").mkdir()
    assert scale(keep=str(folder), gateways=1, runners=1) == 1
    assert [entry.name for entry in folder.iterdir()] == ["control-0"]


@pytest.mark.parametrize("name", ["help", "gatways", "gateway"])
def test_an_unknown_size_is_refused_before_anything_starts(
    name: str, capfd: pytest.CaptureFixture[str]
) -> None:
    assert scale(**{name: 1}) == 1
    assert capfd.readouterr().out == ""


def test_a_size_of_the_wrong_type_is_refused() -> None:
    assert scale(gateways="many") == 1  # type: ignore[arg-type]
