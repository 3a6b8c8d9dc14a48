"""Memory of single bodies: buffers that grow without a copy, within a hold.

Load pattern: up to thousands of small bodies a second, a `bytearray` each, and some
large ones at a time.
"""

import contextlib
import mmap
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskdyke.gateway.memory_holds import MemoryHold

# Bodies up to this size count as small and are not kept in mappings of their own.
SMALL_BODY_BYTES = 64 * 1024
# A body of unknown length takes memory in steps of this size.
STEP_BYTES = 1024 * 1024


class BodyTooLarge(Exception):
    """A body is over its limit, or over what the whole budget can hold."""


class BodyBuffer:
    """Memory of one body, which grows without a copy.

    A body that is not small has a mapping of its own, since the allocator keeps much
    of what many threads release, and joining pieces would hold the body twice.

    Parameters
    ----------
    hold : MemoryHold
        Takes the memory.
    length : int or None
        Length of the body, ``None`` if it is unknown.
    max_bytes : int
        Limit on the length.
    wait_ms, check : float, callable or None
        Longest wait for memory and what is called meanwhile, see `MemoryHold.take`.

    Raises
    ------
    MemoryRefused, BodyTooLarge
        If the length is known and gets no memory.
    """

    def __init__(
        self,
        hold: "MemoryHold",
        length: int | None,
        max_bytes: int,
        wait_ms: float,
        check: Callable[[], None] | None = None,
    ):
        self._hold = hold
        self._max_bytes = max_bytes
        self._wait_ms = wait_ms
        self._check = check
        self._map: mmap.mmap | None = None
        self.filled = 0
        self._length = length
        wanted = max_bytes if length is None else length
        if length is not None and length > min(max_bytes, hold.get_max_bytes()):
            raise BodyTooLarge
        # A caller that sends little must not take, or wait for, more than that.
        self.capacity = min(SMALL_BODY_BYTES, wanted)
        hold.take(self.capacity, wait_ms, check)
        self._view = memoryview(bytearray(self.capacity))

    def get_room(self, max_count: int) -> memoryview:
        """Return free memory to read into, empty if a known length is filled."""
        end = min(self.capacity, self.filled + max_count)
        return self._view[self.filled : end]

    def check_length(self, count: int) -> None:
        """Raise :class:`BodyTooLarge` if further bytes are over the limit."""
        if self.filled + count > self._max_bytes:
            raise BodyTooLarge

    def has_room(self) -> bool:
        """Return whether a body can be read further without more memory."""
        return self.filled < self.capacity

    def advance(self, count: int) -> None:
        """Record that bytes were read into the free memory."""
        self.filled += count
        self._hold.record_progress(count)

    def append(self, data: bytes) -> None:
        """Copy bytes to the end of a body of unknown length.

        Raises
        ------
        MemoryRefused, BodyTooLarge
            If it does not fit.
        """
        end = self.filled + len(data)
        while end > self.capacity:
            self.grow()
        self._view[self.filled : end] = data
        self.advance(len(data))

    def grow(self) -> None:
        """Take memory for the rest of a body, or for more of one of unknown length.

        Raises
        ------
        MemoryRefused, BodyTooLarge
            If it does not fit.
        """
        step = self._hold.get_step_bytes()
        capacity = min(self.capacity + step, self._max_bytes)
        if self._length is not None:
            capacity = self._length
        if capacity <= self.capacity or capacity > self._hold.get_max_bytes():
            raise BodyTooLarge
        self._hold.take(capacity - self.capacity, self._wait_ms, self._check)
        self.capacity = capacity
        if self._map is not None:
            self._view.release()
            self._map.resize(capacity)
            self._view = memoryview(self._map)
            return
        small = self._view
        self._map_memory(capacity)
        self._view[: self.filled] = small[: self.filled]

    def get_body(self) -> bytes | memoryview:
        """Return the body; one that is not small is valid until the hold is closed."""
        if self._map is None:
            return bytes(self._view[: self.filled])
        self._view = self._view[: self.filled]
        return self._view

    def release(self) -> None:
        """Return the memory to the system."""
        self._view.release()
        if self._map is not None:
            # A part that is still referred to is freed with its last reference.
            with contextlib.suppress(BufferError):
                self._map.close()

    def _map_memory(self, size: int) -> None:
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._map = mmap.mmap(-1, size, flags=flags)
        # A huge page would take more memory than the body has.
        with contextlib.suppress(OSError):
            self._map.madvise(mmap.MADV_NOHUGEPAGE)
        self._view = memoryview(self._map)
