"""Typed requests, replies and failures of upstream calls."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from damaskdyke.core.clock import Deadline
from damaskdyke.core.ids import RequestId, WorkspaceName

# Headers that belong to one connection and are never passed on.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)

REQUEST_ID_HEADER = "Request-Id"
DEADLINE_HEADER = "Deadline-Ms"
TICKET_HEADER = "Idempotency-Key"


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(slots=True)
class Request:
    """A caller's request on its way to an upstream."""

    id: RequestId
    method: str
    path: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    deadline: Deadline
    workspace: WorkspaceName
    ticket: str = ""


@dataclass(slots=True)
class Reply:
    """An upstream's reply.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Headers without those of the connection.
    body : bytes
        The body, or its first part if ``rest`` is given.
    length : int
        Length of the whole body in bytes.
    rest : iterator of bytes or None
        Remaining parts of a large body. The iterator raises
        :class:`UpstreamError` if the upstream cuts the body short.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    length: int
    rest: Iterator[bytes] | None = field(default=None)

    def find_header(self, name: str) -> str | None:
        """Return the value of the first header with this name."""
        wanted = name.lower()
        for header in self.headers:
            if header.name.lower() == wanted:
                return header.value
        return None


class Failure(Enum):
    """Ways in which an upstream call fails."""

    CONNECT = "connect"
    SEND = "send"
    TIMEOUT = "timeout"
    RESET = "reset"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    MISMATCHED = "mismatched"
    STATUS = "status"
    REFUSED = "refused"


class UpstreamError(Exception):
    """A call to an upstream failed.

    Parameters
    ----------
    failure : Failure
        What went wrong.
    detail : str
        What the library reported.
    """

    def __init__(self, failure: Failure, detail: str):
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail
