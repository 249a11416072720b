"""The soak: random histories of troubles against the program as operators start it, judged from ledgers."""
