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

# A body up to this size is read whole before any of it is forwarded. The rest of a
# larger one is streamed.
MAX_BUFFERED_BYTES = 262_144
STREAM_CHUNK_BYTES = 65_536
BODYLESS_STATUSES = frozenset({204, 304})
# Hop-by-hop headers, and those that this proxy sets itself.
UNFORWARDED_HEADERS = HOP_HEADERS | {
    DEADLINE_HEADER.lower(),
    REQUEST_ID_HEADER.lower(),
    TICKET_HEADER.lower(),
}


class UpstreamCall:
    """A call that owns one connection until its reply is read whole.

    Leaving the context before that closes the connection, so that a late reply can
    never be taken for the reply to another request.

    Parameters
    ----------
    pool : UpstreamPool
        Connections to the upstream.
    request : Request
        Request to send; its deadline limits opening, sending and reading.
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
        """Return the pool that the connection comes from."""
        return self._pool

    def open(self) -> None:
        """Acquire a connection.

        Raises
        ------
        UpstreamError
            With ``connect``; nothing was sent.
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
            With ``send``; part of the request may have been sent.
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
        """Wait for the reply to begin; return whether it did within the duration."""
        return wait_for_read(self._connection.sock, max(0, duration_ms) / 1000)

    @property
    def socket(self):
        """Return the connected socket, for polling."""
        return self._connection.sock

    def read(self) -> Reply:
        """Read the reply; the rest of a large body is left to be streamed.

        Raises
        ------
        UpstreamError
            If the reply is late, truncated, malformed or for another request.
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
            raise UpstreamError(
                Failure.TIMEOUT, "the deadline passed before the reply was read"
            )
        self._connection.timeout = max(0.001, deadline.remaining_seconds())
        try:
            response = self._connection.getresponse()
        except TimeoutError as error:
            raise UpstreamError(
                Failure.TIMEOUT, "the reply did not arrive before the deadline"
            ) from error
        except (OSError, HTTPError, EOFError, ValueError) as error:
            raise UpstreamError(Failure.RESET, repr(error)) from error
        except Exception as error:
            raise UpstreamError(Failure.MALFORMED, repr(error)) from error
        echoed = response.headers.get(REQUEST_ID_HEADER)
        if echoed is not None and echoed != self._request.id:
            raise UpstreamError(
                Failure.MISMATCHED, f"the reply is for request {echoed!r}"
            )
        return response

    def _check_chunked_length(self, response: HTTPResponse, body: bytes) -> int:
        """Return the length of a chunked body in bytes.

        Raises
        ------
        UpstreamError
            If the body is larger than the buffer. Its rest cannot be streamed, since
            the caller is sent a length.
        """
        if len(body) < MAX_BUFFERED_BYTES:
            return len(body)
        rest = read_chunk(response, 1, self._request.deadline)
        if rest:
            raise UpstreamError(
                Failure.MALFORMED, "the chunked reply is larger than the buffer"
            )
        return len(body)

    def _stream(self, response: HTTPResponse, missing: int) -> Iterator[bytes]:
        """Yield the ``missing`` bytes of a body, then release the connection.

        Raises
        ------
        UpstreamError
            If the body is late or truncated; the connection is closed.
        """
        try:
            while missing > 0:
                part = read_chunk(response, STREAM_CHUNK_BYTES, self._request.deadline)
                if not part:
                    raise UpstreamError(
                        Failure.TRUNCATED,
                        f"the last {missing} bytes of the body are missing",
                    )
                missing -= len(part)
                yield part
            self.release_connection()
        finally:
            self.discard_connection()

    def release_connection(self) -> None:
        """Return the connection to its pool after the reply was read whole."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pool.release(connection)

    def discard_connection(self) -> None:
        """Close the connection, unless it was released."""
        if self._connection is None:
            return
        connection, self._connection = self._connection, None
        self._pool.discard(connection)


def make_request_headers(request: Request) -> dict[str, str]:
    """Return the headers to send upstream.

    Hop-by-hop headers are left out and repeated headers are joined. The request id,
    the remaining time in milliseconds and the ticket are set by the proxy.
    """
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
    """Return the reply headers that are forwarded to the caller."""
    return tuple(
        Header(name, value)
        for name, value in response.headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    )


def get_body_length(method: str, response: HTTPResponse) -> int | None:
    """Return the announced length of a body in bytes, ``None`` for a chunked one.

    Raises
    ------
    UpstreamError
        If there is no length, since the end of the body could not be told from a
        broken connection.
    """
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return 0
    if "chunked" in response.headers.get("transfer-encoding", "").lower():
        return None
    text = response.headers.get("content-length", "")
    if not text.isdigit():
        raise UpstreamError(
            Failure.MALFORMED,
            "the reply is not chunked and has no valid Content-Length",
        )
    return int(text)


def read_chunk(response: HTTPResponse, size: int, deadline: Deadline) -> bytes:
    """Read up to ``size`` bytes of a body.

    Raises
    ------
    UpstreamError
        If the body is late or truncated.
    """
    if deadline.is_past():
        raise UpstreamError(
            Failure.TIMEOUT, "the deadline passed before the body was read"
        )
    try:
        return response.read(size)
    except ReadTimeoutError as error:
        raise UpstreamError(
            Failure.TIMEOUT, "the body did not arrive before the deadline"
        ) from error
    except (IncompleteRead, ProtocolError) as error:
        raise UpstreamError(Failure.TRUNCATED, repr(error)) from error
    except (HTTPError, OSError, ValueError) as error:
        raise UpstreamError(Failure.RESET, repr(error)) from error


def check_length(got: int, announced: int) -> None:
    """Check that a body is exactly as long as announced, in bytes.

    Raises
    ------
    UpstreamError
        With ``truncated`` if it is not.
    """
    if got != announced:
        detail = f"the body has {got} of {announced} bytes"
        raise UpstreamError(Failure.TRUNCATED, detail)
