"""Bytes of large request bodies in flight at each upstream, and how many it may hold.

Load pattern: uploads to upstreams that crash if the requests that they hold exceed
their memory, the size of which is not published. The proxies of an availability zone
report the bytes that they have in flight, and learn a limit for a service from each
upstream that crashes with many bytes in flight. Small bodies are not counted, so that
short requests cost nothing here.
"""

from dataclasses import dataclass

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import ServiceName, UpstreamId

# Id and incarnation: nothing that was sent to one incarnation is held by the next.
UpstreamKey = tuple[UpstreamId, int]

KILOBYTE = 1024
MEGABYTE = 1024 * KILOBYTE
# Smaller bodies are not counted.
MIN_COUNTED_BYTES = 16 * KILOBYTE
# Requests with bodies from this size on take no reserved slots. Smaller bodies are
# written within milliseconds, and an upstream of two slots would run only one of them.
MIN_UNRESERVED_BYTES = MEGABYTE
# Limit of a service while nothing is known: the largest body that a proxy accepts.
INITIAL_LIMIT_BYTES = 64 * MEGABYTE
# Least limit. An upstream also gets any body while it has none in flight.
MIN_LIMIT_BYTES = MEGABYTE
# A crash with fewer bytes in flight is not taken for one by lack of memory.
MIN_END_BYTES = MEGABYTE
# Part of the bytes in flight at a crash that becomes the limit.
LIMIT_SHARE = 0.5
# A learned limit doubles each time, as the crash may have had another cause.
LIMIT_DOUBLING_MS = 60_000
MAX_DOUBLINGS = 6
# Part of the limit from which other proxies must know of a change at once.
SCARCE_SHARE = 0.5
# A peer's count expires if no report on a large body renews it. That is longer than the
# 4 s of a count of requests, as an upload to an upstream that reads slowly may last
# longer without a further report.
PEER_BYTES_TTL_MS = 10_000
# A report that was received this long ago orders no later one: the clock of a VM that
# lost power begins anew.
PEER_ORDER_MS = 4_000
# Longest time from a closed connection to a refused one that proves a crash with it. A
# crashed upstream returns after about 3 s.
CLOSE_WINDOW_MS = 1_000
# Evidence of a crash within this time is of the same crash.
SAME_END_MS = 2_000


@dataclass(slots=True)
class PeerBytes:
    """Bytes in flight from one peer to one upstream.

    Parameters
    ----------
    body_bytes : int
        Last count that the peer reported.
    reported_at : Millis
        Time of the peer's last report, by the peer's clock.
    received_at : Millis
        When that was received.
    """

    body_bytes: int
    reported_at: Millis
    received_at: Millis


@dataclass(slots=True)
class Close:
    """Connections that an upstream closed without a reply.

    Parameters
    ----------
    body_bytes : int
        Most bytes that were in flight when one of them closed.
    closed_at : Millis
        When the first one closed.
    """

    body_bytes: int
    closed_at: Millis


@dataclass(slots=True)
class Limit:
    """Learned limit of a service.

    Parameters
    ----------
    max_bytes : int
        Limit at the last crash.
    learned_at : Millis
        When that was.
    announced_bytes : int
        Limit that was last returned as a change.
    """

    max_bytes: int
    learned_at: Millis
    announced_bytes: int


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Change of the limit of a service.

    Parameters
    ----------
    service : ServiceName
        The service.
    before, after : int
        Limits in bytes. They are equal if a crash confirms a limit.
    ended_bytes : int
        Bytes in flight at the upstream that crashed, 0 if the limit has doubled.
    """

    service: ServiceName
    before: int
    after: int
    ended_bytes: int = 0


class UploadLoad:
    """Bytes in flight by upstream, and learned limits by service."""

    def __init__(self):
        # Zero counts of this proxy are left out.
        self._own: dict[UpstreamKey, int] = {}
        # A zero count of a peer is kept, as it outdates reports that arrive late.
        self._peers: dict[UpstreamKey, dict[str, PeerBytes]] = {}
        self._closes: dict[UpstreamKey, Close] = {}
        self._ended_at: dict[UpstreamKey, Millis] = {}
        self._limits: dict[ServiceName, Limit] = {}

    # Bytes in flight.

    @property
    def has_peer_counts(self) -> bool:
        """Return whether any peer has reported bytes; most fleets have no uploads."""
        return bool(self._peers)

    def add_own(self, upstream: UpstreamKey, change: int) -> int:
        """Add the body of a send that begins, or subtract that of one that has ended.

        Returns this proxy's bytes in flight to the upstream, at least zero.
        """
        count = max(0, self._own.get(upstream, 0) + change)
        if count:
            self._own[upstream] = count
        else:
            self._own.pop(upstream, None)
        return count

    def get_own(self, upstream: UpstreamKey) -> int:
        """Return this proxy's bytes in flight to an upstream."""
        return self._own.get(upstream, 0)

    def count_all_own(self) -> int:
        """Return this proxy's bytes in flight to all upstreams."""
        return sum(list(self._own.values()))

    def set_peer(
        self,
        peer: str,
        upstream: UpstreamKey,
        body_bytes: int | None,
        in_flight: int,
        reported_at: Millis,
        now: Millis,
    ) -> None:
        """Store the count in a peer's report, unless a later one was received.

        Parameters
        ----------
        body_bytes : int or None
            The count, ``None`` if the report is about a small body. It then shows only
            that the count is 0 if the peer has no request in flight: it must not renew
            a count whose end was not received.
        in_flight : int
            Requests of the peer in flight to the upstream.
        reported_at, now : Millis
            Time of the report by the peer's clock, and of its receipt.
        """
        if not in_flight:
            body_bytes = 0 if upstream in self._peers else body_bytes
        if body_bytes is None:
            return
        counts = self._peers.setdefault(upstream, {})
        last = counts.get(peer)
        if last is not None and last.reported_at > reported_at:
            if last.received_at >= now - PEER_ORDER_MS:
                return
        counts[peer] = PeerBytes(body_bytes, reported_at, now)

    def drop_peer(self, peer: str) -> None:
        """Remove the counts of a peer that stopped or restarted."""
        for counts in self._peers.values():
            counts.pop(peer, None)

    def count_bytes(self, upstream: UpstreamKey, now: Millis) -> int:
        """Return the bytes in flight to an upstream from the availability zone."""
        total = self._own.get(upstream, 0)
        counts = self._peers.get(upstream)
        if not counts:
            return total
        oldest = now - PEER_BYTES_TTL_MS
        return total + sum(
            item.body_bytes for item in counts.values() if item.received_at >= oldest
        )

    # Limits.

    def may_send(
        self, upstream: UpstreamKey, service: ServiceName, body_bytes: int, now: Millis
    ) -> bool:
        """Return whether the limit of an upstream's service allows a body there now."""
        if body_bytes < MIN_COUNTED_BYTES:
            return True
        in_flight = self.count_bytes(upstream, now)
        return not in_flight or in_flight + body_bytes <= self.get_limit(service, now)

    def is_scarce(
        self, upstream: UpstreamKey, service: ServiceName, now: Millis
    ) -> bool:
        """Return whether an upstream has so much in flight that its limit is near."""
        limit = self.get_limit(service, now)
        return self.count_bytes(upstream, now) > SCARCE_SHARE * limit

    def get_limit(self, service: ServiceName, now: Millis) -> int:
        """Return the bytes that may be in flight to each upstream of a service."""
        limit = self._limits.get(service)
        if limit is None:
            return INITIAL_LIMIT_BYTES
        doublings = max(0, now - limit.learned_at) // LIMIT_DOUBLING_MS
        current = limit.max_bytes << min(doublings, MAX_DOUBLINGS)
        return min(INITIAL_LIMIT_BYTES, current)

    def count_limits(self) -> int:
        """Return the number of services with a learned limit."""
        return len(self._limits)

    def record_close(self, upstream: UpstreamKey, now: Millis) -> bool:
        """Record that an upstream closed a connection without a reply.

        It must be called before the body of the send is subtracted. Returns whether a
        refused connection would show that the limit is too high.
        """
        body_bytes = self.count_bytes(upstream, now)
        close = self._closes.get(upstream)
        if close is None or close.closed_at < now - CLOSE_WINDOW_MS:
            self._closes.pop(upstream, None)
            if body_bytes < MIN_END_BYTES:
                return False
            self._closes[upstream] = Close(body_bytes, now)
            return True
        close.body_bytes = max(close.body_bytes, body_bytes)
        return True

    def record_end(
        self,
        upstream: UpstreamKey,
        service: ServiceName,
        now: Millis,
        ended_bytes: int | None = None,
    ) -> LimitChange | None:
        """Lower the limit of a service after an upstream refused a connection.

        Parameters
        ----------
        ended_bytes : int or None
            Bytes in flight when it crashed, as a peer reported them; ``None`` takes
            those of the connections that it closed before.

        Returns
        -------
        LimitChange or None
            ``None`` if this is no crash by lack of memory, or known already.
        """
        if ended_bytes is None:
            close = self._closes.pop(upstream, None)
            if close is None or close.closed_at < now - CLOSE_WINDOW_MS:
                return None
            ended_bytes = close.body_bytes
        if ended_bytes < MIN_END_BYTES:
            return None
        ended_at = self._ended_at.get(upstream)
        if ended_at is not None and now - ended_at < SAME_END_MS:
            return None
        self._ended_at[upstream] = now
        return self._lower_limit(service, ended_bytes, now)

    def _lower_limit(
        self, service: ServiceName, ended_bytes: int, now: Millis
    ) -> LimitChange:
        before = self.get_limit(service, now)
        learned = max(MIN_LIMIT_BYTES, int(LIMIT_SHARE * ended_bytes))
        # A single body over the limit may be sent; its crash must not raise the limit.
        after = min(before, learned)
        if after < INITIAL_LIMIT_BYTES:
            self._limits[service] = Limit(after, now, after)
        return LimitChange(service, before, after, ended_bytes)

    def list_raised(self, now: Millis) -> list[LimitChange]:
        """Return the limits that have doubled since the last call.

        A limit that has reached its initial value is forgotten.
        """
        changes = []
        for service, limit in list(self._limits.items()):
            current = self.get_limit(service, now)
            if current != limit.announced_bytes:
                change = LimitChange(service, limit.announced_bytes, current)
                changes.append(change)
                limit.announced_bytes = current
            if current >= INITIAL_LIMIT_BYTES:
                del self._limits[service]
        return changes

    def retain(self, kept: set[UpstreamKey]) -> None:
        """Remove the state of all upstreams but those in ``kept``."""
        for table in (self._own, self._peers, self._closes, self._ended_at):
            for upstream in [key for key in table if key not in kept]:
                del table[upstream]
