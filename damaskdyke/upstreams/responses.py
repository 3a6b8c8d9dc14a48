"""Responses of the HTTP library with a stricter check of the status."""

import http.client
import io
import re

# Longer first lines are rejected by the library.
MAX_LINE_BYTES = 65_536
# The library reads the status with ``int``, which also takes 0200, +200 and 2_00, and
# accepts 600 to 999. RFC 9110, 15 allows three digits from 100 to 599.
STATUS = re.compile(rb"[1-5][0-9]{2}", re.ASCII)


class StrictResponse(http.client.HTTPResponse):
    """Response whose status is three digits from 100 to 599."""

    def _read_status(self) -> tuple[str, int, str]:
        """Read the first line of a response.

        Raises
        ------
        http.client.BadStatusLine
            If it has another status, or is no such line.
        """
        stream = self.fp
        line = stream.readline(MAX_LINE_BYTES + 1)
        parts = line.split(None, 2)
        if len(parts) > 1 and not STATUS.fullmatch(parts[1]):
            raise http.client.BadStatusLine(repr(line))
        self.fp = io.BytesIO(line)
        try:
            return super()._read_status()
        finally:
            self.fp = stream
