"""One call to an upstream, in steps: open, send, wait, read."""

from collections.abc import Iterator

from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    HTTPError,
    IncompleteRead,
    ProtocolError,
    ReadTimeoutError,
)
from urllib3.response import HTTPResponse
from urllib3.util.wait import wait_for_read

from damaskdyke.core.clock import Deadline
from damaskdyke.upstreams.messages import (
    DEADLINE_HEADER,
    HOP_HEADERS,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    Failure,
    Header,
    Reply,
    Request,
    UpstreamError,
)
from damaskdyke.upstreams.pools import UpstreamPool

# A reply up to this size is read whole before any of it is passed on.
MAX_BUFFERED_BYTES = 262_144
STREAM_CHUNK_BYTES = 65_536
BODYLESS_STATUSES = frozenset({204, 304})
UNFORWARDED_HEADERS = HOP_HEADERS | {
    DEADLINE_HEADER.lower(),
    REQUEST_ID_HEADER.lower(),
    TICKET_HEADER.lower(),
}


class UpstreamCall:
    """A call that owns one connection until its reply is read whole.

    Leaving the context before that closes the connection, so that a late reply can
    never be taken for the answer to another request.

    Parameters
    ----------
    pool : UpstreamPool
        Connections to the upstream.
    request : Request
        What to send.
    needs_new_connection : bool
        Whether to open a new connection instead of reusing an idle one.
    """

    def __init__(
        self, pool: UpstreamPool, request: Request, needs_new_connection: bool = False
    ):
        self._pool = pool
        self._request = request
        self._needs_new_connection = needs_new_connection
        self._connection: HTTPConnection | None = None

    def __enter__(self) -> "UpstreamCall":
        return self

    def __exit__(self, *_: object) -> None:
        self.discard_connection()

    @property
    def pool(self) -> UpstreamPool:
        """Return the link that the call goes through."""
        return self._pool

    def open(self) -> None:
        """Take a connection.

        Raises
        ------
        UpstreamError
            With ``connect``; no byte was sent.
        """
        deadline = self._request.deadline
        if deadline.is_past():
            raise UpstreamError(Failure.CONNECT, "the deadline has passed")
        self._connection = self._pool.acquire(deadline, self._needs_new_connection)

    def send(self) -> None:
        """Write the request.

        Raises
        ------
        UpstreamError
            With ``send``; some of the request may have left.
        """
        deadline = self._request.deadline
        try:
            self._connection.sock.settimeout(max(0.001, deadline.remaining_seconds()))
            self._connection.request(
                self._request.method,
                self._request.target,
                body=self._request.body or None,
                headers=make_request_headers(self._request),
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError, ValueError) as error:
            raise UpstreamError(Failure.SEND, repr(error)) from error

    def wait(self, duration_ms: int) -> bool:
        """Return whether the reply began within a duration."""
        return wait_for_read(self._connection.sock, max(0, duration_ms) / 1000)

    @property
    def socket(self):
        """Return the connected socket, to wait on."""
        return self._connection.sock

    def read(self) -> Reply:
        """Read the reply; large bodies are left in ``rest``.

        Raises
        ------
        UpstreamError
            If the reply is late, cut short, malformed or for another request.
        """
        response = self._read_head()
        length = get_body_length(self._request.method, response)
        body = read_chunk(response, MAX_BUFFERED_BYTES, self._request.deadline)
        if length is None:
            length = self._check_chunked_length(response, body)
        check_length(len(body), min(length, MAX_BUFFERED_BYTES))
        reply = Reply(response.status, select_reply_headers(response), body, length)
        if len(body) < length:
            reply.rest = self._stream(response, length - len(body))
        else:
            self.release_connection()
        return reply

    def _read_head(self) -> HTTPResponse:
        deadline = self._request.deadline
        if deadline.is_past():
            raise UpstreamError(Failure.TIMEOUT, "no reply before the deadline")
        self._connection.timeout = max(0.001, deadline.remaining_seconds())
        try:
            response = self._connection.getresponse()
        except TimeoutError as error:
            raise UpstreamError(Failure.TIMEOUT, "no reply in time") from error
        except (OSError, HTTPError, EOFError, ValueError) as error:
            raise UpstreamError(Failure.RESET, repr(error)) from error
        except Exception as error:
            raise UpstreamError(Failure.MALFORMED, repr(error)) from error
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != self._request.id:
            raise UpstreamError(Failure.MISMATCHED, f"reply is for {echoed!r}")
        return response

    def _check_chunked_length(self, response: HTTPResponse, body: bytes) -> int:
        """Return the length of a chunked body, which must end within the buffer."""
        if len(body) < MAX_BUFFERED_BYTES:
            return len(body)
        rest = read_chunk(response, 1, self._request.deadline)
        if rest:
            raise UpstreamError(Failure.MALFORMED, "large reply without a length")
        return len(body)

    def _stream(self, response: HTTPResponse, missing: int) -> Iterator[bytes]:
        try:
            while missing > 0:
                part = read_chunk(response, STREAM_CHUNK_BYTES, self._request.deadline)
                if not part:
                    raise UpstreamError(Failure.TRUNCATED, f"{missing} bytes missing")
                missing -= len(part)
                yield part
            self.release_connection()
        finally:
            self.discard_connection()

    def release_connection(self) -> None:
        """Give the connection back; the reply was read whole."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pool.release(connection)

    def discard_connection(self) -> None:
        """Close the connection unless it was given back."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pool.discard(connection)


def make_request_headers(request: Request) -> dict[str, str]:
    """Return the headers to send upstream, without those of the caller's link."""
    headers: dict[str, str] = {}
    for header in request.headers:
        name = header.name.lower()
        if name in UNFORWARDED_HEADERS:
            continue
        previous = headers.get(name)
        joined = header.value if previous is None else f"{previous}, {header.value}"
        headers[name] = joined
    headers.setdefault("accept-encoding", "identity")
    headers[REQUEST_ID_HEADER] = request.id
    headers[DEADLINE_HEADER] = str(request.deadline.remaining_ms())
    if request.ticket:
        headers[TICKET_HEADER] = request.ticket
    return headers


def select_reply_headers(response: HTTPResponse) -> tuple[Header, ...]:
    """Return the reply headers that are passed on to the caller."""
    return tuple(
        Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    )


def get_body_length(method: str, response: HTTPResponse) -> int | None:
    """Return the announced length of a body, or ``None`` for a chunked one.

    Raises
    ------
    UpstreamError
        If the end of the body could not be told from a cut connection.
    """
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return 0
    if "chunked" in response.headers.get("transfer-encoding", "").lower():
        return None
    text = response.headers.get("content-length", "")
    if not text.isdigit():
        raise UpstreamError(Failure.MALFORMED, "reply without a length")
    return int(text)


def read_chunk(response: HTTPResponse, size: int, deadline: Deadline) -> bytes:
    """Read up to ``size`` bytes of a body.

    Raises
    ------
    UpstreamError
        If the body is late or cut short.
    """
    if deadline.is_past():
        raise UpstreamError(Failure.TIMEOUT, "the body is late")
    try:
        return response.read(size)
    except ReadTimeoutError as error:
        raise UpstreamError(Failure.TIMEOUT, "the body is late") from error
    except (IncompleteRead, ProtocolError) as error:
        raise UpstreamError(Failure.TRUNCATED, repr(error)) from error
    except (HTTPError, OSError, ValueError) as error:
        raise UpstreamError(Failure.RESET, repr(error)) from error


def check_length(got: int, announced: int) -> None:
    """Refuse a body that is not exactly as long as announced."""
    if got != announced:
        detail = f"{got} of {announced} bytes"
        raise UpstreamError(Failure.TRUNCATED, detail)
