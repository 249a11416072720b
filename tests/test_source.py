"""The decision module as print: size, line length, and nothing of any one deployment."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
LINES = [line for path in POLICY for line in path.read_text().splitlines()]


def test_size_and_line_length() -> None:
    assert 300 <= sum(1 for line in LINES if line.strip()) <= 900
    assert max(map(len, LINES)) <= 110


def test_names_its_interface_first() -> None:
    assert "linetrack/policy/interface.py" in "\n".join(LINES[:5])


def test_reads_no_name_of_place_or_deployment() -> None:
    text = "\n".join(LINES)
    assert not re.search(r"bajio|tiendas|abholung|wien|hq.quotes|regina|leon|environ|\bopen\(", text)
