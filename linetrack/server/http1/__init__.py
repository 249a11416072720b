"""HTTP/1.1 without I/O: parses requests and responses from bytes and encodes them to bytes."""
