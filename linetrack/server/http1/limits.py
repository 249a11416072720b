"""The size limits of messages, in bytes."""

# A body up to this size is buffered until it is complete; a longer one is stored or forwarded in chunks.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# The maximum body size of a request or of an upstream's response.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Chunks of a body that are smaller than this are appended to the previous chunk.
MIN_SEPARATE_CHUNK_BYTES = 4 * 1024
# The maximum size of a request target, and of all header fields of a message together.
MAX_HEAD_BYTES = 16 * 1024
# How many bytes are parsed at a time until a request is complete.  They are few, as a parsed request needs
# more memory than its bytes.
HEAD_PARSE_BYTES = 1024
CHUNKED_BODY_PARSE_BYTES = 4 * 1024
