"""Which upstreams may ever be ejected, so that the floor holds under any views.

Healthy capacity of a service is the number of its upstreams that are listed, not
leaving, and may be given ordinary requests by every proxy. Ejection is only ever
allowed for the members of a set that follows from the settings alone: it has ``size -
floor`` members, so even the union of what all proxies eject, in any parts of a divided
fleet, leaves ``floor`` upstreams. Any other faulty upstream is demoted, which takes no
capacity away: it is used when no fit upstream has a free slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskdyke.conf.tree import Service
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.core.ids import Address, ServiceName, UpstreamId
from damaskdyke.utils.randomness import rank_by_score

# Longer than the time in which a change reaches every proxy.
PROPAGATION_LIMIT_MS = 10_000


def choose_ejectable(
    service: ServiceName, upstreams: Iterable[UpstreamId], floor: int
) -> frozenset[UpstreamId]:
    """Return the upstreams that may be ejected under one version of the settings."""
    ranked = rank_by_score(service, upstreams)
    allowed = max(0, len(ranked) - floor)
    return frozenset(ranked[:allowed])


@dataclass(frozen=True)
class EjectableSet:
    """Ejectable upstreams of one service and since when they are."""

    pool: frozenset[UpstreamId]
    floor: int
    members: frozenset[UpstreamId]
    previous_members: frozenset[UpstreamId]
    changed_at: Millis


class FloorGuard:
    """Ejectable sets of every service.

    After a change of the pool, of the floor or of the leaving upstreams, only members
    of both the old and the new set may be ejected until the change is everywhere.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._sets: dict[ServiceName, EjectableSet] = {}

    def list_ejectable(
        self, service: Service, leaving: frozenset[Address]
    ) -> frozenset[UpstreamId]:
        """Return the upstreams of a service that may be ejected now."""
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
        members = choose_ejectable(service.name, pool, service.floor)
        previous_members = members
        if known is not None:
            previous_members = known.members
            if now - known.changed_at < PROPAGATION_LIMIT_MS:
                previous_members = known.members & known.previous_members
        created = EjectableSet(pool, service.floor, members, previous_members, now)
        self._sets[service.name] = created
        return created
