"""The operators' file: its schema, how it is read and checked, and the configuration that it gives."""
