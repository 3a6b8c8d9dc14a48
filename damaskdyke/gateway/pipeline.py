"""Order of the requests on one caller's connection, and of their answers.

A caller may send further requests before the first one is answered (pipelining). They
are handled at the same time, in a thread each, but answered in the order in which they
came. One thread at a time has the reading role, and reads the next request.
"""

import threading

# Requests of one connection that are handled at the same time; others stay unread.
MAX_REQUESTS_AHEAD = 8


class Pipeline:
    """Requests of one connection, numbered in the order in which they came.

    Each number that :meth:`begin` returns must be given to :meth:`finish` once.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._begun = 0
        # Number of the request that is answered next.
        self._next = 0
        # Finished requests whose turn has not come.
        self._finished: set[int] = set()
        # Number of the last request that is answered, ``None`` while it is open.
        self._closed_by: int | None = None
        # Whether a thread has the reading role; the first one has it from the start.
        self._is_read = True
        # Whether the caller has closed the connection.
        self.is_caller_gone = False

    def begin(self) -> int | None:
        """Return the number of the next request, ``None`` behind a closing answer."""
        with self._changed:
            if self._closed_by is not None:
                return None
            self._begun += 1
            return self._begun - 1

    def finish(self, number: int, is_closing: bool) -> None:
        """Let the next request be answered, or none if the answer is the last one."""
        with self._changed:
            if is_closing:
                self._close(number)
            self._finished.add(number)
            while self._next in self._finished:
                self._finished.remove(self._next)
                self._next += 1
            self._changed.notify_all()

    def wait_turn(self, number: int, timeout_ms: float) -> bool:
        """Wait until all earlier requests are answered, and return whether they are."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._next == number or not self.is_wanted(number),
                timeout_ms / 1_000,
            )

    def is_wanted(self, number: int) -> bool:
        """Return whether an answer to a request can still reach the caller."""
        is_behind = self._closed_by is not None and number > self._closed_by
        return not self.is_caller_gone and not is_behind

    def close_after(self, number: int) -> bool:
        """Make a request the last one if none came behind it; return whether it is."""
        with self._changed:
            if self._begun - 1 == number:
                self._close(number)
            return self._closed_by == number

    def count_in_flight(self) -> int:
        """Return the number of requests that are being read, handled or answered."""
        return self._begun - self._next - len(self._finished)

    def mark_caller_gone(self) -> None:
        """Record that the caller has closed the connection."""
        with self._changed:
            self.is_caller_gone = True
            self._changed.notify_all()

    # The reading role.

    @property
    def is_read(self) -> bool:
        """Return whether a thread has the reading role."""
        return self._is_read

    def release_reading(self) -> None:
        """Give the reading role up, after a request was read whole."""
        with self._changed:
            self._is_read = False

    def take_reading(self) -> bool:
        """Take the reading role unless another thread has it or none may read."""
        with self._changed:
            is_full = self.count_in_flight() >= MAX_REQUESTS_AHEAD
            if self._is_read or is_full or self._closed_by is not None:
                return False
            self._is_read = True
            return True

    def _close(self, number: int) -> None:
        if self._closed_by is None or number < self._closed_by:
            self._closed_by = number
        self._changed.notify_all()
