"""Quotas of workspaces over the whole fleet: decisions of one proxy, without I/O.

Every proxy of a zone counts the first sends of the whole zone, its own at once and
those of its peers from their load reports. Each keeps the same token bucket for every
active workspace: filled at the zone's share of the rate and drained by these sends. The
design is in docs/design/quotas.md.

Load pattern: hundreds of thousands of workspaces, of which some hundreds are active. A
workspace without recent sends takes no memory, and the cost of a request does not grow
with the number of workspaces.
"""

import heapq
import math
import random
from dataclasses import dataclass, replace

from damaskdyke.conf.vm import FleetBounds
from damaskdyke.core.clock import MILLIS_PER_SECOND, Millis
from damaskdyke.core.ids import WorkspaceName, ZoneName
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.silence import (
    IN_CONTACT,
    Assumption,
    ZoneContactState,
)
from damaskdyke.workspaces.types import Workspace

# Parts of the fleet's tolerance, (window x rate + burst) x over and slack, that the
# buckets hold beside the burst. The rest covers sends that proxies do not know of yet,
# which grow with the rate: load reports take up to 150 ms, and the rates of other zones
# up to 1 s.
OVER_CAPACITY_SHARE = 0.15
SLACK_CAPACITY_SHARE = 0.5
# Part of the tolerance that the buckets of a zone's processes hold at their start.
START_SHARE = 0.05
# Part of the slack that all zones together may run in each window beyond the rate, so
# that an uneven spread does not refuse requests of a workspace with a small quota.
REFILL_SHARE = 0.2
# Time since the start of the process for which the zone's share is credited, less the
# sends that are known, once the fleet is known: until then proxies use small parts of
# it, and most requests after a restart of the whole fleet were refused.
START_CREDIT_MS = 1_000
# Reserve, in time at the zone's share of the rate. Below it, requests are admitted with
# a probability that falls with the level, as peers may take the same tokens.
RESERVE_SECONDS = 0.6
# Largest part of the capacity that is reserve.
MAX_RESERVE_SHARE = 0.5
# Least reserve in tokens of a proxy that hears from no other one of its zone, less by
# the part of the zone that it hears from. A request takes a whole token: if it were
# certain to be admitted with a part of one, each of many such proxies would admit one
# request of a small quota.
ALONE_RESERVE = 1.0
# Part that an isolated proxy uses of its equal part of the zone's share. The others use
# all of the share until they notice its absence, so that this part has to fit into the
# tolerance.
ISOLATED_SHARE = 0.25
# Number of zones that is assumed at least while the fleet is not known yet.
ASSUMED_ZONES = 3
# Number of proxies in the zone that is assumed at least meanwhile. Proxies that start
# together would otherwise each use the zone's whole share until they know each other.
ASSUMED_ZONE_PROXIES = 40
# Age at which an announcement of another zone's rates expires. Two in succession may be
# lost. With 2,000 ms, a zone that ran the whole rate when the zones lost contact, while
# the others became busy, took the fleet 12% over the bound.
ANNOUNCEMENT_EXPIRY_MS = 1_200
# Time between the first announcement of a workspace by this zone and the use of what
# the other zones leave: they announce theirs within it.
BORROW_DELAY_MS = 1_000
# Part that is used of what the other zones leave. A zone learns of a loss of contact
# only when announcements expire, and until then the others may become busy.
BORROW_SHARE = 0.8
# A zone announces a workspace of which another zone announces a rate from this part of
# the quota on. Otherwise zones just below the usual threshold would run up to a third
# of the quota without the others knowing.
CONTESTED_SHARE = 0.02
# Lower rates are not announced: each request of a small quota would be.
MIN_ANNOUNCED_PER_SECOND = 0.2
# Part of the threshold below which a workspace is no longer announced. The rate of a
# small quota varies by more than a half between its sends.
KEPT_ANNOUNCEMENT_SHARE = 0.25
# Time constant of the rate of sends. It covers some sends of a small quota.
MIN_RATE_MEMORY_MS = 600
MAX_RATE_MEMORY_MS = 3_000
RATE_MEMORY_SENDS = 3
# Bounds of Retry-After, and the least range over which retries are spread.
MIN_RETRY_AFTER_MS = 50
MIN_SPREAD_MS = 400
# Age of a send up to which its request is refunded. The token of an older one may have
# come back with the refill.
REFUND_MAX_AGE_MS = 250
# Time after a silence of the zone in which its sends of that time are reported.
SETTLING_MS = 500
# Time constant of the number of recent refunds. It covers the time between a send and
# its refund at the peers, so that the number is at least that of the sends that are yet
# to be refunded while upstreams refuse.
REFUND_MEMORY_MS = 400
# A bucket is dropped once it is full and the rate of sends is below this part of the
# quota. A new bucket is full too, so nothing is lost.
IDLE_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a proxy knows of its fleet.

    Parameters
    ----------
    zones : frozenset of ZoneName
        Zones that may run requests, this proxy's included.
    zone_proxies : int
        Proxies of this zone that it hears from, itself included.
    expected_proxies : int
        Largest recent number of these.
    is_size_known : bool
        Whether the fleet has had time to become known.
    """

    zones: frozenset[ZoneName]
    zone_proxies: int = 1
    expected_proxies: int = 1
    is_size_known: bool = True


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision about one request, with its inputs.

    Parameters
    ----------
    is_allowed : bool
        Whether the request is below the quota.
    retry_after_ms : int
        Time after which a retry may succeed, 0 for an allowed request.
    level : float
        Tokens in the zone's bucket.
    per_second : float
        Present share of the zone in the workspace's rate.
    age_ms : int or None
        Age of the oldest announcement of another zone, ``None`` if one has never
        announced anything, or if there is no other zone.
    draw : float
        Random number that decided below the reserve. The check before a delayed send
        uses the same one, so that a wait alone does not refuse a request.
    """

    is_allowed: bool
    retry_after_ms: int = 0
    level: float = 0.0
    per_second: float = 0.0
    age_ms: int | None = None
    draw: float = 0.0


UNLIMITED = Admission(is_allowed=True)


@dataclass(slots=True)
class Bucket:
    """State of one active workspace.

    Parameters
    ----------
    rate, burst : float
        The limits in force.
    level : float
        Tokens; negative after sends that nobody knew of in time.
    share : float
        Tokens that are added each second.
    updated_at : Millis
        Time up to which tokens were added.
    sends : float
        Sends of the zone, decayed with the time constant of the workspace.
    counted_at : Millis
        Time up to which they are decayed.
    refunds : float
        Refunds of the zone, decayed with `REFUND_MEMORY_MS`.
    refunded_at : Millis
        Time up to which they are decayed.
    announced_since : Millis or None
        Since when the zone announces the workspace, ``None`` while it does not.
    early_sends : int
        Sends of the zone that were counted before the fleet was known.
    uncharged : float
        Tokens of sends below the lowest level since the level was last positive.
    peer_sends : float
        Sends of the peers, decayed like those of the zone.
    assumption : Assumption or None
        Sends that are assumed of the peers during a silence, and until those reported
        after it have taken their place.
    """

    rate: float
    burst: float
    level: float
    share: float
    updated_at: Millis
    counted_at: Millis
    sends: float = 0.0
    refunds: float = 0.0
    refunded_at: Millis = Millis(0)
    announced_since: Millis | None = None
    early_sends: int = 0
    uncharged: float = 0.0
    peer_sends: float = 0.0
    assumption: Assumption | None = None


@dataclass(frozen=True, slots=True)
class BucketState:
    """Bucket of one active workspace, for operators.

    Parameters
    ----------
    name : WorkspaceName
        The workspace.
    level, capacity : float
        Tokens in the bucket at present and at most.
    share : float
        Tokens that are added each second.
    sends_per_second, rate : float
        Recent sends of the zone, and the quota of the whole fleet.
    """

    name: WorkspaceName
    level: float
    capacity: float
    share: float
    sends_per_second: float
    rate: float


class QuotaTable:
    """Token buckets of one proxy for its zone. Not thread-safe.

    Parameters
    ----------
    bounds : FleetBounds
        Window and tolerance of the quotas.
    zone : ZoneName
        Availability zone of this proxy.
    started_at : Millis
        Start of the process, from which buckets fill.
    random_source : random.Random
        Source of the random decisions.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        zone: ZoneName,
        started_at: Millis,
        random_source: random.Random,
    ):
        self._bounds = bounds
        self._zone = zone
        self._started_at = started_at
        self._random = random_source
        self._directory: Directory | None = None
        self._fleet = FleetView(frozenset({zone}), is_size_known=False)
        self._heard_zones = frozenset({zone})
        self._buckets: dict[WorkspaceName, Bucket] = {}
        # Rates and times of announcements, by workspace and zone.
        self._zone_rates: dict[WorkspaceName, dict[ZoneName, tuple[float, Millis]]] = {}
        self._zones_heard_at: dict[ZoneName, Millis] = {}
        self._contact = IN_CONTACT
        # End of the last silence.
        self._regained_at = Millis(0)
        # Whether any workspace has a quota.
        self.has_limits = False

    def __len__(self) -> int:
        return len(self._buckets)

    # Decisions.

    def admit(
        self, workspace: Workspace, now: Millis, draw: float | None = None
    ) -> Admission:
        """Return whether a request may be sent; it costs nothing until it is.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the request.
        now : Millis
            Present time.
        draw : float or None
            Random number of an earlier admission of the same request.
        """
        if workspace.rate_per_second <= 0:
            return UNLIMITED
        bucket = self._get_bucket(workspace.name, now)
        if bucket is None:
            # The catalogue was replaced after the workspace was looked up.
            return UNLIMITED
        self._refill(bucket, now)
        if draw is None:
            draw = self._random.random()
        is_allowed = bucket.level > draw * self._get_reserve(bucket)
        retry_after_ms = 0 if is_allowed else self._choose_retry_after_ms(bucket)
        return Admission(
            is_allowed,
            retry_after_ms,
            bucket.level,
            bucket.share,
            self._get_input_age_ms(now),
            draw,
        )

    def record_own_send(self, name: WorkspaceName, now: Millis) -> None:
        """Count the first send of a request of this proxy."""
        self._record_send(name, now)

    def record_peer_send(
        self, name: WorkspaceName, now: Millis, count: int = 1
    ) -> None:
        """Count first sends of requests that a peer of this zone reported."""
        self._record_send(name, now, count, is_own=False)

    def refund_own_send(
        self, name: WorkspaceName, sent_at: Millis, now: Millis
    ) -> bool:
        """Give back the first send of a request that was refused and did not run.

        Returns whether the send is recent enough for that.
        """
        if name not in self._buckets or now - sent_at > REFUND_MAX_AGE_MS:
            return False
        self.refund_peer_send(name, now)
        return True

    def refund_peer_send(self, name: WorkspaceName, now: Millis) -> None:
        """Give back a send that a peer of this zone reported and that did not run."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        self._refill(bucket, now)
        # What the limit of the debt left uncharged is not given back.
        uncharged = min(1.0, bucket.uncharged)
        bucket.uncharged -= uncharged
        level = bucket.level + 1 - uncharged
        bucket.level = min(level, self._compute_capacity(bucket))
        bucket.sends = max(0.0, self._decay_sends(bucket, now) - 1)
        bucket.peer_sends = min(
            bucket.sends, self._decay(bucket, bucket.peer_sends, now)
        )
        bucket.counted_at = now
        bucket.refunds = self._decay_refunds(bucket, now) + 1
        bucket.refunded_at = now

    # Inputs.

    def set_contact(self, contact: ZoneContactState, now: Millis) -> None:
        """Set whether load reports of this zone arrive.

        The peers are assumed to go on sending while they do not.
        """
        before = self._contact
        if contact == before:
            return
        for bucket in self._buckets.values():
            self._refill(bucket, now)
            if contact.is_isolated and not before.is_isolated:
                # The tokens are those of the zone, which goes on using them.
                bucket.level = min(bucket.level, 0.0)
        self._contact = contact
        if contact.silent_since != before.silent_since:
            self._regained_at = now
        if contact.is_isolated != before.is_isolated:
            self._update_shares(now)

    def record_zone_heard(self, zone: ZoneName, now: Millis) -> None:
        """Record an announcement of another zone, also one without any rate.

        What the zone does not announce counts as not used.
        """
        if zone != self._zone:
            self._zones_heard_at[zone] = now

    def record_zone_rate(
        self, zone: ZoneName, name: WorkspaceName, per_second: float, now: Millis
    ) -> None:
        """Record the rate of a workspace that another zone announced."""
        if zone == self._zone or self._directory is None:
            return
        if self._directory.find(name) is None:
            return
        self.record_zone_heard(zone, now)
        self._zone_rates.setdefault(name, {})[zone] = (per_second, now)

    def set_limits(self, directory: Directory | None, now: Millis) -> None:
        """Apply the workspaces of the catalogue in force.

        A changed limit is in force at once. A bucket never holds more than its new
        capacity; tokens that were added stay otherwise. Only active workspaces are
        visited, as the dispatcher's lock is held meanwhile.
        """
        if directory is self._directory:
            return
        self._directory = directory
        self.has_limits = directory is not None and directory.has_limits
        for name, bucket in self._buckets.items():
            workspace = None if directory is None else directory.find(name)
            if workspace is None or workspace.rate_per_second <= 0:
                # The bucket stays until it is idle: the limit may come back.
                continue
            self._refill(bucket, now)
            bucket.rate = workspace.rate_per_second
            bucket.burst = workspace.burst
            self._update_share(name, bucket, now)

    def set_bounds(self, bounds: FleetBounds, now: Millis) -> None:
        """Replace the window and the tolerance of the quotas."""
        self._bounds = bounds
        self._update_shares(now)

    def set_fleet(self, fleet: FleetView, now: Millis) -> None:
        """Apply what is known of the fleet, and drop what is idle or expired.

        To be called some times a second. A zone that was heard from once counts as long
        as the process lives: it may run requests while this proxy is cut off from it.
        """
        zones = self._heard_zones | fleet.zones
        was_size_known = self._fleet.is_size_known
        if fleet.is_size_known:
            self._heard_zones = zones
        self._fleet = replace(fleet, zones=zones)
        self._expire_zone_rates(now)
        self._update_shares(now)
        if fleet.is_size_known and not was_size_known:
            self._credit_start(now)
        idle = [
            name for name, bucket in self._buckets.items() if self._is_idle(bucket, now)
        ]
        for name in idle:
            del self._buckets[name]
        if (
            self._contact.silent_since is None
            and now - self._regained_at >= SETTLING_MS
        ):
            self._return_assumed(now)

    def list_zone_rates(self, now: Millis) -> list[tuple[WorkspaceName, float]]:
        """Return the workspaces that this zone announces, with its rates.

        Every proxy calls it, also one that announces nothing itself, as the zone may
        use what others leave once it has announced a workspace for some time.
        """
        announced = []
        for name, bucket in self._buckets.items():
            per_second = self._get_sends_per_second(bucket, now)
            threshold = bucket.rate / (2 * self._count_zones())
            if self._zone_rates.get(name):
                threshold = CONTESTED_SHARE * bucket.rate
            threshold = max(threshold, MIN_ANNOUNCED_PER_SECOND)
            if bucket.announced_since is not None:
                threshold *= KEPT_ANNOUNCEMENT_SHARE
            if per_second <= threshold:
                bucket.announced_since = None
                continue
            if bucket.announced_since is None:
                bucket.announced_since = now
            announced.append((name, per_second))
        return announced

    def list_largest(self, count: int, now: Millis) -> list[BucketState]:
        """Return the buckets with the most recent sends, the largest first."""
        sends = {
            name: self._get_sends_per_second(bucket, now)
            for name, bucket in self._buckets.items()
        }
        states = []
        for name in heapq.nlargest(count, sends, sends.get):
            bucket = self._buckets[name]
            self._refill(bucket, now)
            states.append(
                BucketState(
                    name,
                    bucket.level,
                    self._compute_capacity(bucket),
                    bucket.share,
                    sends[name],
                    bucket.rate,
                )
            )
        return states

    # Buckets.

    def _record_send(
        self, name: WorkspaceName, now: Millis, count: int = 1, is_own: bool = True
    ) -> None:
        if not self.has_limits:
            return
        bucket = self._get_bucket(name, now)
        if bucket is None:
            return
        self._refill(bucket, now)
        self._take_tokens(bucket, self._settle_assumed(bucket, count, is_own))
        if not self._fleet.is_size_known:
            bucket.early_sends += count
        bucket.sends = self._decay_sends(bucket, now) + count
        bucket.peer_sends = self._decay(bucket, bucket.peer_sends, now)
        if not is_own:
            bucket.peer_sends += count
        bucket.counted_at = now

    def _take_tokens(self, bucket: Bucket, tokens: float) -> None:
        # A debt of more than a window cannot come from late reports. It comes from a
        # smaller view of the zone than the peers have, who repay what they run.
        floor = -bucket.share * self._bounds.quota_window_ms / MILLIS_PER_SECOND
        if bucket.level >= 0:
            bucket.uncharged = 0.0
        level = min(bucket.level, max(bucket.level - tokens, min(floor, -1)))
        bucket.uncharged += level - (bucket.level - tokens)
        bucket.level = level

    # Sends assumed during a silence.

    def _assume_sends(self, bucket: Bucket, now: Millis) -> None:
        """Charge a bucket with what the peers are likely to have sent in a silence."""
        assumption = bucket.assumption
        if assumption is None or assumption.since != self._contact.silent_since:
            assumption = bucket.assumption = self._make_assumption(bucket)
        bucket.level -= assumption.extend(now, self._bounds.quota_window_ms)

    def _make_assumption(self, bucket: Bucket) -> Assumption:
        """Return what is assumed of the peers from the last report on."""
        since = self._contact.silent_since
        peer_sends = self._decay(bucket, bucket.peer_sends, since)
        own_sends = self._decay(bucket, bucket.sends, since) - peer_sends
        memory_seconds = self._get_memory_ms(bucket) / MILLIS_PER_SECOND
        earlier = bucket.assumption
        return Assumption(
            since,
            peer_sends / memory_seconds,
            min(peer_sends / max(own_sends, 1.0), self._fleet.zone_proxies - 1),
            0.0 if earlier is None else earlier.charged,
        )

    def _settle_assumed(self, bucket: Bucket, count: int, is_own: bool) -> float:
        """Return the tokens that sends cost which were not assumed before."""
        assumption = bucket.assumption
        if assumption is None:
            return count
        if not is_own:
            return assumption.settle(count)
        if self._contact.silent_since is not None:
            assumption.own_sends += count
        return count

    def _return_assumed(self, now: Millis) -> None:
        """Give back what was assumed of sends that nobody has reported."""
        for bucket in self._buckets.values():
            if bucket.assumption is None:
                continue
            self._refill(bucket, now)
            level = bucket.level + bucket.assumption.charged
            bucket.level = min(level, self._compute_capacity(bucket))
            bucket.assumption = None

    def _get_bucket(self, name: WorkspaceName, now: Millis) -> Bucket | None:
        bucket = self._buckets.get(name)
        if bucket is not None:
            return bucket
        workspace = None if self._directory is None else self._directory.find(name)
        if workspace is None or workspace.rate_per_second <= 0:
            return None
        bucket = Bucket(
            workspace.rate_per_second, workspace.burst, 0.0, 0.0, self._started_at, now
        )
        bucket.share = self._compute_share(name, bucket, now)
        bucket.level = self._get_start_level(bucket)
        self._refill(bucket, now)
        self._buckets[name] = bucket
        return bucket

    def _get_start_level(self, bucket: Bucket) -> float:
        tolerance = self._compute_over(bucket) + self._bounds.quota_slack
        return self._get_part(START_SHARE * tolerance)

    def _refill(self, bucket: Bucket, now: Millis) -> None:
        elapsed_seconds = max(0, now - bucket.updated_at) / MILLIS_PER_SECOND
        level = bucket.level + bucket.share * elapsed_seconds
        capacity = self._compute_capacity(bucket)
        if bucket.refunds:
            # Sends that are yet to be refunded hold tokens too. Filled up in spite of
            # them, the bucket would grant a further burst once upstreams accept again.
            room = capacity - self._decay_refunds(bucket, now)
            level = min(level, max(bucket.level, room))
        bucket.level = min(level, capacity)
        bucket.updated_at = now
        if self._contact.silent_since is not None:
            self._assume_sends(bucket, now)

    def _credit_start(self, now: Millis) -> None:
        """Fill the buckets as if the fleet had been known since the start."""
        elapsed_ms = min(START_CREDIT_MS, max(0, now - self._started_at))
        for name, bucket in self._buckets.items():
            credit = bucket.share * elapsed_ms / MILLIS_PER_SECOND
            level = self._get_start_level(bucket) + credit - bucket.early_sends
            bucket.level = max(bucket.level, level)
            self._update_share(name, bucket, now)

    def _is_idle(self, bucket: Bucket, now: Millis) -> bool:
        if bucket.level < self._compute_capacity(bucket):
            return False
        return self._get_sends_per_second(bucket, now) < IDLE_SHARE * bucket.rate

    def _compute_over(self, bucket: Bucket) -> float:
        """Return the tolerance of the fleet in a window that grows with the quota."""
        window_seconds = self._bounds.quota_window_ms / MILLIS_PER_SECOND
        quota = bucket.rate * window_seconds + bucket.burst
        return quota * self._bounds.quota_over

    def _compute_capacity(self, bucket: Bucket) -> float:
        capacity = bucket.burst + OVER_CAPACITY_SHARE * self._compute_over(bucket)
        return self._get_part(
            capacity + SLACK_CAPACITY_SHARE * self._bounds.quota_slack
        )

    def _get_reserve(self, bucket: Bucket) -> float:
        largest = MAX_RESERVE_SHARE * self._compute_capacity(bucket)
        least = ALONE_RESERVE * (1 - self._get_zone_part())
        return max(least, min(RESERVE_SECONDS * bucket.share, largest))

    def _get_part(self, tokens: float) -> float:
        """Return this proxy's part of tokens that the fleet has."""
        return tokens * self._get_zone_part() / self._count_zones()

    def _get_zone_part(self) -> float:
        """Return the part of the zone that this proxy hears from."""
        fleet = self._fleet
        expected = max(1, fleet.expected_proxies)
        if not fleet.is_size_known:
            expected = max(expected, ASSUMED_ZONE_PROXIES)
        if self._contact.is_isolated:
            return ISOLATED_SHARE / expected
        return min(1.0, fleet.zone_proxies / expected)

    def _count_zones(self) -> int:
        known = len(self._fleet.zones)
        return known if self._fleet.is_size_known else max(known, ASSUMED_ZONES)

    # Shares of the zones.

    def _update_shares(self, now: Millis) -> None:
        for name, bucket in self._buckets.items():
            self._refill(bucket, now)
            self._update_share(name, bucket, now)

    def _update_share(self, name: WorkspaceName, bucket: Bucket, now: Millis) -> None:
        bucket.share = self._compute_share(name, bucket, now)
        bucket.level = min(bucket.level, self._compute_capacity(bucket))

    def _compute_share(self, name: WorkspaceName, bucket: Bucket, now: Millis) -> float:
        """Return the requests a second that this proxy's part of the zone may run."""
        zones = self._count_zones()
        share = bucket.rate / zones
        since = bucket.announced_since
        if since is not None and now - since >= BORROW_DELAY_MS:
            unused = bucket.rate - share - self._sum_used(name, bucket, now)
            share += BORROW_SHARE * max(0.0, unused)
        window_seconds = self._bounds.quota_window_ms / MILLIS_PER_SECOND
        extra = REFILL_SHARE * self._bounds.quota_slack / (zones * window_seconds)
        return (share + extra) * self._get_zone_part()

    def _sum_used(self, name: WorkspaceName, bucket: Bucket, now: Millis) -> float:
        """Return the rate that the other zones use, as far as it is known."""
        zones = self._count_zones()
        rates = self._zone_rates.get(name, {})
        used = 0.0
        others = self._fleet.zones - {self._zone}
        for zone in others:
            per_second, announced_at = rates.get(zone, (0.0, None))
            if announced_at is not None and is_current(announced_at, now):
                used += per_second
            elif not is_current(self._zones_heard_at.get(zone), now):
                used += bucket.rate / zones
        unknown_zones = zones - 1 - len(others)
        return used + unknown_zones * bucket.rate / zones

    def _expire_zone_rates(self, now: Millis) -> None:
        self._zones_heard_at = {
            zone: heard_at
            for zone, heard_at in self._zones_heard_at.items()
            if zone in self._fleet.zones or is_current(heard_at, now)
        }
        for name, rates in list(self._zone_rates.items()):
            current = {
                zone: item for zone, item in rates.items() if is_current(item[1], now)
            }
            if current:
                self._zone_rates[name] = current
            else:
                del self._zone_rates[name]

    # Rates and times.

    def _get_memory_ms(self, bucket: Bucket) -> float:
        zone_rate = bucket.rate / self._count_zones()
        memory_ms = RATE_MEMORY_SENDS / zone_rate * MILLIS_PER_SECOND
        return min(max(memory_ms, MIN_RATE_MEMORY_MS), MAX_RATE_MEMORY_MS)

    def _decay_sends(self, bucket: Bucket, now: Millis) -> float:
        return self._decay(bucket, bucket.sends, now)

    def _decay(self, bucket: Bucket, sends: float, now: Millis) -> float:
        elapsed_ms = max(0, now - bucket.counted_at)
        return sends * math.exp(-elapsed_ms / self._get_memory_ms(bucket))

    def _decay_refunds(self, bucket: Bucket, now: Millis) -> float:
        elapsed_ms = max(0, now - bucket.refunded_at)
        return bucket.refunds * math.exp(-elapsed_ms / REFUND_MEMORY_MS)

    def _get_sends_per_second(self, bucket: Bucket, now: Millis) -> float:
        memory_seconds = self._get_memory_ms(bucket) / MILLIS_PER_SECOND
        return self._decay_sends(bucket, now) / memory_seconds

    def _choose_retry_after_ms(self, bucket: Bucket) -> int:
        """Return the time until the reserve is full, spread so that retries differ.

        From then on requests are admitted for certain, unless others come first. A
        longer time than the window is shortened to it.
        """
        missing = max(0.0, self._get_reserve(bucket) - bucket.level)
        wait_ms = MILLIS_PER_SECOND * missing / max(bucket.share, 0.001)
        spread_ms = max(MIN_SPREAD_MS, wait_ms / 2)
        chosen_ms = wait_ms + self._random.random() * spread_ms
        longest_ms = max(MIN_RETRY_AFTER_MS, self._bounds.quota_window_ms)
        return round(min(max(chosen_ms, MIN_RETRY_AFTER_MS), longest_ms))

    def _get_input_age_ms(self, now: Millis) -> int | None:
        others = self._fleet.zones - {self._zone}
        times = [self._zones_heard_at.get(zone) for zone in others]
        if not times or None in times:
            return None
        return now - min(times)


def is_current(announced_at: Millis | None, now: Millis) -> bool:
    """Return whether an announcement of a zone has not expired."""
    return announced_at is not None and now - announced_at < ANNOUNCEMENT_EXPIRY_MS
