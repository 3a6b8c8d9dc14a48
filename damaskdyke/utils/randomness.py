"""Random identifiers, and stable hashes for rendezvous hashing."""

import hashlib
import secrets
from collections.abc import Iterable
from functools import lru_cache

from damaskdyke.core.ids import BootId, RequestId

# Boot ids must fit the signed 64-bit integers of Thrift.
BOOT_ID_BITS = 62
REQUEST_ID_BYTES = 8
SCORE_BYTES = 8
# Rankings of the same members are made several times a second.
MAX_REMEMBERED_HASHES = 8_192


def generate_boot_id() -> BootId:
    """Return a random, positive boot id."""
    return BootId(secrets.randbits(BOOT_ID_BITS) + 1)


def generate_request_id() -> RequestId:
    """Return a random request id of 16 hexadecimal digits."""
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))


@lru_cache(maxsize=MAX_REMEMBERED_HASHES)
def hash_score(*parts: str) -> int:
    """Return a 64-bit hash of a sequence of texts, equal in every process."""
    text = "\x00".join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank_by_score(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in rendezvous order for ``key``, highest score first."""
    return sorted(names, key=lambda name: hash_score(key, name), reverse=True)
