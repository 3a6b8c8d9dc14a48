"""Checks of the heads of requests and replies that the HTTP library does not make.

The library accepts heads from which another recipient may read another end of the
message: what one takes for a body is a request to the other. Callers cannot be assumed
to mean well, nor upstreams to be well, and such a head is refused whatever follows it.

Load pattern: one regular expression for each line of a head, up to 2,300 lines.
"""

import re
from enum import Enum

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"
# A name is a token (RFC 9110, 5.6.2): no space belongs to it, at either end.
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\x00]*)\r\n")
# The library also accepts versions such as 1.0_1, which others may read as 1.0.
REQUEST_LINE = re.compile(rb"[!-~]+ [!-~\x80-\xff]+ HTTP/1\.[01]\r\n")
LENGTH = re.compile(rb"[0-9]+")
# The library also strips the other characters that Python counts as white space.
OPTIONAL_SPACE = b" \t"


class HeadFault(Enum):
    """Why a head is refused; the log shows the values."""

    BARE_CR = "bare-cr"
    INVALID_REQUEST_LINE = "invalid-request-line"
    FOLDED_LINE = "folded-line"
    INVALID_LINE = "invalid-line"
    INVALID_LENGTH = "invalid-length"
    REPEATED_LENGTH = "repeated-length"
    INVALID_ENCODING = "invalid-encoding"
    LENGTH_AND_ENCODING = "length-and-encoding"
    OLD_VERSION_ENCODING = "old-version-encoding"


class HeadRefused(Exception):
    """A head is ambiguous or invalid."""

    def __init__(self, fault: HeadFault):
        super().__init__(fault.value)
        self.fault = fault


class HeadChecker:
    """Checks the header lines of one message, in their order."""

    def __init__(self):
        self._has_length = False
        self._has_encoding = False

    def check_line(self, line: bytes) -> None:
        """Check one line; the empty one at the end passes.

        Raises
        ------
        HeadRefused
            If the line is ambiguous or invalid.
        """
        match = FIELD.fullmatch(line)
        if match is None:
            if line in (b"\r\n", b""):
                return
            raise HeadRefused(find_line_fault(line))
        name = match[1].lower()
        if name == CONTENT_LENGTH:
            self._check_length(match[2])
        elif name == TRANSFER_ENCODING:
            self._check_encoding(match[2])

    def check_framing(self, is_persistent_version: bool) -> None:
        """Check that the whole head states one end of the body.

        Parameters
        ----------
        is_persistent_version : bool
            Whether the message has HTTP/1.1 or a later version: before that, there are
            no chunks, and the library ignores the header that states them.

        Raises
        ------
        HeadRefused
            If it does not.
        """
        if not self._has_encoding:
            return
        if self._has_length:
            raise HeadRefused(HeadFault.LENGTH_AND_ENCODING)
        if not is_persistent_version:
            raise HeadRefused(HeadFault.OLD_VERSION_ENCODING)

    def _check_length(self, value: bytes) -> None:
        # Equal values are refused too: RFC 9112 leaves it open, and no caller is known
        # that repeats the header.
        if self._has_length:
            raise HeadRefused(HeadFault.REPEATED_LENGTH)
        if not LENGTH.fullmatch(value.strip(OPTIONAL_SPACE)):
            raise HeadRefused(HeadFault.INVALID_LENGTH)
        self._has_length = True

    def _check_encoding(self, value: bytes) -> None:
        """Accept one list of codings; chunks may only be the last of them.

        Codings other than chunks are answered 501 by the library.
        """
        codings = [x.strip(OPTIONAL_SPACE).lower() for x in value.split(b",")]
        is_chunked_early = any(CHUNKED in x for x in codings[:-1])
        is_padded = any(x != x.strip() or not x for x in codings)
        if self._has_encoding or is_chunked_early or is_padded:
            raise HeadRefused(HeadFault.INVALID_ENCODING)
        self._has_encoding = True


def find_line_fault(line: bytes) -> HeadFault:
    """Return what is wrong with a header line that is not valid."""
    if has_bare_cr(line):
        return HeadFault.BARE_CR
    if line[:1] in (b" ", b"\t"):
        return HeadFault.FOLDED_LINE
    return HeadFault.INVALID_LINE


def find_request_line_fault(line: bytes) -> HeadFault | None:
    """Return what is wrong with the first line of a request, ``None`` if nothing is."""
    if has_bare_cr(line):
        return HeadFault.BARE_CR
    if REQUEST_LINE.fullmatch(line) is None:
        return HeadFault.INVALID_REQUEST_LINE
    return None


def has_bare_cr(line: bytes) -> bool:
    """Return whether a line has a CR that does not belong to its end."""
    return b"\r" in line.removesuffix(b"\r\n")
