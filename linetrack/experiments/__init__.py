"""Experiments: emulator, sidecars and load run together, audited, measured and judged."""
