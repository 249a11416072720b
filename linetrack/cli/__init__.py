"""The command line: parses arguments, calls the other packages and prints results; has no other logic."""
