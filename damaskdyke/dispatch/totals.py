"""Counts of events that proxies share as totals, so that a lost report loses nothing.

Load pattern: thousands of events a second, each reported in one datagram that may be
lost, late or relayed by a proxy that fails. A report of a single event would be missing
from the counts for good. A total that only grows tells the receiver all that it has
missed with the next report that arrives.
"""

from collections.abc import Hashable

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import BootId

# Age from which a peer's last total tells nothing about its next one.
PEER_TOTAL_TTL_MS = 10_000
# Own totals without an event are kept for longer than the peers keep them: a total that
# began anew would otherwise look like a late report to a peer.
OWN_TOTAL_TTL_MS = 2 * PEER_TOTAL_TTL_MS
EXPIRY_INTERVAL_MS = 5_000
# Most events that one report adds, more than a process begins within the time above.
MAX_NEW_EVENTS = 5_000


class OwnTotals:
    """Events of this process by key. Not thread-safe."""

    def __init__(self):
        self._totals: dict[Hashable, tuple[int, Millis]] = {}
        self._expired_at = Millis(0)

    def __len__(self) -> int:
        return len(self._totals)

    def add(self, key: Hashable, now: Millis) -> int:
        """Count an event and return the total."""
        if now - self._expired_at >= EXPIRY_INTERVAL_MS:
            self._expired_at = now
            remove_expired(self._totals, Millis(now - OWN_TOTAL_TTL_MS))
        total = self.get(key) + 1
        self._totals[key] = total, now
        return total

    def get(self, key: Hashable) -> int:
        """Return the total, 0 without a recent event."""
        return self._totals.get(key, (0, Millis(0)))[0]


class PeerTotals:
    """Last totals that other processes reported. Not thread-safe."""

    def __init__(self):
        self._totals: dict[Hashable, tuple[int, Millis]] = {}
        self._expired_at = Millis(0)

    def __len__(self) -> int:
        return len(self._totals)

    def count_new(
        self,
        peer: str,
        boot: BootId,
        key: Hashable,
        total: int | None,
        is_event: bool,
        now: Millis,
    ) -> int:
        """Return how many events a report adds to those that were counted before.

        Parameters
        ----------
        peer, boot : str, BootId
            Address and incarnation of the process whose total it is.
        key : Hashable
            What is counted.
        total : int or None
            The total, ``None`` from a process that reports single events.
        is_event : bool
            Whether the report is about an event of its own. It is all that counts of
            the first report, as the events before it may be old.
        now : Millis
            Present time.
        """
        if total is None:
            return int(is_event)
        if now - self._expired_at >= EXPIRY_INTERVAL_MS:
            self._expired_at = now
            remove_expired(self._totals, Millis(now - PEER_TOTAL_TTL_MS))
        found = self._totals.get((peer, boot, key))
        if found is None or found[1] < now - PEER_TOTAL_TTL_MS:
            self._totals[peer, boot, key] = total, now
            return int(is_event)
        last = found[0]
        self._totals[peer, boot, key] = max(total, last), now
        return min(max(0, total - last), MAX_NEW_EVENTS)


def remove_expired(totals: dict[Hashable, tuple[int, Millis]], oldest: Millis) -> None:
    """Remove the totals that were last changed before a time."""
    for key in [key for key, (_, at) in totals.items() if at < oldest]:
        del totals[key]
