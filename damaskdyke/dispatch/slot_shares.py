"""Divides the slots of a zone's upstreams among the proxies of the zone.

Load pattern: many proxies know the load of upstreams with few slots late. A share is a
preference, not a lease: slots that their proxy does not use are used by the others, so
that different views of the zone's proxies only make the load less even.
"""

from damaskdyke.catalogue.types import Instance
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import ServiceName, UpstreamId
from damaskdyke.utils.randomness import hash_score

# Interval at which the shares are computed again. A share follows a change of the
# upstreams or proxies late, which is harmless.
REFRESH_INTERVAL_MS = 1_000
# A peer without a load report for this long has no share.
PEER_TTL_MS = 4_000


class SlotShares:
    """Slots of each upstream that this proxy prefers.

    Parameters
    ----------
    own : str
        Address of this proxy, as its peers name it.
    """

    def __init__(self, own: str):
        self._own = own
        self._peers: dict[str, Millis] = {}
        self._shares: dict[ServiceName, tuple[Millis, dict[UpstreamId, int]]] = {}

    def record_peer(self, peer: str, now: Millis) -> None:
        """Record a load report of another proxy of the zone."""
        self._peers[peer] = now

    def drop_peer(self, peer: str) -> None:
        """Remove a proxy that ended or restarted."""
        self._peers.pop(peer, None)

    def get_shares(
        self, service: ServiceName, instances: list[Instance], now: Millis
    ) -> dict[UpstreamId, int]:
        """Return the slots of this proxy by upstream; those without are left out.

        ``instances`` are the upstreams of the service in the zone.
        """
        computed_at, shares = self._shares.get(service, (None, {}))
        if computed_at is None or now - computed_at >= REFRESH_INTERVAL_MS:
            shares = self._compute(service, instances, now)
            self._shares[service] = now, shares
        return shares

    def _compute(
        self, service: ServiceName, instances: list[Instance], now: Millis
    ) -> dict[UpstreamId, int]:
        oldest = now - PEER_TTL_MS
        self._peers = {peer: at for peer, at in self._peers.items() if at >= oldest}
        names = sorted({*self._peers, self._own})
        slots = list_slots(instances)
        if not slots:
            return {}
        # The hash decides who gets one more if the slots do not come out even.
        rank = (names.index(self._own) + hash_score(service)) % len(names)
        shares: dict[UpstreamId, int] = {}
        # Where slots are fewer than proxies, several share one.
        for number in range(rank, len(slots), len(names)) or (rank % len(slots),):
            shares[slots[number]] = shares.get(slots[number], 0) + 1
        return shares


def list_slots(instances: list[Instance]) -> list[UpstreamId]:
    """Return an upstream for each slot: the first slot of each, then the second.

    The shares of one proxy are thus at different upstreams.
    """
    ordered = sorted(instances, key=lambda item: item.id)
    most = max((item.slots for item in ordered), default=0)
    return [
        item.id for number in range(most) for item in ordered if number < item.slots
    ]
