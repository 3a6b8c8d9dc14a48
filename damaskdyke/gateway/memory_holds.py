"""Memory that one body holds, and how far its transfer has come.

Load pattern: a hold for each request with a body and for each reply; progress is
recorded with every read and write of a body.
"""

from collections.abc import Callable
from enum import Enum, StrEnum
from typing import TYPE_CHECKING

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.gateway.body_buffers import SMALL_BODY_BYTES, STEP_BYTES, BodyBuffer

if TYPE_CHECKING:
    from damaskdyke.gateway.memory import MemoryBudget

# Limit of the steps of a reply as a part of the budget. Beside a body of the largest
# size a step of 1 MB did not fit into a budget of 16 MB.
MAX_REPLY_STEP_DIVISOR = 64
# A caller counts as stalled if it has transferred less than the larger of a number of
# bytes and a part of the body in this time. It gives way only if memory is needed. A
# body that takes 64 times as long could not be whole within the idle timeout.
STALL_MS = 800
MIN_PROGRESS_BYTES = 16 * 1024
MIN_PROGRESS_DIVISOR = 64


class MemoryKind(StrEnum):
    """What a part of the budget holds; log and metrics show the values."""

    BODY = "body"
    REPLY = "reply"


class RefusalReason(Enum):
    """Why a body gets no memory; the log shows the values."""

    # No memory became free within the wait.
    NO_MEMORY = "no-memory"
    # The caller made no progress while others waited for memory.
    NO_PROGRESS = "no-progress"


class MemoryRefused(Exception):
    """A body gets no memory, or must give it back before it is whole.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    inputs : dict
        What the decision depended on, for the log.
    """

    def __init__(self, reason: RefusalReason, inputs: dict[str, int]):
        super().__init__(f"{reason.value}: {inputs}")
        self.reason = reason
        self.inputs = inputs


class MemoryHold:
    """Memory that one body takes; a context manager that gives it back.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it is taken from.
    kind : MemoryKind
        What it holds.
    label : str
        Id of the request or the upstream, for the log.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, budget: "MemoryBudget", kind: MemoryKind, label: str, clock: Clock
    ):
        self.kind = kind
        self.label = label
        self.size = 0
        self.is_revoked = False
        self.is_waiting = False
        self.opened_at = clock.now()
        self._budget = budget
        self._clock = clock
        self._buffers: list[BodyBuffer] = []
        # Called to end the transfer; ``None`` while it must not be ended.
        self.on_revoke: Callable[[], None] | None = None
        # Called when it begins to wait for memory; may release that of other holds.
        self.on_shortage: Callable[[], None] | None = None
        self._progress_at = self.opened_at
        self._progress_bytes = 0

    def __enter__(self) -> "MemoryHold":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def is_large(self) -> bool:
        """Return whether it holds the body of a request that is not small."""
        return self.kind is MemoryKind.BODY and self.size > SMALL_BODY_BYTES

    def take(
        self, count: int, wait_ms: float, check: Callable[[], None] | None = None
    ) -> None:
        """Take memory, after a wait until it is free.

        Parameters
        ----------
        count : int
            Bytes to take in addition.
        wait_ms : float
            Longest wait.
        check : callable or None
            Called at intervals during the wait; may raise to end it.

        Raises
        ------
        MemoryRefused
            If it did not become free.
        """
        self._budget.take(self, count, wait_ms, check)

    def make_buffer(
        self,
        length: int | None,
        max_bytes: int,
        wait_ms: float,
        check: Callable[[], None] | None = None,
    ) -> BodyBuffer:
        """Return a buffer for a body of a length, ``None`` if it is unknown.

        Raises
        ------
        MemoryRefused, BodyTooLarge
            If the length is known and gets no memory.
        """
        buffer = BodyBuffer(self, length, max_bytes, wait_ms, check)
        self._buffers.append(buffer)
        return buffer

    def get_max_bytes(self) -> int:
        """Return the size of the largest body that the budget can hold at all."""
        return self._budget.get_max_body_bytes(self.kind)

    def get_step_bytes(self) -> int:
        """Return how much a body of unknown length takes at a time."""
        if self.kind is MemoryKind.BODY:
            return STEP_BYTES
        part = self.get_max_bytes() // MAX_REPLY_STEP_DIVISOR
        return min(STEP_BYTES, max(SMALL_BODY_BYTES, part))

    def allow_revoking(self, on_revoke: Callable[[], None]) -> None:
        """Let the hold give way while its caller makes no progress."""
        self._progress_at = self._clock.now()
        self._progress_bytes = 0
        self.on_revoke = on_revoke

    def forbid_revoking(self) -> None:
        """Keep the memory until the hold is closed: the request is passed on now.

        Raises
        ------
        MemoryRefused
            If the hold had to give way already.
        """
        self._budget.forbid_revoking(self)

    def check(self) -> None:
        """Raise :class:`MemoryRefused` if the hold has to give way."""
        if self.is_revoked:
            inputs = self._budget.describe(self)
            raise MemoryRefused(RefusalReason.NO_PROGRESS, inputs)

    def record_progress(self, count: int) -> None:
        """Record that the caller sent or accepted bytes."""
        self._progress_bytes += count
        if self._progress_bytes >= max(
            MIN_PROGRESS_BYTES, self.size // MIN_PROGRESS_DIVISOR
        ):
            self._progress_at = self._clock.now()
            self._progress_bytes = 0

    def restart_progress(self) -> None:
        """Count the time without progress from now, after a wait for memory."""
        self._progress_at = self._clock.now()

    def get_stalled_ms(self, now: Millis) -> int:
        """Return the time since the last progress, 0 if it must not be ended."""
        if self.on_revoke is None or self.is_waiting or self.is_revoked:
            return 0
        return now - self._progress_at

    def release_buffers(self) -> None:
        """Give the memory of the buffers back, whose bodies are not used any more."""
        count = sum(buffer.capacity for buffer in self._buffers)
        for buffer in self._buffers:
            buffer.release()
        self._buffers.clear()
        self._budget.give_back(self, count)

    def close(self) -> None:
        """Give all memory back; later calls do nothing."""
        for buffer in self._buffers:
            buffer.release()
        self._buffers.clear()
        self._budget.close(self)
