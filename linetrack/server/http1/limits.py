"""The size limits of messages, in bytes."""

# A body up to this size is buffered until it is complete; a longer one is kept or passed on in chunks.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# Of a request, or of an upstream's response.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Chunks of a body below this size are appended to the chunk before them.
MIN_SEPARATE_CHUNK_BYTES = 4 * 1024
# Of a start line's target, and of all header names and values together.
MAX_HEAD_BYTES = 16 * 1024
