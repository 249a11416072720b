"""The configuration, in the platform's form, of a sidecar that a test starts."""

from __future__ import annotations

import copy
from typing import Any

from tests.support.units import MS, SECOND

CLASSES = [
    {"name": "look", "repeat": "free", "aimUs": 500 * MS, "deadlineUs": 2 * SECOND, "worth": 1.0},
    {"name": "pay", "repeat": "single_shot", "aimUs": 500 * MS, "deadlineUs": 2 * SECOND, "worth": 1.0},
    {
        "name": "book",
        "repeat": "guarded",
        "dedupScope": "all",
        "dedupWindowUs": SECOND,
        "aimUs": 500 * MS,
        "deadlineUs": 2 * SECOND,
        "worth": 1.0,
    },
]


def platform_settings(**allowed: Any) -> dict[str, Any]:
    """Return settings in the platform's form; `allowed` overrides keys of the table of that name."""
    permissions = {"mayCancel": True, "parallelTries": False, "retryAfter": True, "maxRetryAfterUs": 500 * MS}
    return {
        "classes": copy.deepcopy(CLASSES),
        "azs": ["north", "south"],
        "skus": ["plain"],
        "zone": 0,
        "me": 0,
        "balancers": 1,
        "registryMode": "subscribe",
        "rules": {"askEveryUs": 10 * SECOND, "drainGraceUs": SECOND},
        "stats": {"how": "inline", "fields": ["depth", "tps"]},
        "allowed": {
            "maxAttempts": 3,
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            **permissions,
            **allowed,
        },
    }


def sidecar_config(discovery: str, known: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": known},
        "settings": platform_settings(**allowed),
    }
