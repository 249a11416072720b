"""The policy: makes every decision about requests; does no I/O and reads no clock."""
