"""Random settings and events: no event raises, and a ready endpoint is used; invalid input is rejected."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linetrack.policy.settings import Settings
from linetrack.server.config import ConfigError, parse_config
from linetrack.server.endpoint_list import parse_endpoint_list
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.settings import SettingsError, read_settings
from tests.control.accepted_settings import policy_settings
from tests.control.random_history import RandomHost

EVENTS_PER_PHASE = 25  # before the settings switch, between it and the handover, and after that


@given(policy_settings(), policy_settings(), policy_settings(), st.integers(0, 10**6), st.booleans())
@settings(max_examples=300)
def test_no_event_raises_and_a_ready_endpoint_is_used(
    first: Settings, second: Settings, third: Settings, seed: int, has_overload_control: bool
) -> None:
    """An exception in a decision would end the process and lose every request in flight."""
    host = RandomHost(first, seed, has_overload_control)
    for _ in range(EVENTS_PER_PHASE):
        host.step()
    host.change_settings(second)
    for _ in range(EVENTS_PER_PHASE):
        host.step()
    host.hand_over(second if seed % 2 else third)
    for _ in range(EVENTS_PER_PHASE):
        host.step()
    assert host.serves_through_a_ready_endpoint()


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)
list_entry = st.fixed_dictionaries(
    {"state": st.sampled_from(["SERVING", "DELETED", "?"]) | json_values},
    optional={
        key: json_values | st.just("127.0.0.1:1")
        for key in ("id", "addr", "zone", "kind", "cell", "weight", "started_ms")
    },
)
endpoint_list = st.fixed_dictionaries(
    {"version": st.integers() | json_values, "full": st.booleans() | json_values},
    optional={"servers": st.lists(list_entry | json_values, max_size=3) | json_values},
)


@given(endpoint_list | json_values)
def test_an_endpoint_list_is_parsed_or_rejected_as_malformed(value: Any) -> None:
    with suppress(MalformedMessageError):
        parse_endpoint_list(value)


CONFIG = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
platform_keys = ("classes", "azs", "zone", "rules", "allowed", "stats", "goal", "customers", "deductions")


@given(
    st.dictionaries(st.sampled_from(platform_keys), json_values),
    st.dictionaries(st.sampled_from(("settings", "limits", "known", "seed", "storms")), json_values),
)
def test_a_configuration_is_parsed_or_rejected_with_a_config_error(
    platform: dict[str, Any], others: dict[str, Any]
) -> None:
    with suppress(ConfigError):
        parse_config({**CONFIG, "settings": platform, **others}, {})


ONE_CLASS = {"deadlineUs": 1000}


@pytest.mark.parametrize("value", [-1, 10**31, float("inf"), float("nan"), "x", None, True])
@pytest.mark.parametrize("key", ["warmUpUs", "overloadForUs", "fallMultiple", "coldFrom", "drainGraceUs"])
def test_an_implausible_number_is_rejected_with_its_key(key: str, value: Any) -> None:
    """If such a setting were accepted, a later event would raise and end the process."""
    with pytest.raises(SettingsError) as raised:
        read_settings({"classes": [ONE_CLASS], "rules": {key: value}})
    assert raised.value.key == f"rules.{key}"
