"""The BLAKE2b digest without the rest of `hashlib`, which loads the whole of OpenSSL: some 3.5 MB of memory.

The standard library's `random` does the same for its digest.
"""

from __future__ import annotations

try:
    from _blake2 import blake2b
except ImportError:  # an interpreter that is built differently
    from hashlib import blake2b

__all__ = ["hex_digest"]


def hex_digest(data: bytes, digest_size: int = 64) -> str:
    """Return the BLAKE2b digest of the data in hexadecimal, of `digest_size` bytes."""
    return blake2b(data, digest_size=digest_size).hexdigest()
