"""Memory budget of a proxy process for the bodies of requests and replies.

A body takes its memory from the budget before it is read and gives it back when it is
no longer needed. When the budget is used up, reading waits; then a request is refused
before anything of it is passed on, and callers without progress give way.
"""

import logging
import threading
from collections.abc import Callable, Collection
from enum import StrEnum

from damaskdyke.conf.vm import DEFAULT_MEMORY_MB
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.gateway.body_buffers import SMALL_BODY_BYTES
from damaskdyke.gateway.memory_holds import (
    MemoryHold,
    MemoryKind,
    MemoryRefused,
    RefusalReason,
)
from damaskdyke.gateway.memory_revocation import StalledChooser
from damaskdyke.gateway.memory_waiting import (
    PASSING_WAIT_SHARE,
    Waiter,
    WaitingLine,
)
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
# Shares of the budget up to which bodies of requests may take memory. The rest stays
# free for replies, and so for requests without a body.
SMALL_BODY_SHARE = 0.8
LARGE_BODY_SHARE = 0.7
# The same for the only large body of a request: it is served in calm even if the budget
# is small.
SINGLE_BODY_SHARE = 15 / 16
# Longest wait of a request's body for memory, and its limit as a part of the deadline:
# the caller needs the rest for a retry.
MAX_WAIT_MS = 1_000
MAX_WAIT_SHARE = 0.25
# The body that began first, of those that wait for more than they hold, waits longer:
# if all gave up at once, none of them would ever be whole.
FIRST_WAIT_FACTOR = 2
# Interval at which a waiter looks for callers without progress.
WAIT_SLICE_MS = 200
# Part of its wait after which a waiting request body makes stalled bodies give way, and
# a waiting reply stalled replies: a caller that only paused may go on meanwhile.
REVOKE_WAIT_SHARE = 0.5
# Part of the budget down to which unread replies give way to a small body. Without a
# gap to its own share, each small body in turn would wait for the end of a reply.
RELIEF_SHARE = 0.7
# Retry-After of a refusal: callers without progress have given way by then.
RETRY_AFTER_MS = 500


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
        # What the waiting holds want.
        self._wanted = 0
        self._stalled_chooser = StalledChooser()
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
        self, waiter: Waiter, wait_ms: float, check: Callable[[], None] | None
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

    def _revoke_stalled(
        self, hold: MemoryHold, count: int, has_waited: bool
    ) -> list[tuple[MemoryHold, int]]:
        """Return the holds that give way, with the time without progress of each."""
        chosen = self._stalled_chooser.choose(
            self._holds,
            hold,
            has_waited,
            self._compute_relief(hold, count),
            lambda gone: self._compute_excess(hold, count, gone),
            self._clock.now(),
        )
        for other, _ in chosen:
            other.is_revoked = True
        self.revoked_count += len(chosen)
        return chosen

    def _compute_relief(self, hold: MemoryHold, count: int) -> int:
        """Return what replies free beyond the need of a small body.

        It is 0 if the body would fit if no other body was held.
        """
        limit = int(self.max_bytes * SMALL_BODY_SHARE)
        is_small = get_share(hold, count) is Share.SMALL_BODY
        if not is_small or self._held[MemoryKind.REPLY] + count <= limit:
            return 0
        return limit - int(self.max_bytes * RELIEF_SHARE)


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
