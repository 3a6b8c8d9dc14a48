"""Health component: states of all upstreams, and evidence shared with peers."""

import logging
import threading
from dataclasses import dataclass

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import Address, ServiceName, UpstreamId
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.health import corroborated as _corroborated  # noqa: F401
from damaskdyke.health.evidence import EvidenceRecord, EvidenceStore, decode_evidence
from damaskdyke.health.floor import FloorGuard
from damaskdyke.health.latency import ServiceLatency
from damaskdyke.health.policies import ejection_policies
from damaskdyke.health.states import HealthState, RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind
from damaskdyke.membership.component import Membership
from damaskdyke.membership.gossip import GossipQueue
from damaskdyke.membership.parts import ExchangePart
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.peers.gen.peer.ttypes import Exchange
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.health")

REVIEW_INTERVAL_MS = 200
EVIDENCE_PER_EXCHANGE = 32
# Shortest interval between records of one upstream that are not urgent.
PUBLISH_INTERVAL_MS = 150


@dataclass(frozen=True)
class Candidates:
    """Upstreams that requests of a service may go to, without those being removed.

    Parameters
    ----------
    healthy : tuple of UpstreamHealth
        In ordinary rotation.
    reserve : tuple of UpstreamHealth
        Demoted or avoided; used only when no healthy upstream has a free slot.
    """

    healthy: tuple[UpstreamHealth, ...]
    reserve: tuple[UpstreamHealth, ...]


@components.register("health")
class Health(Component, ExchangePart):
    """Holds the health of the upstreams of every service and shares evidence.

    The ejection policy that the settings name decides on the states.
    """

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self.clock = kernel.clock
        self.zone = kernel.settings.zone
        self._membership = kernel.get(Membership)
        self._settings = kernel.get(Settings)
        self._metrics = kernel.get(Metrics)
        self._lock = threading.RLock()
        self._health_by_id: dict[UpstreamId, UpstreamHealth] = {}
        self._latency_by_service: dict[ServiceName, ServiceLatency] = {}
        self._candidates_by_service: dict[ServiceName, Candidates] = {}
        self._floor = FloorGuard(kernel.clock)
        self._evidence = EvidenceStore(kernel.clock)
        self._gossip: GossipQueue[EvidenceRecord] = GossipQueue(EVIDENCE_PER_EXCHANGE)
        self._sequence = 0
        self._policy = ejection_policies.get(kernel.settings.policies.ejection)(self)
        self._membership.add_part(self)
        self.bus.subscribe("settings", self._clear_caches)

    @property
    def uses_evidence(self) -> bool:
        """Return whether the ejection policy exchanges evidence with peers."""
        return self._policy.uses_evidence

    def start(self) -> None:
        """Start the periodic review of upstreams that are not healthy."""
        self.kernel.spawn("health-review", self._run)

    def _run(self) -> None:
        while not self.kernel.wait(REVIEW_INTERVAL_MS):
            now = self.clock.now()
            for item in self.list_unhealthy():
                self._policy.review(item, now)

    # Queries of routing.

    def list_candidates(self, service: Service) -> Candidates:
        """Return the upstreams that requests of a service may go to.

        Cached until a state of the service or the settings change.
        """
        known = self._candidates_by_service.get(service.name)
        if known is not None:
            return known
        with self._lock:
            candidates = self._make_candidates(service)
            self._candidates_by_service[service.name] = candidates
            return candidates

    def _make_candidates(self, service: Service) -> Candidates:
        leaving = self._settings.view.leaving
        healthy, reserve = [], []
        for item in self.list_upstream_health(service):
            if item.upstream.address in leaving:
                continue
            if item.state is HealthState.HEALTHY:
                healthy.append(item)
            elif item.state is not HealthState.EJECTED:
                reserve.append(item)
        return Candidates(tuple(healthy), tuple(reserve))

    def _clear_caches(self) -> None:
        with self._lock:
            self._candidates_by_service = {}
            self._latency_by_service = {}

    # Queries and updates of policies, probes and forwarding.

    def get_upstream_health(
        self, service: Service, upstream: Upstream
    ) -> UpstreamHealth:
        """Return the health of one upstream.

        A new or changed entry of the settings starts as healthy without outcomes.
        """
        item = self._health_by_id.get(upstream.id)
        if item is not None and item.upstream == upstream:
            item.service = service
            return item
        with self._lock:
            item = UpstreamHealth(service, upstream)
            self._health_by_id[upstream.id] = item
            return item

    def list_upstream_health(self, service: Service) -> list[UpstreamHealth]:
        """Return the health of every upstream of a service."""
        return [
            self.get_upstream_health(service, upstream)
            for upstream in service.upstreams
        ]

    def list_unhealthy(self) -> list[UpstreamHealth]:
        """Return the upstreams of all services that are out of ordinary rotation."""
        items = list(self._health_by_id.values())
        return [item for item in items if item.state is not HealthState.HEALTHY]

    def get_latency(self, service: Service) -> ServiceLatency:
        """Return the latency statistics of a service, empty after new settings."""
        latency = self._latency_by_service.get(service.name)
        if latency is None:
            with self._lock:
                latency = self._latency_by_service.setdefault(
                    service.name, ServiceLatency(service)
                )
        return latency

    def list_ejectable(self, service: Service) -> frozenset[UpstreamId]:
        """Return the upstreams that may be ejected; none without confirmed settings."""
        if self._settings.status() is not SettingsStatus.CONFIRMED:
            return frozenset()
        with self._lock:
            return self._floor.list_ejectable(service, self._settings.view.leaving)

    def count_members(self) -> int:
        """Return how many proxies are alive, this one included."""
        return self._membership.count_alive()

    def record(self, item: UpstreamHealth, outcome: RequestOutcome) -> None:
        """Record the outcome of a request; the policy may change the state."""
        now = self.clock.now()
        item.last_outcome_at = now
        self._policy.record(item, outcome, now)

    def classify_duration(
        self, item: UpstreamHealth, duration_ms: int
    ) -> RequestOutcome:
        """Return the outcome of a lookup that got a whole and correct reply in time.

        Its duration is added to the latency statistics of the service.
        """
        latency = self.get_latency(item.service)
        latency.add(self.clock.now(), item.upstream.id, duration_ms)
        is_slow = duration_ms > latency.slow_ms
        kind = OutcomeKind.SLOW if is_slow else OutcomeKind.GOOD
        return RequestOutcome(kind, duration_ms)

    def set_state(self, item: UpstreamHealth, state: HealthState, reason: str) -> None:
        """Change the state of an upstream and log the change.

        An upstream that becomes healthy begins its slow start with an empty window.

        Parameters
        ----------
        item : UpstreamHealth
            The upstream.
        state : HealthState
            The new state.
        reason : str
            Cause of the change, for the log.
        """
        now = self.clock.now()
        previous_state = item.state
        item.state = state
        item.state_since = now
        if state is HealthState.HEALTHY:
            item.restored_at = now
            with item.lock:
                item.window.clear()
        with self._lock:
            self._candidates_by_service.pop(item.service.name, None)
        if state is HealthState.EJECTED:
            self._metrics.ejections.add(1, {"service": item.service.name})
        log_event(
            logger,
            "upstream-state",
            service=item.service.name,
            upstream=item.upstream.id,
            before=previous_state.value,
            after=state.value,
            reason=reason,
        )

    # Evidence.

    def publish(self, item: UpstreamHealth, is_urgent: bool = False) -> None:
        """Publish this proxy's counts for an upstream to the other proxies.

        An urgent record is exchanged at once and starts a burst of probes; others are
        limited to one per publish interval.
        """
        now = self.clock.now()
        if now - item.published_at < PUBLISH_INTERVAL_MS and not is_urgent:
            return
        item.published_at = now
        record = self._make_record(item, now)
        self._evidence.merge([record])
        self._queue_gossip(record)
        if is_urgent:
            self._membership.exchange_now()
            self.bus.publish("accused", item)

    def _make_record(self, item: UpstreamHealth, now: Millis) -> EvidenceRecord:
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        with item.lock:
            counts = item.window.count(now)
        return EvidenceRecord(
            origin=self.kernel.settings.peer_address,
            boot=self.kernel.boot,
            sequence=sequence,
            zone=self.zone,
            upstream=item.upstream.id,
            counts=counts,
            measured_at=now,
        )

    def _queue_gossip(self, record: EvidenceRecord) -> None:
        key = (record.upstream, record.origin)
        self._gossip.put(key, record, self._membership.count_alive())

    def collect_records(self, item: UpstreamHealth) -> list[EvidenceRecord]:
        """Return the records within the window, of peers and of this proxy."""
        own = self.kernel.settings.peer_address
        records = [
            record
            for record in self._evidence.list_fresh(item.upstream.id)
            if record.origin != own
        ]
        record = self._make_record(item, self.clock.now())
        if record.counts.total:
            records.append(record)
        return records

    def add_to_exchange(self, exchange: Exchange) -> None:
        """Add the queued evidence records to an outgoing exchange."""
        now = self.clock.now()
        exchange.evidence = [
            record.to_message(now) for record in self._gossip.next_batch()
        ]

    def receive_exchange(self, sender: Address, exchange: Exchange) -> None:
        """Merge evidence from a peer, and forward and evaluate what was new."""
        if not exchange.evidence or not self.uses_evidence:
            return
        now = self.clock.now()
        own = self.kernel.settings.peer_address
        records = [decode_evidence(message, now) for message in exchange.evidence]
        added = self._evidence.merge(item for item in records if item.origin != own)
        for record in added:
            self._queue_gossip(record)
        for upstream in {record.upstream for record in added}:
            self._reevaluate(upstream, now)
        if added:
            self._membership.exchange_now()

    def _reevaluate(self, upstream: UpstreamId, now: Millis) -> None:
        """Review an upstream after new evidence from peers.

        Starts a burst of probes, and publishes this proxy's own counts if it has any.
        """
        item = self._find_upstream_health(upstream)
        if item is None:
            return
        self.bus.publish("accused", item)
        with item.lock:
            has_counts = item.window.count(now).total > 0
        if has_counts:
            self.publish(item)
        self._policy.review(item, now)

    def _find_upstream_health(self, upstream: UpstreamId) -> UpstreamHealth | None:
        """Return the health of an upstream, ``None`` if the settings do not list it."""
        listed = self._settings.view.find_upstream(upstream)
        if listed is None:
            return None
        return self.get_upstream_health(listed.service, listed.upstream)
