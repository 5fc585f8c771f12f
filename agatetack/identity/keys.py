"""Hash API keys, so that no key is kept in memory or written anywhere."""

import hashlib
import secrets
from typing import NewType

ApiKeyHash = NewType("ApiKeyHash", bytes)
"""Keyed hash of one API key; it is valid only in this process."""

HASH_BYTES = 16

PROCESS_SECRET = secrets.token_bytes(32)
"""Key of the hashes. Lookups by them take a time that tells nothing about a
key, because nobody outside this process can compute them."""


def hash_key(key: bytes) -> ApiKeyHash:
    """Return the hash of an API key."""
    digest = hashlib.blake2b(key, digest_size=HASH_BYTES, key=PROCESS_SECRET)
    return ApiKeyHash(digest.digest())
