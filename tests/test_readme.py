"""The example of the README runs as it stands."""

import re
from pathlib import Path


def test_readme_example() -> None:
    text = (Path(__file__).parents[1] / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    names: dict[str, object] = {}
    exec(code, names)
    assert names["actions"]
