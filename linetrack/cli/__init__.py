"""The command line: parses, calls, prints.  It decides and measures nothing itself."""
