"""The settings pairs of the wire, path=value, to the nested object that both hosts read.

Translation only: what a setting means and its default is `linetrack/settings.py`'s.
"""

from __future__ import annotations

from typing import Any

from linetrack.policy.settings import Settings
from linetrack.settings import SettingsError, read_settings
from linetrack.simhost.wire import Fields, WireError


def nested(pairs: Fields) -> dict[str, Any]:
    """Paths become objects; where a path has a .count, its items .0, .1 and so on become a list."""
    tree: dict[str, Any] = {}
    for path, value in pairs.items():
        node = tree
        *above, last = path.split(".")
        for name in above:
            below = node.get(name)
            if not isinstance(below, dict):
                below = node[name] = {}
            node = below
        if not isinstance(node.get(last), dict):
            node[last] = value
    return {name: _listed(value, name) for name, value in tree.items()}


def _listed(value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        return value
    below = {name: _listed(part, f"{path}.{name}") for name, part in value.items()}
    if "count" not in below:
        return below
    count = str(below["count"])
    if not count.isdigit():
        raise WireError(f"{path}.count={count!r} is not a whole number")
    return [below.get(str(n), {}) for n in range(int(count))]


def from_pairs(pairs: Fields) -> Settings:
    try:
        return read_settings(nested(pairs))
    except SettingsError as fault:
        raise WireError(str(fault)) from None
