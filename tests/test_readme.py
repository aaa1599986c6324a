"""The README's example does what it says."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from lotuspick.core.state import SessionPhase


def test_example_of_the_readme_forwards_the_session(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example is not None
    names: dict = {}
    exec(example[1], names)
    assert "ForwardAttempt(session='s1', server='box-1:80'" in capsys.readouterr().out
    assert names["broker"].sessions["s1"].phase is SessionPhase.PLAYING


def test_the_page_of_crossings_names_tests_that_are_there() -> None:
    root = Path(__file__).parent
    named = re.findall(
        r"`(test_\w+)((?:\.\w+)+)`", (root.parent / "docs" / "crossings.md").read_text(encoding="utf-8")
    )
    assert len(named) > 60
    for file, path in named:
        text = next(root.rglob(f"{file}.py")).read_text(encoding="utf-8")
        *classes, test = path[1:].split(".")
        start = 0
        for each in classes:
            start = text.index(f"\nclass {each}(", start)
        end = text.find("\nclass ", start + 1) if classes else -1
        assert re.search(rf"\n {{0,4}}def {test}\(", text[start : end if end > 0 else None]), f"{file}{path}"
