"""Tests listed in KNOWN-RED.txt are run, expected to fail, and printed at the end of the run."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY = "test: "


def known_failures() -> list[str]:
    """The node ids of the list, one line `test: …` each."""
    if not LIST.exists():
        return []
    lines = LIST.read_text().splitlines()
    return [line.removeprefix(ENTRY).strip() for line in lines if line.startswith(ENTRY)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = set(known_failures())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test in known_failures():
        terminalreporter.write_line(f"known failure, passed over: {test}")
