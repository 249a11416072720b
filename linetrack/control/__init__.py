"""Decisions beside the policy's: no I/O, no clock and no chance of their own; one file a matter."""
