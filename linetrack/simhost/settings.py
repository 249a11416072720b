"""Converts the settings of the simulator's wire protocol from pairs of path and value to a nested object.

`linetrack/settings.py` reads that object; it defines the meaning and the default of each setting.
"""

from __future__ import annotations

from typing import Any

from linetrack.policy.settings import Settings
from linetrack.settings import SettingsError, read_settings
from linetrack.simhost.fields import Fields, InvalidFieldError, WireError

LENGTH_KEY = "count"  # an object with this key is a list of that length, with the items under 0, 1 and so on


def parse_settings(pairs: Fields) -> Settings:
    """Return the policy's settings.

    Raises:
        WireError: a setting is missing or invalid.
    """
    try:
        return read_settings(nest_settings(pairs))
    except SettingsError as error:
        raise WireError(str(error)) from None


def nest_settings(pairs: Fields) -> dict[str, Any]:
    """Return the pairs as nested objects, and as lists where an object has a length."""
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        *parents, name = path.split(".")
        node = root
        for parent in parents:
            node = _child(node, parent)
        if not isinstance(node.get(name), dict):
            node[name] = value
    return {name: _with_lists(value, name) for name, value in root.items()}


def _child(node: dict[str, Any], name: str) -> dict[str, Any]:
    child = node.get(name)
    if not isinstance(child, dict):
        child = node[name] = {}
    return child


def _with_lists(value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        return value
    children = {name: _with_lists(child, f"{path}.{name}") for name, child in value.items()}
    if LENGTH_KEY not in children:
        return children
    length = str(children[LENGTH_KEY])
    if not length.isdigit():
        raise InvalidFieldError(f"{path}.{LENGTH_KEY}", length, "is not a whole number")
    return [children.get(str(index), {}) for index in range(int(length))]
