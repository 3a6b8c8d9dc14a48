"""Choice of the transfers that give way while others wait; decides without I/O.

Load pattern: nothing in calm; while the memory is used up, one pass over all holds per
`SCAN_INTERVAL_MS` and kind of the waiting hold, hundreds at most.
"""

from collections.abc import Callable, Collection, Iterable

from damaskdyke.core.clock import Millis
from damaskdyke.gateway.memory_holds import STALL_MS, MemoryHold, MemoryKind

# Shortest interval at which any waiter looks for callers without progress: hundreds
# may wait.
SCAN_INTERVAL_MS = 50


class StalledChooser:
    """Chooses the holds that give way to one that waits."""

    def __init__(self):
        # By kind of the waiting hold, whether it has waited for its part, and whether
        # replies may give way to it. Others must not use up the scans of those.
        self._scanned_at: dict[tuple[MemoryKind, bool, bool], Millis] = {}

    def choose(
        self,
        holds: Iterable[MemoryHold],
        hold: MemoryHold,
        has_waited: bool,
        relief: int,
        compute_excess: Callable[[Collection[MemoryHold]], int],
        now: Millis,
    ) -> list[tuple[MemoryHold, int]]:
        """Return the holds that give way, with the time without progress of each.

        Bodies of requests come first, of these the ones without progress for the
        longest, and only as many as the waiting hold needs; none if all of them are too
        few. A reply does not give way to the body of a request, since its order has run
        while the body can be refused without loss, unless replies leave no memory to
        any small body.

        Parameters
        ----------
        holds : iterable of MemoryHold
            All holds.
        hold : MemoryHold
            The one that waits.
        has_waited : bool
            Whether it has waited for its part of the time.
        relief : int
            Bytes to free beyond its need if replies leave no memory to any small body,
            otherwise 0.
        compute_excess : callable
            Returns by how many bytes too few are free if some holds are gone.
        now : Millis
            The time.
        """
        is_reply = hold.kind is MemoryKind.REPLY
        if not (has_waited or is_reply):
            return []
        scan = (hold.kind, has_waited, relief > 0)
        scanned_at = self._scanned_at.get(scan)
        if scanned_at is not None and now - scanned_at < SCAN_INTERVAL_MS:
            return []
        self._scanned_at[scan] = now
        may_end_replies = (is_reply or relief > 0) and has_waited
        gone = {x for x in holds if x.is_revoked}
        stalled = [
            (other.get_stalled_ms(now), other)
            for other in holds
            if other is not hold
            and (other.kind is MemoryKind.BODY or may_end_replies)
            and other.get_stalled_ms(now) >= STALL_MS
        ]
        stalled.sort(key=lambda item: (item[1].kind is MemoryKind.REPLY, -item[0]))
        if compute_excess(gone.union(other for _, other in stalled)) > 0:
            return []
        chosen = []
        for stalled_ms, other in stalled:
            if compute_excess(gone) <= -relief:
                break
            gone.add(other)
            chosen.append((other, stalled_ms))
        return chosen
