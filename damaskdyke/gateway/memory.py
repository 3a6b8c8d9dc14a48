"""Memory budget of a proxy process for the bodies of requests and replies.

A body takes its memory from the budget before it is read and gives it back when it is
no longer needed. When the budget is used up, reading waits; then a request is refused
before anything of it is passed on, and callers without progress give way.
"""

import contextlib
import logging
import mmap
import threading
from collections import deque
from collections.abc import Callable, Collection
from enum import Enum, StrEnum

from damaskdyke.conf.vm import DEFAULT_MEMORY_MB
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.memory")

BYTES_PER_MB = 1_000_000
# Interpreter, catalogue and buffers: 31 MB were measured with two upstreams; many
# workspaces and the metrics exporter add to it.
PROCESS_BYTES = 64 * 1024 * 1024
# Share of the memory that is kept for the threads of callers' connections.
CONNECTION_SHARE = 1 / 6
# Memory of a connection with its thread: 30 KB were measured idle and after a request;
# the head of a request adds up to 16 KB.
CONNECTION_BYTES = 48 * 1024
# A machine with less memory than the process takes still serves one reply at a time.
MIN_BUDGET_BYTES = 16 * 1024 * 1024
# Bodies up to this size count as small and are not kept in mappings of their own.
SMALL_BODY_BYTES = 64 * 1024
# Shares of the budget up to which bodies of requests may take memory. The rest stays
# free for replies, and so for requests without a body.
SMALL_BODY_SHARE = 0.8
LARGE_BODY_SHARE = 0.7
# The same for the only large body of a request: it is served in calm even if the budget
# is small.
SINGLE_BODY_SHARE = 15 / 16
# A body of unknown length takes memory in steps of this size.
STEP_BYTES = 1024 * 1024
# Limit of the steps of a reply as a part of the budget. Beside a body of the largest
# size a step of 1 MB did not fit into a budget of 16 MB.
MAX_REPLY_STEP_DIVISOR = 64
# Holds that wait for at most this pass one that does not fit: a body of 64 MB kept all
# those over 64 KB waiting.
MAX_PASSING_BYTES = 1024 * 1024
# Part of its wait during which the first one in line is passed: after that a steady
# stream of small ones would still have kept a body of 64 MB from its memory.
PASSING_WAIT_SHARE = 0.5
# Longest time for which it is not passed, and the least time for which those behind it
# pass again: a series of large bodies must not keep the small ones out.
MAX_BARRED_MS = 500
# Longest wait of a request's body for memory, and its limit as a part of the deadline:
# the caller needs the rest for a retry.
MAX_WAIT_MS = 1_000
MAX_WAIT_SHARE = 0.25
# The body that began first, of those that wait for more than they hold, waits longer:
# if all gave up at once, none of them would ever be whole.
FIRST_WAIT_FACTOR = 2
# Interval at which a waiter looks for callers without progress, and the shortest one at
# which any of them does: hundreds may wait.
WAIT_SLICE_MS = 200
SCAN_INTERVAL_MS = 50
# Part of its wait after which a waiting request body makes stalled bodies give way, and
# a waiting reply stalled replies: a caller that only paused may go on meanwhile.
REVOKE_WAIT_SHARE = 0.5
# Part of the budget down to which unread replies give way to a small body. Without a
# gap to its own share, each small body in turn would wait for the end of a reply.
RELIEF_SHARE = 0.7
# Retry-After of a refusal: callers without progress have given way by then.
RETRY_AFTER_MS = 500
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


class BodyTooLarge(Exception):
    """A body is over its limit, or over what the whole budget can hold."""


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
    ) -> "BodyBuffer":
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


class Share(StrEnum):
    """Parts of the budget, which differ in how much of it they may take."""

    REPLY = "reply"
    SMALL_BODY = "small-body"
    LARGE_BODY = "large-body"


def get_share(hold: MemoryHold, count: int) -> Share:
    """Return the part of the budget from which a hold takes further bytes."""
    if hold.kind is MemoryKind.REPLY:
        return Share.REPLY
    is_small = hold.size + count <= SMALL_BODY_BYTES
    return Share.SMALL_BODY if is_small else Share.LARGE_BODY


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


class MemoryBudget:
    """Memory that all bodies of the process may take together.

    Parameters
    ----------
    max_bytes : int
        The limit.
    clock : Clock
        Source of time.
    """

    def __init__(self, max_bytes: int, clock: Clock):
        self.max_bytes = max_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._holds: set[MemoryHold] = set()
        self._lines = {share: WaitingLine() for share in Share}
        self._held = dict.fromkeys(MemoryKind, 0)
        self._total = 0
        # What the waiting holds want, and when stalled holds were last looked for.
        self._wanted = 0
        # By kind of the waiting hold, and whether it has waited for its part.
        self._scanned_at: dict[tuple[MemoryKind, bool], Millis] = {}
        # Bodies that were refused, and transfers that gave way, since the start.
        self.refused_count = 0
        self.revoked_count = 0

    def open(self, kind: MemoryKind, label: str = "") -> MemoryHold:
        """Return a hold without memory; it must be closed."""
        return MemoryHold(self, kind, label, self._clock)

    def get_held(self, kind: MemoryKind) -> int:
        """Return the bytes that bodies of a kind hold."""
        return self._held[kind]

    def get_max_body_bytes(self, kind: MemoryKind = MemoryKind.BODY) -> int:
        """Return the size of the largest body of a kind that can be held at all."""
        if kind is MemoryKind.REPLY:
            return self.max_bytes
        return int(self.max_bytes * SINGLE_BODY_SHARE)

    def describe(self, hold: MemoryHold) -> dict[str, int]:
        """Return the size of a hold, and what is held in all, for the log."""
        return {
            "size": hold.size,
            "bodies": self._held[MemoryKind.BODY],
            "replies": self._held[MemoryKind.REPLY],
            "limit": self.max_bytes,
        }

    def take(
        self,
        hold: MemoryHold,
        count: int,
        wait_ms: float,
        check: Callable[[], None] | None,
    ) -> None:
        """Take memory for a hold, see :meth:`MemoryHold.take`."""
        line = self._lines[get_share(hold, count)]
        with self._lock:
            now = self._clock.now()
            if line.may_take(count, now) and self._take(hold, count):
                return
            bars_at = Millis(int(now + wait_ms * PASSING_WAIT_SHARE))
            waiter = Waiter(hold, count, bars_at)
            line.add(waiter)
            self._wanted += count
        hold.is_waiting = True
        try:
            if hold.on_shortage is not None:
                hold.on_shortage()
            self._wait(waiter, wait_ms, check)
        finally:
            hold.is_waiting = False
            hold.restart_progress()
            with self._lock:
                self._wanted -= count
                if not waiter.granted.is_set():
                    line.remove(waiter, self._clock.now())
                    self._grant()

    def close(self, hold: MemoryHold) -> None:
        """Release the memory of a hold."""
        with self._lock:
            if hold not in self._holds:
                return
            self._holds.remove(hold)
            self._held[hold.kind] -= hold.size
            self._total -= hold.size
            hold.size = 0
            hold.on_revoke = None
            self._grant()

    def give_back(self, hold: MemoryHold, count: int) -> None:
        """Release a part of the memory of a hold."""
        with self._lock:
            if hold not in self._holds:
                return
            self._held[hold.kind] -= count
            self._total -= count
            hold.size -= count
            self._grant()

    def forbid_revoking(self, hold: MemoryHold) -> None:
        """Keep a hold, see :meth:`MemoryHold.forbid_revoking`."""
        with self._lock:
            hold.check()
            hold.on_revoke = None

    def _wait(
        self, waiter: "Waiter", wait_ms: float, check: Callable[[], None] | None
    ) -> None:
        hold, count = waiter.hold, waiter.count
        started_at = self._clock.now()
        patient_ms = wait_ms * REVOKE_WAIT_SHARE
        while True:
            waited_ms = self._clock.now() - started_at
            with self._lock:
                self._grant()
                if waiter.granted.is_set():
                    return
                stalled = []
                # Memory that is freed for one that may not take it yet is lost.
                line = self._lines[get_share(hold, count)]
                if line.may_grant(waiter, self._clock.now()):
                    has_waited = waited_ms >= patient_ms
                    stalled = self._revoke_stalled(hold, count, has_waited)
                is_first = self._is_first_to_grow(hold)
            self._end_transfers(stalled)
            waited_ms = self._clock.now() - started_at
            if waited_ms >= wait_ms * (FIRST_WAIT_FACTOR if is_first else 1):
                break
            if check is not None:
                check()
            slice_ms = min(WAIT_SLICE_MS, wait_ms * FIRST_WAIT_FACTOR - waited_ms)
            for limit_ms in (patient_ms, wait_ms):
                if waited_ms < limit_ms:
                    slice_ms = min(slice_ms, limit_ms - waited_ms)
            if waiter.granted.wait(slice_ms / 1_000):
                return
        with self._lock:
            if waiter.granted.is_set():
                return
            self.refused_count += 1
        inputs = {"wanted": count, "waited_ms": waited_ms, **self.describe(hold)}
        raise MemoryRefused(RefusalReason.NO_MEMORY, inputs)

    def _end_transfers(self, stalled: list[tuple[MemoryHold, int]]) -> None:
        for other, stalled_ms in stalled:
            log_event(
                logger,
                "memory-revoked",
                logging.WARNING,
                label=other.label,
                kind=other.kind.value,
                size=other.size,
                stalled_ms=stalled_ms,
            )
            on_revoke = other.on_revoke
            if on_revoke is not None:
                on_revoke()

    # The methods below are called with the lock held.

    def _grant(self) -> None:
        """Let those that wait take what is free."""
        if not self._wanted:
            return
        now = self._clock.now()
        for line in self._lines.values():
            line.grant(lambda waiter: self._take(waiter.hold, waiter.count), now)

    def _take(self, hold: MemoryHold, count: int) -> bool:
        if self._compute_excess(hold, count) > 0:
            return False
        self._holds.add(hold)
        hold.size += count
        self._held[hold.kind] += count
        self._total += count
        return True

    def _compute_excess(
        self, hold: MemoryHold, count: int, gone: Collection[MemoryHold] = ()
    ) -> int:
        """Return by how many bytes too few are free for a hold to take more.

        ``gone`` are holds whose memory counts as free.
        """
        total = self._total + count - sum(x.size for x in gone)
        share = get_share(hold, count)
        if share is Share.REPLY:
            return total - self.max_bytes
        if share is Share.SMALL_BODY:
            return total - int(self.max_bytes * SMALL_BODY_SHARE)
        excess = total - int(self.max_bytes * LARGE_BODY_SHARE)
        if excess <= 0 or any(
            x.is_large for x in self._holds if x is not hold and x not in gone
        ):
            return excess
        return total - int(self.max_bytes * SINGLE_BODY_SHARE)

    def _is_first_to_grow(self, hold: MemoryHold) -> bool:
        """Return whether a hold is the oldest of those that wait for more memory."""
        return hold.is_large and all(
            hold.opened_at <= other.opened_at
            for other in self._holds
            if other.is_waiting and other.is_large
        )

    def _is_shut_out(self, hold: MemoryHold, count: int) -> bool:
        """Return whether a small body would not fit even if no other was held."""
        is_small = get_share(hold, count) is Share.SMALL_BODY
        limit = int(self.max_bytes * SMALL_BODY_SHARE)
        return is_small and self._held[MemoryKind.REPLY] + count > limit

    def _revoke_stalled(
        self, hold: MemoryHold, count: int, has_waited: bool
    ) -> list[tuple[MemoryHold, int]]:
        """Return the holds that give way, with the time without progress of each.

        Bodies of requests come first, of these the ones without progress for the
        longest, and only as many as the waiting hold needs; none if all of them are too
        few. A reply does not give way to the body of a request, since its order has run
        while the body can be refused without loss, unless replies leave no memory to
        any small body.
        """
        is_reply = hold.kind is MemoryKind.REPLY
        if not (has_waited or is_reply):
            return []
        now = self._clock.now()
        scanned_at = self._scanned_at.get((hold.kind, has_waited))
        if scanned_at is not None and now - scanned_at < SCAN_INTERVAL_MS:
            return []
        self._scanned_at[hold.kind, has_waited] = now
        is_shut_out = self._is_shut_out(hold, count)
        may_end_replies = (is_reply or is_shut_out) and has_waited
        gone = {x for x in self._holds if x.is_revoked}
        stalled = [
            (other.get_stalled_ms(now), other)
            for other in self._holds
            if other is not hold
            and (other.kind is MemoryKind.BODY or may_end_replies)
            and other.get_stalled_ms(now) >= STALL_MS
        ]
        stalled.sort(key=lambda item: (item[1].kind is MemoryKind.REPLY, -item[0]))
        all_gone = gone.union(other for _, other in stalled)
        if self._compute_excess(hold, count, all_gone) > 0:
            return []
        relief = 0
        if is_shut_out:
            relief = int(self.max_bytes * (SMALL_BODY_SHARE - RELIEF_SHARE))
        revoked = []
        for stalled_ms, other in stalled:
            if self._compute_excess(hold, count, gone) <= -relief:
                break
            other.is_revoked = True
            gone.add(other)
            self.revoked_count += 1
            revoked.append((other, stalled_ms))
        return revoked


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
        hold: MemoryHold,
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
        step = STEP_BYTES
        if self._hold.kind is MemoryKind.REPLY:
            part = self._hold.get_max_bytes() // MAX_REPLY_STEP_DIVISOR
            step = min(step, max(SMALL_BODY_BYTES, part))
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


def compute_budget_bytes(memory_mb: int) -> int:
    """Return the memory for bodies of a process on a machine with a memory."""
    machine_bytes = memory_mb * BYTES_PER_MB
    rest = machine_bytes * (1 - CONNECTION_SHARE) - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, int(rest))


def make_default_budget(clock: Clock) -> MemoryBudget:
    """Return a budget of its own for a part that is used without a proxy process."""
    return MemoryBudget(compute_budget_bytes(DEFAULT_MEMORY_MB), clock)


def compute_wait_ms(deadline_ms: int | None) -> float:
    """Return how long the body of a request waits for memory."""
    if not deadline_ms:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, MAX_WAIT_SHARE * deadline_ms)
