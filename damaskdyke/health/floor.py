"""Which upstreams may be ejected, so that the floor holds whatever each proxy observes.

The floor is the number of upstreams of a service that must stay in rotation.
Healthy capacity of a service is the number of its upstreams that are listed, not
leaving, and may be given ordinary requests by every proxy. Only members of a set that
follows from the settings alone may be ejected: it has ``size - floor`` members, so even
the union of what all proxies eject, in any parts of a partitioned fleet, leaves
``floor`` upstreams. Any other faulty upstream is demoted, which removes no capacity: it
is used when no healthy upstream has a free slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.conf.tree import Service
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, ServiceName, UpstreamId
from damaskdyke.utils.randomness import rank_by_score

# Longer than a change of the settings takes to reach every proxy.
PROPAGATION_LIMIT_MS = 10_000


def choose_ejectable(
    service: ServiceName, upstreams: Iterable[UpstreamId], floor: int
) -> frozenset[UpstreamId]:
    """Return the upstreams that may be ejected under one version of the settings.

    Every proxy selects the same ones, whatever the order of ``upstreams``.
    """
    ranked = rank_by_score(service, upstreams)
    allowed = max(0, len(ranked) - floor)
    return frozenset(ranked[:allowed])


@dataclass(frozen=True)
class EjectableSet:
    """Ejectable upstreams of one service under its current settings.

    Parameters
    ----------
    pool : frozenset of UpstreamId
        Upstreams that are listed and not leaving.
    floor : int
        Upstreams that must stay in rotation.
    members : frozenset of UpstreamId
        Ejectable upstreams under these settings.
    previous_members : frozenset of UpstreamId
        Ejectable upstreams before the change.
    changed_at : Millis
        Time of the change.
    """

    pool: frozenset[UpstreamId]
    floor: int
    members: frozenset[UpstreamId]
    previous_members: frozenset[UpstreamId]
    changed_at: Millis


class FloorGuard:
    """Ejectable upstreams of every service. Not thread-safe.

    After a change of the pool, of the floor or of the leaving upstreams, only members
    of both the old and the new set may be ejected until every proxy has the change.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._sets: dict[ServiceName, EjectableSet] = {}

    def list_ejectable(
        self, service: Service, leaving: frozenset[Address]
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that may be ejected now.

        Parameters
        ----------
        service : Service
            Settings of the service.
        leaving : frozenset of Address
            Upstreams that are being removed, which do not count as capacity.
        """
        pool = frozenset(
            upstream.id
            for upstream in service.upstreams
            if upstream.address not in leaving
        )
        now = self._clock.now()
        known = self._sets.get(service.name)
        if known is None or known.pool != pool or known.floor != service.floor:
            known = self._replace(service, pool, known, now)
        if now - known.changed_at < PROPAGATION_LIMIT_MS:
            return known.members & known.previous_members
        return known.members

    def _replace(
        self,
        service: Service,
        pool: frozenset[UpstreamId],
        known: EjectableSet | None,
        now: Millis,
    ) -> EjectableSet:
        """Store the set under changed settings, with the previous ejectable members.

        A change within the propagation limit of the last one keeps only the members
        that were ejectable before and after that one.
        """
        members = choose_ejectable(service.name, pool, service.floor)
        previous_members = members
        if known is not None:
            previous_members = known.members
            if now - known.changed_at < PROPAGATION_LIMIT_MS:
                previous_members = known.members & known.previous_members
        created = EjectableSet(pool, service.floor, members, previous_members, now)
        self._sets[service.name] = created
        return created
