"""The policy: every decision about a request, without I/O and without a clock."""
