"""HTTP/1.1: requests and responses read from bytes and written as bytes, without I/O."""
