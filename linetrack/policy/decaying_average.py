"""Smoothed figures of the policy, each with what it rests on."""

from __future__ import annotations

import math

SECOND = 1_000_000
FORGET_SPEED = 12 * SECOND  # what rests on own answers fades to what is known of its pool over this time
MEMORY = 10.0  # answers that a smoothed figure rests on at most, so that each newer one still tells
TRUST = 2.0  # answers at which an own figure counts as much as its pool's


class Evidence:
    """A smoothed figure that knows how many answers it rests on, which fade with time.  Guards against thin
    evidence: an instance may hear an upstream once in many seconds, so its pool's figure counts beside."""

    __slots__ = ("at", "value", "weight")

    def __init__(self) -> None:
        self.value = self.weight = 0.0
        self.at = 0

    def held(self, now: int) -> float:
        return self.weight * math.exp((self.at - now) / FORGET_SPEED) if self.weight else 0.0

    def add(self, now: int, value: float) -> None:
        self.weight = min(self.held(now) + 1, MEMORY)
        self.value += (value - self.value) / self.weight
        self.at = now

    def beside(self, now: int, pool: float) -> float:
        if not self.weight:
            return pool
        held = self.weight * math.exp((self.at - now) / FORGET_SPEED)
        return pool + held / (held + TRUST) * (self.value - pool)
