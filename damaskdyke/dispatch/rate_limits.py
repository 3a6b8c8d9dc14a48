"""Keeps the fleet to the rate limits that upstreams state in their replies.

Load pattern: an upstream in need names the requests per second that it accepts from all
proxies together, often fewer than one for each proxy, while others of its service do
the same or not. No proxy can keep to such a limit alone. The proxies of the upstream's
availability zone share most of it and count each other's sends; the other zones share
the rest. A send that becomes possible is tried by each proxy after a random delay, so
that one send is reported before the next proxy tries.
"""

import random
import re
from dataclasses import dataclass, field

from damaskdyke.core.clock import MILLIS_PER_SECOND, Millis
from damaskdyke.core.ids import UpstreamId
from damaskdyke.dispatch.budgets import FleetSize

# A decimal number; the digits bound the work on a damaged reply.
LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)
# Share of a limit for the zones of other proxies than the upstream's own, which know
# less of what is sent to it.
OTHER_ZONES_SHARE = 0.25
# Rate at which an upstream is used that accepts less: its replies show when that ends.
MIN_PER_SECOND = 0.25
# Limit of one proxy, as a multiple of its equal share of the zone's rate. It holds if
# the reports of the others do not arrive.
MAX_EQUAL_SHARES = 2.0
# A limit that was confirmed this long ago is reported again to the fleet.
CONFIRM_INTERVAL_MS = 1_000
# Time for which the end of a limit is reported, to proxies that missed it.
LIFTED_REPORT_MS = 5_000
# Sends beyond the limit, from proxies that did not know of each other's yet, delay the
# next ones by at most this.
MAX_DEBT_MS = 4_000


@dataclass(frozen=True, slots=True)
class LimitSharing:
    """How the proxies of a zone share the rate limit of an upstream.

    Parameters
    ----------
    is_same_zone : bool
        Whether the upstream is in the zone.
    size : FleetSize
        Proxies in the zone and in the fleet.
    report_delay_ms : int
        Time in which the report of a send reaches the other proxies of the zone.
    """

    is_same_zone: bool
    size: FleetSize
    report_delay_ms: int

    def compute_interval_ms(self, per_second: float) -> float:
        """Return the time between two sends of the zone at a limit."""
        share = 1.0
        other_proxies = self.size.fleet_proxies - self.size.zone_proxies
        if not self.is_same_zone:
            share = OTHER_ZONES_SHARE * min(
                1.0, self.size.zone_proxies / max(1, other_proxies)
            )
        elif other_proxies > 0:
            share -= OTHER_ZONES_SHARE
        return MILLIS_PER_SECOND / (share * max(per_second, MIN_PER_SECOND))

    @property
    def max_backoff_ms(self) -> int:
        """Return the longest delay of one proxy before it takes a possible send."""
        return self.size.zone_proxies * self.report_delay_ms


@dataclass(slots=True)
class RateLimit:
    """Rate limit of one incarnation of an upstream, or its recent end.

    Parameters
    ----------
    incarnation : int
        Incarnation that stated it.
    per_second : float or None
        Requests per second from the whole fleet, ``None`` if the limit has ended.
    changed_at, confirmed_at : Millis
        When ``per_second`` changed, and when a reply to any proxy last confirmed it.
    zone_next_at : float
        Time in ms of the next send of the zone.
    own_next_at : float
        Time in ms before which this proxy must not send, whatever the others do.
    open_at : float
        Time in ms from which this proxy may send.
    sends : int
        Sends to it by this proxy since the limit is known.
    """

    incarnation: int
    per_second: float | None
    changed_at: Millis
    confirmed_at: Millis
    zone_next_at: float = 0.0
    own_next_at: float = 0.0
    open_at: float = 0.0
    sends: int = 0

    def confirm(self, now: Millis) -> bool:
        """Return whether the last confirmation is so old that this one is reported."""
        is_due = now - self.confirmed_at >= CONFIRM_INTERVAL_MS
        if is_due:
            self.confirmed_at = now
        return is_due

    def record_send(
        self,
        is_own: bool,
        sharing: LimitSharing,
        random_source: random.Random,
        now: Millis,
    ) -> None:
        """Count a send of a proxy of the zone, and set when the next may follow."""
        interval_ms = sharing.compute_interval_ms(self.per_second)
        # A send that comes late lets the next one follow sooner, by one interval.
        started_at = max(self.zone_next_at, now - interval_ms)
        self.zone_next_at = min(started_at, now + MAX_DEBT_MS) + interval_ms
        if is_own:
            self.sends += 1
            equal_interval_ms = interval_ms * sharing.size.zone_proxies
            self.own_next_at = now + equal_interval_ms / MAX_EQUAL_SHARES
        backoff_ms = random_source.random() * sharing.max_backoff_ms
        self.open_at = max(self.zone_next_at + backoff_ms, self.own_next_at)


@dataclass(slots=True)
class RateLimitTable:
    """Rate limits of upstreams as this proxy knows them.

    Parameters
    ----------
    random_source : random.Random
        Source of the delays before a possible send.
    limited_sends : int
        Sends of this proxy to upstreams that stated a limit before.
    """

    random_source: random.Random
    limited_sends: int = 0
    _limits: dict[UpstreamId, RateLimit] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(1 for item in self._limits.values() if item.per_second is not None)

    def find(self, upstream: UpstreamId, incarnation: int) -> RateLimit | None:
        """Return the limit of an incarnation, ``None`` if none is in force."""
        limit = self._limits.get(upstream)
        if limit is None or limit.incarnation != incarnation:
            return None
        return None if limit.per_second is None else limit

    def may_send(self, upstream: UpstreamId, incarnation: int, now: Millis) -> bool:
        """Return whether the limit of an upstream, if any, allows a send now."""
        limit = self.find(upstream, incarnation)
        return limit is None or limit.open_at <= now

    def update(
        self,
        upstream: UpstreamId,
        incarnation: int,
        per_second: float | None,
        sharing: LimitSharing,
        now: Millis,
    ) -> bool:
        """Store a limit that a reply to any proxy stated, or its end.

        ``None`` for ``per_second`` means a reply without a limit. Returns whether the
        other proxies should be told: of a change, and now and then of what stays.
        """
        limit = self._limits.get(upstream)
        is_same = limit is not None and limit.incarnation == incarnation
        if is_same and limit.per_second == per_second:
            return limit.confirm(now)
        self._replace(upstream, incarnation, per_second, sharing, now)
        return True

    def confirm_end(self, upstream: UpstreamId, incarnation: int, now: Millis) -> bool:
        """Handle a reply without a limit of an upstream that has none in force.

        Returns whether the other proxies should be told, as some may have missed that
        its limit has ended.
        """
        limit = self._limits.get(upstream)
        if limit is None:
            return False
        is_old = now - limit.changed_at >= LIFTED_REPORT_MS
        if is_old or limit.incarnation != incarnation:
            del self._limits[upstream]
            return False
        return limit.confirm(now)

    def _replace(
        self,
        upstream: UpstreamId,
        incarnation: int,
        per_second: float | None,
        sharing: LimitSharing,
        now: Millis,
    ) -> None:
        previous = self.find(upstream, incarnation)
        limit = RateLimit(incarnation, per_second, now, now)
        self._limits[upstream] = limit
        if per_second is None:
            return
        if previous is not None:
            # Sends at the earlier limit count: the time to the next one is scaled.
            interval_ms = sharing.compute_interval_ms(per_second)
            scale = interval_ms / sharing.compute_interval_ms(previous.per_second)
            limit.zone_next_at = now + scale * max(0, previous.zone_next_at - now)
            limit.own_next_at = now + scale * max(0, previous.own_next_at - now)
            limit.open_at = now + scale * max(0, previous.open_at - now)
            limit.sends = previous.sends
            return
        # The requests that are there already take the place of a first one.
        limit.zone_next_at = float(now)
        limit.record_send(False, sharing, self.random_source, now)

    def record_send(
        self,
        upstream: UpstreamId,
        incarnation: int,
        is_own: bool,
        sharing: LimitSharing,
        now: Millis,
    ) -> None:
        """Count a send of a proxy of the zone against the upstream's limit, if any."""
        limit = self.find(upstream, incarnation)
        if limit is None:
            return
        limit.record_send(is_own, sharing, self.random_source, now)
        if is_own:
            self.limited_sends += 1

    def retain(self, kept: set[UpstreamId]) -> None:
        """Remove the limits of all upstreams but those in ``kept``."""
        for upstream in [name for name in self._limits if name not in kept]:
            del self._limits[upstream]


def parse_rate_limit(text: str) -> float:
    """Return a stated limit in requests per second.

    Raises
    ------
    ValueError
        If the text is no decimal number of zero or more.
    """
    if not LIMIT_PATTERN.fullmatch(text.strip()):
        raise ValueError(f"not a decimal number: {text[:40]!r}")
    return float(text)
