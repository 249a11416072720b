"""The soak test: random fault scenarios run against the real program and checked from its ledgers."""
