"""Decisions outside the policy, one topic per module: no I/O, no clock, and randomness only from a seed."""
