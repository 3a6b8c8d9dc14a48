"""Reading of the bodies of callers' requests, in pieces, within the memory budget."""

import re
from enum import Enum

from cheroot.server import HTTPRequest

from damaskdyke.gateway.body_buffers import BodyBuffer, BodyTooLarge
from damaskdyke.gateway.memory import compute_wait_ms
from damaskdyke.gateway.memory_holds import MemoryHold
from damaskdyke.utils.polling import is_hung_up

# Largest part of a body that is read at once.
READ_BYTES = 256 * 1024
# Longest line of a body in chunks: a size with its extensions, or a trailer.
MAX_LINE_BYTES = 8_192
# Trailers after a body in chunks that are read and dropped.
MAX_TRAILERS = 100
CRLF = b"\r\n"
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


class BodyFault(Enum):
    """Why a body is not there; the values are statuses, empty for a departure."""

    CALLER_GONE = ""
    MALFORMED = "400 Bad Request"
    TOO_LARGE = "413 Request Entity Too Large"


class BodyError(Exception):
    """The body of a request cannot be read."""

    def __init__(self, fault: BodyFault):
        super().__init__(fault.name)
        self.fault = fault


def has_body(req: HTTPRequest) -> bool:
    """Return whether the header of a request announces a body."""
    return req.chunked_read or b"Content-Length" in req.inheaders


def read_body(
    req: HTTPRequest, hold: MemoryHold, deadline_ms: int | None
) -> bytes | memoryview:
    """Return the whole body of a request, empty if it has none.

    Memory is taken before bytes are read, and the caller is asked for a body that it
    holds back until then. A body that is not there by the caller's deadline, or by the
    idle timeout, is answered as a timeout by the library.

    Parameters
    ----------
    req : HTTPRequest
        The request, whose header was read.
    hold : MemoryHold
        Takes the memory; the body is valid until it is closed.
    deadline_ms : int or None
        The caller's deadline.

    Raises
    ------
    MemoryRefused
        If there is no memory, or others need it and the caller makes no progress.
    BodyError
        If the body is too large or malformed, or the caller closed its connection.
    TimeoutError
        If it is not whole in time.
    """
    length = parse_length(req)
    if not length and not req.chunked_read:
        return b""
    connection = req.conn

    def check_caller() -> None:
        if is_hung_up(connection.socket):
            raise BodyError(BodyFault.CALLER_GONE)

    # Its connection must not give way while it waits for memory.
    connection.reading_hold = hold
    try:
        buffer = hold.make_buffer(
            None if req.chunked_read else length,
            req.server.max_request_body_size or hold.get_max_bytes(),
            compute_wait_ms(deadline_ms),
            check_caller,
        )
        req.send_continue()
        idle_timeout_ms = req.server.get_idle_timeout_ms()
        timeout_ms = min(deadline_ms or idle_timeout_ms, idle_timeout_ms)
        # The reading thread finds that the hold was revoked at its next check.
        hold.allow_revoking(lambda: None)
        connection.limit_read(timeout_ms, hold.check)
        if req.chunked_read:
            read_chunks(connection, buffer)
        else:
            read_length(connection, buffer, length)
    except BodyTooLarge:
        raise BodyError(BodyFault.TOO_LARGE) from None
    finally:
        connection.reading_hold = None
    hold.forbid_revoking()
    # The library would read the rest of a body that it takes for unread.
    req.rfile.remaining = 0
    return buffer.get_body()


def parse_length(req: HTTPRequest) -> int:
    """Return the stated length of a body, 0 without one.

    Raises
    ------
    BodyError
        If it is no number of digits.
    """
    text = req.inheaders.get(b"Content-Length", b"0").strip()
    if not text.isdigit():
        raise BodyError(BodyFault.MALFORMED)
    return int(text)


def read_length(connection, buffer: BodyBuffer, length: int) -> None:
    """Read a body of a stated length."""
    while buffer.filled < length:
        read_some(connection, buffer, length - buffer.filled)


def read_some(connection, buffer: BodyBuffer, max_count: int) -> int:
    """Read what has arrived, at least a byte; return its size.

    Raises
    ------
    BodyError
        If the caller closed its connection.
    """
    if not buffer.has_room():
        buffer.grow()
    with buffer.get_room(min(max_count, READ_BYTES)) as room:
        count = connection.read_into(room)
    if not count:
        raise BodyError(BodyFault.CALLER_GONE)
    buffer.advance(count)
    return count


def read_chunks(connection, buffer: BodyBuffer) -> None:
    """Read a body in chunks, with its trailers."""
    rfile = connection.rfile
    while True:
        read_whole_chunks(rfile, buffer)
        size = parse_chunk_size(read_line(rfile))
        if not size:
            skip_trailers(rfile)
            return
        buffer.check_length(size)
        while size:
            size -= read_some(connection, buffer, size)
        if rfile.read(len(CRLF)) != CRLF:
            raise BodyError(BodyFault.MALFORMED)


def read_whole_chunks(rfile, buffer: BodyBuffer) -> None:
    """Read the chunks that the reader has buffered whole.

    Small chunks are copied out of the reader's buffer, as calls to the reader for each
    would take many times as long.
    """
    while data := rfile.peek():
        position = 0
        while True:
            line_end = data.find(CRLF, position)
            if line_end < 0:
                break
            size = parse_chunk_size(data[position : line_end + 2])
            start = line_end + len(CRLF)
            end = start + size + len(CRLF)
            if not size or end > len(data):
                break
            if data[end - len(CRLF) : end] != CRLF:
                raise BodyError(BodyFault.MALFORMED)
            buffer.append(data[start : start + size])
            position = end
        if not position:
            return
        rfile.read(position)
        if position < len(data):
            return


def read_line(rfile) -> bytes:
    """Return a line with its end.

    Raises
    ------
    BodyError
        If it is too long or the caller closed its connection.
    """
    line = rfile.readline(MAX_LINE_BYTES)
    if line.endswith(CRLF):
        return line
    is_long = len(line) >= MAX_LINE_BYTES or line.endswith(b"\n")
    raise BodyError(BodyFault.MALFORMED if is_long else BodyFault.CALLER_GONE)


def parse_chunk_size(line: bytes) -> int:
    """Return the size in the first line of a chunk.

    Raises
    ------
    BodyError
        If there is none, or the line is too long or has a CR or LF before its end:
        another recipient may take that for the end of the line.
    """
    content = line.removesuffix(CRLF)
    if len(line) > MAX_LINE_BYTES or b"\r" in content or b"\n" in content:
        raise BodyError(BodyFault.MALFORMED)
    text = content.split(b";", 1)[0].strip(b" \t")
    if not CHUNK_SIZE.fullmatch(text):
        raise BodyError(BodyFault.MALFORMED)
    return int(text, 16)


def skip_trailers(rfile) -> None:
    """Read up to the end of a body in chunks; what follows it is the next request.

    Raises
    ------
    BodyError
        If the end is not there.
    """
    for _ in range(MAX_TRAILERS):
        if read_line(rfile) == CRLF:
            return
    raise BodyError(BodyFault.MALFORMED)
