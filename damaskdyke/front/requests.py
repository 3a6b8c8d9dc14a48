"""Parsing of callers' requests from the WSGI environment."""

from damaskdyke.core.clock import Clock, Deadline
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import RequestId, WorkspaceName
from damaskdyke.upstreams.messages import (
    DEADLINE_HEADER,
    HOP_HEADERS,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    Header,
    Request,
)
from damaskdyke.utils.randomness import generate_request_id

WORKSPACE_HEADER = "Workspace"
# Longer numbers are refused before they are converted.
MAX_DEADLINE_DIGITS = 9
MAX_REQUEST_ID_LENGTH = 64
# Length of a chunked body, which is known only when it was read.
LENGTH_UNKNOWN = -1
READ_CHUNK_BYTES = 65_536

Environ = dict


def read_path(environ: Environ) -> str:
    """Return the path of a request, still percent-encoded.

    Raises
    ------
    ProxyError
        ``bad-request`` if the target is not a path, or has empty or ``..`` segments.
    """
    target = read_target(environ)
    path = target.split("?", 1)[0]
    if "/../" in path + "/" or "//" in path:
        raise ProxyError(ErrorKind.BAD_REQUEST, "the path has empty or '..' segments")
    return path


def read_target(environ: Environ) -> str:
    """Return the request target: path and query, still percent-encoded.

    Raises
    ------
    ProxyError
        ``bad-request`` if it is not a path of printable ASCII characters.
    """
    target = environ.get("REQUEST_URI", "")
    if not target.startswith("/") or not target.isascii() or not target.isprintable():
        raise ProxyError(
            ErrorKind.BAD_REQUEST,
            "the request target is not a path of printable ASCII characters",
        )
    return target


def read_request_id(environ: Environ) -> RequestId:
    """Return the caller's request id if it is usable, else a random one.

    A usable id has only ASCII letters, digits and hyphens, and at most
    :data:`MAX_REQUEST_ID_LENGTH` characters.
    """
    given = get_header(environ, REQUEST_ID_HEADER)
    is_usable = given.replace("-", "").isalnum() and given.isascii()
    if is_usable and len(given) <= MAX_REQUEST_ID_LENGTH:
        return RequestId(given)
    return generate_request_id()


def get_header(environ: Environ, name: str) -> str:
    """Return the value of a request header, or an empty string."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "")


def read_deadline(environ: Environ, clock: Clock, limit_ms: int) -> Deadline:
    """Return the caller's deadline, at most ``limit_ms`` from now.

    Raises
    ------
    ProxyError
        ``bad-request`` if the header is not a number of milliseconds,
        ``deadline-expired`` if it is zero.
    """
    text = get_header(environ, DEADLINE_HEADER)
    if not text:
        return Deadline(clock, limit_ms)
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DEADLINE_DIGITS:
        detail = f"{DEADLINE_HEADER} is not a number of milliseconds"
        raise ProxyError(ErrorKind.BAD_REQUEST, detail)
    if int(text) == 0:
        raise ProxyError(ErrorKind.DEADLINE_EXPIRED, "the deadline has passed")
    return Deadline(clock, min(limit_ms, int(text)))


def read_workspace(environ: Environ) -> WorkspaceName:
    """Return the caller's workspace, or an empty name if none is given.

    It is cut to 64 characters. Listed names have at most 63, so a cut name matches
    none.
    """
    return WorkspaceName(get_header(environ, WORKSPACE_HEADER)[:64])


def read_length(environ: Environ, limit: int) -> int:
    """Return the announced length of the body in bytes, or :data:`LENGTH_UNKNOWN`.

    Raises
    ------
    ProxyError
        ``body-too-large`` if the length is over the limit, ``bad-request`` if it is
        not a number.
    """
    if "chunked" in get_header(environ, "Transfer-Encoding").lower():
        return LENGTH_UNKNOWN
    text = environ.get("CONTENT_LENGTH") or "0"
    if not (text.isascii() and text.isdigit()):
        raise ProxyError(ErrorKind.BAD_REQUEST, "Content-Length is not a number")
    length = int(text)
    if length > limit:
        raise ProxyError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body has {length} bytes, over the limit of {limit}",
        )
    return length


def read_body(environ: Environ, length: int, limit: int) -> bytes:
    """Return the whole body, of at most ``limit`` bytes.

    Raises
    ------
    ProxyError
        ``bad-request`` if the body is truncated, ``body-too-large`` if a chunked
        body is over the limit.
    """
    stream = environ["wsgi.input"]
    if length == 0:
        return b""
    # One byte more than the limit shows that a chunked body is over it.
    wanted = limit + 1 if length == LENGTH_UNKNOWN else length
    parts = []
    got = 0
    while got < wanted:
        part = read_chunk(stream, min(READ_CHUNK_BYTES, wanted - got))
        if not part:
            break
        parts.append(part)
        got += len(part)
    if got > limit:
        raise ProxyError(
            ErrorKind.BODY_TOO_LARGE, f"the body is over the limit of {limit} bytes"
        )
    if length != LENGTH_UNKNOWN and got != length:
        raise ProxyError(
            ErrorKind.BAD_REQUEST, f"the body is truncated: {got} of {length} bytes"
        )
    return b"".join(parts)


def read_chunk(stream, size: int) -> bytes:
    """Read up to ``size`` bytes of a body.

    Raises
    ------
    ProxyError
        ``bad-request`` if the stream is broken or its chunks are malformed.
    """
    try:
        return stream.read(size)
    except (OSError, ValueError) as error:
        detail = f"the body could not be read: {error}"
        raise ProxyError(ErrorKind.BAD_REQUEST, detail) from error


def read_headers(environ: Environ) -> tuple[Header, ...]:
    """Return the request headers without the hop-by-hop ones."""
    headers = []
    for key, value in environ.items():
        if key == "CONTENT_TYPE":
            if value:
                headers.append(Header("content-type", value))
        elif key.startswith("HTTP_"):
            name = key[5:].replace("_", "-").lower()
            if name not in HOP_HEADERS:
                headers.append(Header(name, value))
    return tuple(headers)


def make_request(
    environ: Environ, request_id: RequestId, path: str, deadline: Deadline, body: bytes
) -> Request:
    """Return the request as it is passed to lookups and orders."""
    return Request(
        id=request_id,
        method=environ["REQUEST_METHOD"],
        path=path,
        target=read_target(environ),
        headers=read_headers(environ),
        body=body,
        deadline=deadline,
        workspace=read_workspace(environ),
        ticket=get_header(environ, TICKET_HEADER),
    )
