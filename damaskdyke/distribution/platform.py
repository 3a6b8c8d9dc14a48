"""Client of the platform's configuration service, which can only be read."""

import tomllib
from dataclasses import dataclass

import urllib3

from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, BranchName
from damaskdyke.distribution.documents import Document, Version

READ_TIMEOUT_SECONDS = 2.0
WATCH_MARGIN_SECONDS = 2.0
STATUS_OK = 200
STATUS_UNCHANGED = 304
# Bounds what a faulty platform can make a proxy hold.
MAX_INDEX_BYTES = 4_000_000
MAX_VALUE_BYTES = 1_100_000


@dataclass(frozen=True)
class Index:
    """Root of the tree: its revision and the version of every branch."""

    revision: int
    versions: tuple[Version, ...]


class PlatformClient:
    """Reads of the settings tree.

    Parameters
    ----------
    address : Address
        The platform's address.
    count_read : callable
        Called once for each call to the platform.
    """

    def __init__(self, address: Address, count_read):
        self._base = f"http://{address}"
        self._count_read = count_read
        self._http = urllib3.PoolManager(num_pools=1, maxsize=2, retries=False)

    def read_index(self) -> Index:
        """Return the root index.

        Raises
        ------
        ProxyError
            ``platform-unavailable`` if there is no valid answer.
        """
        return self._parse_index(self._get("/index", READ_TIMEOUT_SECONDS))

    def watch(self, revision: int, wait_ms: int) -> Index | None:
        """Wait for a revision above ``revision``; return ``None`` in vain.

        Raises
        ------
        ProxyError
            ``platform-unavailable`` if there is no valid answer.
        """
        path = f"/watch?after={revision}&wait_ms={wait_ms}"
        text = self._get(path, wait_ms / 1000 + WATCH_MARGIN_SECONDS)
        return None if text is None else self._parse_index(text)

    def read_branch(self, version: Version) -> Document:
        """Return the document of a branch in the version the index names.

        Raises
        ------
        ProxyError
            ``platform-unavailable`` if there is no valid answer.
        """
        text = self._get(f"/branches/{version.name}", READ_TIMEOUT_SECONDS)
        document = Document(version, text or b"")
        if not document.is_intact():
            raise ProxyError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"branch {version.name} does not match the digest in the index",
            )
        return document

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def _get(self, path: str, timeout: float) -> bytes | None:
        self._count_read()
        try:
            response = self._http.request(
                "GET", self._base + path, timeout=timeout, preload_content=False
            )
            try:
                body = response.read(MAX_INDEX_BYTES)
            finally:
                response.close()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            detail = f"{path}: {type(error).__name__}"
            raise ProxyError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error
        if response.status == STATUS_UNCHANGED:
            return None
        if response.status != STATUS_OK or len(body) >= MAX_INDEX_BYTES:
            detail = f"{path}: status {response.status}"
            raise ProxyError(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        return body

    def _parse_index(self, text: bytes | None) -> Index:
        try:
            data = tomllib.loads((text or b"").decode("utf-8"))
            versions = tuple(
                Version(
                    BranchName(name), int(row["version"]), bytes.fromhex(row["sha256"])
                )
                for name, row in data["branches"].items()
            )
            return Index(int(data["revision"]), versions)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            detail = f"the index is not valid: {error!r}"
            raise ProxyError(ErrorKind.PLATFORM_UNAVAILABLE, detail) from error
