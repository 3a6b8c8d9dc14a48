"""Exchange of the zones' rates of workspaces, for the quotas over the whole fleet.

Two proxies of each zone announce every 500 ms which workspaces their zone runs much of,
each to one random member of every other zone, which relays the announcement inside its
zone. One of the two, or one of the paths, may fail without an effect. Nothing is sent
unless a workspace has a quota.
"""

import random
import threading
from typing import Protocol

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import WorkspaceName, ZoneName
from damaskdyke.fleet.gen.fleet.ttypes import News, WorkspaceRate
from damaskdyke.fleet.gossip import GossipChannel
from damaskdyke.fleet.messages import make_relayed
from damaskdyke.utils.randomness import rank_by_score
from damaskdyke.utils.threads import spawn_restarting
from damaskdyke.workspaces.quotas import FleetView

# Interval at which a proxy updates its shares, and number of updates between two
# announcements.
UPDATE_MS = 250
UPDATES_PER_ANNOUNCEMENT = 2
# Proxies of each zone that announce its rates.
ANNOUNCERS_PER_ZONE = 2
# A proxy that has just started has not counted what its zone runs, so it announces
# nothing and its zone counts as using its equal part.
COUNTING_MS = 2_000
# Proxies that start together hear from each other within about a second. The zone
# counts as known once no further proxy has appeared for this time; until then a large
# one is assumed.
SETTLED_MS = 500
# The same for a proxy that knows no other one of its zone but some of other zones,
# which name to it all that they hear from.
ALONE_SETTLED_MS = 5_000
# Entries that fit into one datagram below the usual limit of a packet.
RATES_PER_DATAGRAM = 40
# The largest size of the zone counts for this long after proxies were lost, as they may
# run on in another part of a partitioned zone.
ZONE_SIZE_RETENTION_MS = 120_000


class Quotas(Protocol):
    """Counts of this proxy, by zone and workspace; `Dispatcher` has them."""

    @property
    def has_quotas(self) -> bool:
        """Whether any workspace has a quota."""

    def update_quotas(self, fleet: FleetView) -> list[tuple[WorkspaceName, float]]:
        """Apply what is known of the fleet; return the rates to announce."""

    def record_zone_rates(
        self, zone: ZoneName, rates: list[tuple[WorkspaceName, float]]
    ) -> None:
        """Apply an announcement of another zone."""


class ZoneRateExchange:
    """Announces the rates of this proxy's zone and applies those of the others.

    It is a context manager; its thread runs while the context is active.

    Parameters
    ----------
    gossip : GossipChannel
        Sends and receives the announcements.
    quotas : Quotas
        Source of the rates of this zone, and receiver of the others'.
    clock : Clock
        Source of time.
    """

    def __init__(self, gossip: GossipChannel, quotas: Quotas, clock: Clock):
        self._gossip = gossip
        self._quotas = quotas
        self._clock = clock
        self._random = random.Random()
        self._started_at = clock.now()
        self._stopping = threading.Event()
        self._updates = 0
        self._zone_size = ZoneSizeMemory()
        self._is_zone_known = False
        # Members of the zone that were known last, and since when.
        self._known_members = 0
        self._members_since = clock.now()
        gossip.handlers.append(self.receive)

    def __enter__(self) -> "ZoneRateExchange":
        spawn_restarting("zone-rates", self._run)
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()

    def update(self) -> None:
        """Update the shares of this proxy, and announce the zone's rates when due."""
        now = self._clock.now()
        zone, other_zones = self._gossip.list_members()
        size = len(zone) + 1
        # The zone is followed without quotas too: the first one may come at any time.
        expected = self._zone_size.update(size, self._gossip.departures, now)
        is_known = self._check_zone_known(len(zone), bool(other_zones), now)
        if not self._quotas.has_quotas:
            return
        zones = frozenset({self._gossip.zone, *other_zones})
        fleet = FleetView(zones, size, expected, is_known)
        rates = self._quotas.update_quotas(fleet)
        self._updates += 1
        if self._updates % UPDATES_PER_ANNOUNCEMENT:
            return
        if now - self._started_at < COUNTING_MS:
            return
        if not self._gossip.has_current_counts:
            # What this proxy has counted is too low, and the other zones would use the
            # rest. Without announcements this zone counts as using its equal part.
            return
        ips = [self._gossip.ip, *(member.ip for member in zone)]
        if self._gossip.ip not in rank_by_score("rates", ips)[:ANNOUNCERS_PER_ZONE]:
            return
        receivers = [self._random.choice(found).ip for found in other_zones.values()]
        for group in split_rates(rates):
            datagram = self._gossip.make_datagram()
            datagram.workspace_rates = group
            self._gossip.send(datagram, receivers)

    def receive(self, announcement: News, _: str) -> None:
        """Apply the rates that another zone announced, and relay them in this zone."""
        if announcement.workspace_rates is None:
            return
        if announcement.zone == self._gossip.zone:
            return
        rates = [
            (WorkspaceName(item.workspace), item.per_second)
            for item in announcement.workspace_rates
        ]
        self._quotas.record_zone_rates(ZoneName(announcement.zone), rates)
        if not announcement.is_relayed:
            relayed = make_relayed(announcement)
            relayed.workspace_rates = announcement.workspace_rates
            self._gossip.send_to_zone(relayed)

    def _check_zone_known(
        self, members: int, has_other_zones: bool, now: Millis
    ) -> bool:
        """Return whether the known members are likely to be all of the zone."""
        if members != self._known_members:
            self._known_members, self._members_since = members, now
        settled_ms = SETTLED_MS if members else ALONE_SETTLED_MS
        is_in_contact = members > 0 or has_other_zones
        is_settled = is_in_contact and now - self._members_since >= settled_ms
        if is_settled or not self._gossip.has_other_seeds:
            self._is_zone_known = True
        return self._is_zone_known

    def _run(self) -> None:
        while not self._stopping.wait(UPDATE_MS / 1_000):
            self.update()


class ZoneSizeMemory:
    """Largest recent number of proxies in this zone, less those that left it."""

    def __init__(self):
        self._largest = 1
        self._reached_at = Millis(0)
        self._departures = 0

    def update(self, size: int, departures: int, now: Millis) -> int:
        """Record the present size and the departures so far; return the largest."""
        self._largest -= departures - self._departures
        self._departures = departures
        is_expired = now - self._reached_at >= ZONE_SIZE_RETENTION_MS
        if size >= self._largest or is_expired:
            self._largest, self._reached_at = size, now
        return self._largest


def split_rates(
    rates: list[tuple[WorkspaceName, float]],
) -> list[list[WorkspaceRate]]:
    """Return rates as messages, by datagram; one is empty if there are no rates."""
    messages = [WorkspaceRate(name, per_second) for name, per_second in rates]
    starts = range(0, max(1, len(messages)), RATES_PER_DATAGRAM)
    return [messages[start : start + RATES_PER_DATAGRAM] for start in starts]
