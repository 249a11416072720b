"""Experiments: runs of emulator, sidecars and load together, with audit, metrics and a verdict."""
