"""Order in which holds get memory that they wait for; decides without I/O.

Load pattern: empty in calm; up to hundreds of waiters while the memory is used up, each
of which asks a few times a second.
"""

import threading
from collections import deque
from collections.abc import Callable

from damaskdyke.core.clock import Millis
from damaskdyke.gateway.memory_holds import MemoryHold

# Holds that wait for at most this pass one that does not fit: a body of 64 MB kept all
# those over 64 KB waiting.
MAX_PASSING_BYTES = 1024 * 1024
# Part of its wait during which the first one in line is passed: after that a steady
# stream of small ones would still have kept a body of 64 MB from its memory.
PASSING_WAIT_SHARE = 0.5
# Longest time for which it is not passed, and the least time for which those behind it
# pass again: a series of large bodies must not keep the small ones out.
MAX_BARRED_MS = 500


class Waiter:
    """A hold that waits for bytes; ``granted`` is set once it has them.

    ``bars_at`` is the moment from which it is not passed while it is first in line.
    """

    __slots__ = ("bars_at", "count", "granted", "hold")

    def __init__(self, hold: MemoryHold, count: int, bars_at: Millis):
        self.hold = hold
        self.count = count
        self.bars_at = bars_at
        self.granted = threading.Event()


class WaitingLine:
    """Those that wait for memory from one part of the budget, in order of arrival.

    Small ones pass those that do not fit. Once the first one has waited for a part of
    its time it is not passed, so that what others give back adds up for it. Such times
    alternate with times in which it is passed.
    """

    def __init__(self):
        self._waiters: deque[Waiter] = deque()
        self._passed_until = Millis(0)

    def add(self, waiter: Waiter) -> None:
        """Add a waiter to the end."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter, now: Millis) -> None:
        """Remove a waiter; after one that was not passed, those behind it pass."""
        is_barring = self._waiters[0] is waiter and now >= self._get_bar_start()
        self._waiters.remove(waiter)
        if is_barring:
            self._passed_until = Millis(now + MAX_BARRED_MS)

    def may_take(self, count: int, now: Millis) -> bool:
        """Return whether one at the end of the line may take a number of bytes."""
        if not self._waiters:
            return True
        if count > MAX_PASSING_BYTES:
            return False
        barred_ms = now - self._get_bar_start()
        return barred_ms < 0 or barred_ms % (2 * MAX_BARRED_MS) >= MAX_BARRED_MS

    def may_grant(self, waiter: Waiter, now: Millis) -> bool:
        """Return whether a waiter may take its memory before those ahead of it."""
        return self._waiters[0] is waiter or self.may_take(waiter.count, now)

    def grant(self, take: Callable[[Waiter], bool], now: Millis) -> None:
        """Let those that may take what they wait for; ``take`` returns whether it fits.

        They leave the line.
        """
        while self._waiters and take(self._waiters[0]):
            waiter = self._waiters[0]
            self.remove(waiter, now)
            waiter.granted.set()
        for waiter in list(self._waiters)[1:]:
            if self.may_take(waiter.count, now) and take(waiter):
                self._waiters.remove(waiter)
                waiter.granted.set()

    def _get_bar_start(self) -> Millis:
        return max(self._passed_until, self._waiters[0].bars_at)
