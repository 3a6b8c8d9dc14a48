"""Decides which members of the fleet get a gossip datagram.

Load pattern: a fleet of hundreds of proxies, whose state changes with every request and
every upstream that comes or goes. In a small zone everybody tells everybody. In a large
one, the cost of a heartbeat, a report or a change at one proxy must not grow with the
zone: only the hub and the readers of the store address all members, the others address
these and a fixed number of random members.
"""

import random

from damaskdyke.core.clock import Millis
from damaskdyke.fleet.members import FleetMembers, Member

# Members of each other zone that get a copy of what is sent across zones.
COPIES_PER_REMOTE_ZONE = 2
# Random members of a large zone that an ordinary member addresses, beside the hub and
# the readers.
RANDOM_ZONE_MEMBERS = 2
# Share of its heartbeats that a member which neither reads the store nor is the hub
# sends to a member of another zone. The readers tell the other zones what they need to
# know each second; the rest only keeps more members known.
REMOTE_HEARTBEAT_SHARE = 0.2


class Audience:
    """Selects the receivers of this proxy's datagrams. Not thread-safe.

    Parameters
    ----------
    members : FleetMembers
        Known members, with the hub and the readers of this proxy's zone.
    capacity : int
        Processor capacity of this proxy, in thousandths of a core.
    random_source : random.Random
        Source of the random selections.
    """

    def __init__(
        self, members: FleetMembers, capacity: int, random_source: random.Random
    ):
        self._members = members
        self._capacity = capacity
        self._random = random_source

    def list_for_heartbeat(self, is_reading: bool, now: Millis) -> list[Member]:
        """Return the members that get the heartbeat of each second."""
        zone = self._members.list_zone()
        if is_reading or self._members.is_hub(self._capacity, now):
            return zone + self.list_for_other_zones()
        remote = []
        if self._random.random() < REMOTE_HEARTBEAT_SHARE:
            remote = self._sample(self.list_for_other_zones(), 1)
        if not self._members.is_large_zone:
            return zone + remote
        contacts = self._members.list_contacts(now)
        others = [member for member in zone if member not in contacts]
        return contacts + self._sample(others, RANDOM_ZONE_MEMBERS) + remote

    def list_for_change(self, is_reading: bool, now: Millis) -> list[Member]:
        """Return the members that are told at once that the catalogue has changed.

        A reader tells the zone; the other zones have readers of their own, see
        `list_for_other_zones`. The others had the change from a reader, so they say
        nothing unless their zone has none.
        """
        zone = self._members.list_zone()
        if is_reading:
            return zone
        if self._members.has_reader(now):
            return []
        if self._members.is_hub(self._capacity, now):
            return zone
        if not self._members.is_large_zone:
            return zone + self.list_for_other_zones()
        contacts = self._members.list_contacts(now)
        return contacts + self._sample(zone, RANDOM_ZONE_MEMBERS)

    def list_for_other_zones(self) -> list[Member]:
        """Return the members of the other zones that get what crosses zones."""
        found = []
        for members in self._members.list_other_zones().values():
            found += self._sample(members, COPIES_PER_REMOTE_ZONE)
        return found

    def list_for_urgent_question(self, asked: list[Member]) -> list[Member]:
        """Return members to ask beside those of the zone that were asked already."""
        others = [item for item in self._members.list_zone() if item not in asked]
        return self._sample(others, RANDOM_ZONE_MEMBERS) + self.list_for_other_zones()

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        return self._random.sample(members, min(count, len(members)))
