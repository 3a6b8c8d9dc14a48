"""Time in whole milliseconds on a clock that counts suspended time."""

import threading
import time
from typing import NewType

Millis = NewType("Millis", int)

NANOS_PER_MILLI = 1_000_000
MILLIS_PER_SECOND = 1_000


class Clock:
    """Monotonic clock of one VM.

    The clock is not moved by steps of the wall clock and goes on while the VM is
    suspended.
    """

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed moment."""
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanos // NANOS_PER_MILLI)

    def sleep(self, duration: Millis) -> None:
        """Block the calling thread for ``duration`` milliseconds."""
        time.sleep(duration / MILLIS_PER_SECOND)


class ManualClock(Clock):
    """Clock that a test moves by hand."""

    def __init__(self, start: int = 0):
        self._lock = threading.Lock()
        self._now = start

    def now(self) -> Millis:
        """Return the moment that was set last."""
        with self._lock:
            return Millis(self._now)

    def sleep(self, duration: Millis) -> None:
        """Advance the clock instead of blocking."""
        self.advance(duration)

    def advance(self, duration: int) -> None:
        """Move the clock forward by ``duration`` milliseconds."""
        with self._lock:
            self._now += duration


class Deadline:
    """Moment on one clock after which work is no longer wanted."""

    __slots__ = ("_clock", "at")

    def __init__(self, clock: Clock, after: int):
        self._clock = clock
        self.at = Millis(clock.now() + after)

    def remaining_ms(self) -> Millis:
        """Return the milliseconds left, never below zero."""
        return Millis(max(0, self.at - self._clock.now()))

    def remaining_seconds(self) -> float:
        """Return the time left in seconds, for library calls that take seconds."""
        return self.remaining_ms() / MILLIS_PER_SECOND

    def is_past(self) -> bool:
        """Return whether the deadline has passed."""
        return self._clock.now() >= self.at
