"""The module stays small enough to be read at night."""

from pathlib import Path

MODULE = Path(__file__).parents[1] / "onyxpulley" / "router.py"


def test_module_limits() -> None:
    lines = MODULE.read_text().splitlines()
    assert len([line for line in lines if line.strip()]) <= 750
    assert max(len(line) for line in lines) <= 110
    assert "interface.py" in "\n".join(lines[:5])
