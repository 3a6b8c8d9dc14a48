"""Memory of upstreams that left or restarted, for entries of a restored store."""

from dataclasses import replace

from damaskdyke.catalogue.types import Instance, InstanceState
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import UpstreamId

# By the platform's documentation the entry of an upstream that is gone lapses after
# three heartbeats of 1,500 ms; an entry that is still there then belongs to a live one.
RESTRAINT_MS = 6_000
# Removals that are remembered. Copies are only some seconds old.
MAX_REMOVALS = 1_024


class DepartureMemory:
    """Restrains entries of upstreams that had left before the store was restored.

    The copy may show an upstream as it was before it left or started again, and its own
    newer report is lost. For `RESTRAINT_MS` an incarnation that was leaving stays so,
    one whose entry was removed is withheld, and a later one is not replaced. Not
    thread-safe.

    Attributes
    ----------
    restrained_until : Millis or None
        End of the restraint after the latest restore, ``None`` without one.
    """

    def __init__(self):
        # Incarnations whose entries were removed, the oldest first.
        self._removed: dict[UpstreamId, int] = {}
        # Instances before the restore.
        self._known: dict[UpstreamId, Instance] = {}
        # Entries of incarnations that had ended, which the restored store holds.
        self._withheld: dict[UpstreamId, Instance] = {}
        self.restrained_until: Millis | None = None

    def record_removal(self, instance: Instance) -> None:
        """Record that the entry of an instance was removed."""
        self._removed.pop(instance.id, None)
        self._removed[instance.id] = instance.incarnation
        if len(self._removed) > MAX_REMOVALS:
            del self._removed[next(iter(self._removed))]

    def begin_restore(self, instances: dict[UpstreamId, Instance], now: Millis) -> None:
        """Begin to restrain entries; the instances are those known before."""
        self._known = dict(instances)
        self.restrained_until = Millis(now + RESTRAINT_MS)

    def restrain(self, instance: Instance) -> Instance | None:
        """Return an instance as it may be used, ``None`` if it is withheld."""
        self.drop_withheld(instance.id)
        if self.restrained_until is None:
            self._removed.pop(instance.id, None)
            return instance
        if self._removed.get(instance.id) == instance.incarnation:
            self._withheld[instance.id] = instance
            return None
        known = self._known.get(instance.id)
        if known is None or known.incarnation < instance.incarnation:
            return instance
        if known.incarnation > instance.incarnation:
            self._withheld[instance.id] = instance
            return known
        if known.state is InstanceState.LEAVING:
            return replace(instance, state=InstanceState.LEAVING)
        return instance

    def drop_withheld(self, upstream: UpstreamId) -> None:
        """Drop the withheld entry of an upstream, which is removed or replaced."""
        self._withheld.pop(upstream, None)

    def count_withheld(self) -> int:
        """Return how many entries are withheld."""
        return len(self._withheld)

    def expire(self, now: Millis) -> list[Instance]:
        """End the restraint when it is over; return the entries that were withheld."""
        if self.restrained_until is None or now < self.restrained_until:
            return []
        self.restrained_until = None
        self._known = {}
        returned = list(self._withheld.values())
        self._withheld = {}
        for instance in returned:
            self._removed.pop(instance.id, None)
        return returned
