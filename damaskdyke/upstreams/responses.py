"""Responses of the HTTP library with the checks of their heads that it does not make.

The library takes what it can make use of: it reads numbers with ``int``, ends a head at
a line that is no field, and passes on names that no field can have. What an upstream in
trouble sends then looks like a complete reply, with a body that is not the upstream's.
"""

import http.client
import io
import re
from typing import BinaryIO

from damaskdyke.utils.heads import HeadChecker, HeadRefused

# Longer first lines are rejected by the library.
MAX_LINE_BYTES = 65_536
# RFC 9112, 4: a version, three digits from 100 to 599, and what may be a reason.
FIRST_LINE = re.compile(
    rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
# RFC 9112, 7.1; extensions are ignored.
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n\x00]*)?\r\n")
LINE_END = b"\r\n"


class MalformedHead(http.client.HTTPException):
    """The head of a response has a line or states a length that is invalid."""


class HeadReader:
    """Passes on the lines of heads and raises for those that are no field.

    Parameters
    ----------
    stream : file object
        Stream that the response is read from.
    """

    def __init__(self, stream: BinaryIO):
        self._stream = stream
        self._checker = HeadChecker()

    def read_first_line(self) -> bytes:
        """Return the first line of a response, with which a new head begins."""
        self._checker = HeadChecker()
        return self._stream.readline(MAX_LINE_BYTES + 1)

    def readline(self, size: int) -> bytes:
        """Return the next line of a head, which the library asks for.

        Raises
        ------
        MalformedHead
            If it is no field, or states a length that is none.
        """
        line = self._stream.readline(size)
        try:
            self._checker.check_line(line)
        except HeadRefused as error:
            raise MalformedHead(f"{error.fault.value}: {line[:80]!r}") from error
        return line

    def check_framing(self, is_persistent_version: bool) -> None:
        """Check that the last head states one end of the body.

        Raises
        ------
        MalformedHead
            If it does not.
        """
        try:
            self._checker.check_framing(is_persistent_version)
        except HeadRefused as error:
            raise MalformedHead(error.fault.value) from error


class StrictResponse(http.client.HTTPResponse):
    """Response whose head is valid throughout, and whose chunks have valid sizes."""

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            If any of its lines is invalid, or it does not state one end of the body.
        """
        if self.headers is not None:
            return
        stream = self.fp
        reader = self.fp = HeadReader(stream)
        try:
            super().begin()
        finally:
            self.fp = stream
        reader.check_framing(self.version >= 11)
        if "Transfer-Encoding" in self.headers and not self.chunked:
            coding = self.headers["Transfer-Encoding"]
            raise MalformedHead(f"transfer encoding {coding[:80]!r}")

    def _read_status(self) -> tuple[str, int, str]:
        """Read the first line of a response.

        Raises
        ------
        http.client.BadStatusLine
            If it is no such line.
        """
        reader = self.fp
        line = reader.read_first_line()
        if line and not FIRST_LINE.fullmatch(line):
            raise http.client.BadStatusLine(repr(line[:80]))
        self.fp = io.BytesIO(line)
        try:
            return super()._read_status()
        finally:
            self.fp = reader

    def _safe_read(self, amount: int) -> bytes:
        data = super()._safe_read(amount)
        # The library skips the two bytes after a chunk, whatever they are.
        if self.chunked and self.chunk_left == 0 and data != LINE_END:
            raise http.client.HTTPException(f"end of a chunk: {data!r}")
        return data

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        match = CHUNK_SIZE.fullmatch(line)
        if match is None:
            self._close_conn()
            raise ValueError(f"size of a chunk: {line[:80]!r}")
        return int(match[1], 16)
