"""Monotonic clocks in whole milliseconds, and deadlines on them."""

import threading
import time
from typing import NewType

Millis = NewType("Millis", int)

NANOS_PER_MILLI = 1_000_000
MILLIS_PER_SECOND = 1_000


class Clock:
    """Monotonic clock of one VM.

    Steps of the wall clock do not affect it, and it keeps counting while the VM is
    suspended.
    """

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point in time."""
        nanos = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(nanos // NANOS_PER_MILLI)

    def sleep(self, duration: Millis) -> None:
        """Block the calling thread for ``duration`` milliseconds."""
        time.sleep(duration / MILLIS_PER_SECOND)


class ManualClock(Clock):
    """Clock for tests, which advances only when it is told to."""

    def __init__(self, start: int = 0):
        self._lock = threading.Lock()
        self._now = start

    def now(self) -> Millis:
        """Return the manually set time in milliseconds."""
        with self._lock:
            return Millis(self._now)

    def sleep(self, duration: Millis) -> None:
        """Advance the clock instead of blocking."""
        self.advance(duration)

    def advance(self, duration: int) -> None:
        """Advance the clock by ``duration`` milliseconds."""
        with self._lock:
            self._now += duration


class Deadline:
    """Point in time on one clock after which a result is no longer needed.

    Parameters
    ----------
    clock : Clock
        Clock that the deadline is measured on.
    after_ms : int
        Milliseconds from now until the deadline.
    """

    __slots__ = ("_clock", "at")

    def __init__(self, clock: Clock, after_ms: int):
        self._clock = clock
        self.at = Millis(clock.now() + after_ms)

    def remaining_ms(self) -> Millis:
        """Return the milliseconds until the deadline, never below zero."""
        return Millis(max(0, self.at - self._clock.now()))

    def remaining_seconds(self) -> float:
        """Return the seconds until the deadline, for calls that take seconds."""
        return self.remaining_ms() / MILLIS_PER_SECOND

    def is_past(self) -> bool:
        """Return whether the deadline has passed."""
        return self._clock.now() >= self.at
