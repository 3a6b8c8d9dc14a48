"""Active probes: watchers send probe requests to upstreams.

They probe upstreams that are unhealthy, reported as faulty, or have little traffic.
The watchers of an upstream are a few proxies selected by consistent hashing.
"""

import logging
import random
import threading

from damaskdyke.conf.tree import Service
from damaskdyke.core.clock import Deadline, Millis
from damaskdyke.core.ids import UpstreamId, WorkspaceName
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings
from damaskdyke.health.component import Health
from damaskdyke.health.states import HealthState, RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind
from damaskdyke.membership.component import Membership
from damaskdyke.membership.ring import Ring
from damaskdyke.upstreams.calls import UpstreamCall
from damaskdyke.upstreams.component import Upstreams
from damaskdyke.upstreams.messages import Failure, Reply, Request, UpstreamError
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.randomness import generate_request_id

logger = logging.getLogger("damaskdyke.trials")

WATCHERS_PER_UPSTREAM = 3
HEALTHY_PROBE_INTERVAL_MS = 1_500
UNHEALTHY_PROBE_INTERVAL_MS = 600
SCHEDULER_TICK_MS = 100
# Maximum number of probes in the burst that follows a report of a fault, and the pause
# between them. The burst lets the diagnosis be reached fast.
BURST_PROBES = 16
BURST_INTERVAL_MS = 60
# Routine probes at a time; bursts do not count.
MAX_PARALLEL_PROBES = 6
# Time-out as a multiple of the service's slow threshold, within the bounds below.
PROBE_TIMEOUT_FACTOR = 4
MIN_PROBE_TIMEOUT_MS = 250
MAX_PROBE_TIMEOUT_MS = 1_000
PROBE_WORKSPACE = WorkspaceName("trial")


@components.register("trials")
class Probes(Component):
    """Sends probe requests to the upstreams that this proxy watches."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._health = kernel.get(Health)
        self._membership = kernel.get(Membership)
        self._settings = kernel.get(Settings)
        self._upstreams = kernel.get(Upstreams)
        self._own_address = kernel.settings.peer_address
        self._lock = threading.Lock()
        self._bursting_ids: set[UpstreamId] = set()
        self._probe_slots = threading.BoundedSemaphore(MAX_PARALLEL_PROBES)
        self._ring = Ring([])
        self._ring_version = -1
        self._watched: list[UpstreamHealth] = []
        self._due_at: dict[UpstreamId, Millis] = {}
        self.bus.subscribe("accused", self._start_burst)
        self.bus.subscribe("settings", self._invalidate_watched)

    def start(self) -> None:
        """Start routine probes, unless the ejection policy uses no evidence."""
        if self._health.uses_evidence:
            self.kernel.spawn("trials", self._run)

    # Watchers.

    def _refresh_watched(self) -> None:
        """Recompute the watched upstreams if members or settings have changed."""
        version = self._membership.table.version
        if version == self._ring_version:
            return
        self._ring_version = version
        self._ring = Ring(self._membership.table.list_alive())
        self._watched = [
            item
            for service in self._settings.view.services.values()
            if service.probe_path
            for item in self._health.list_upstream_health(service)
            if self._is_watcher(item)
        ]

    def _invalidate_watched(self) -> None:
        self._ring_version = -1

    def _is_watcher(self, item: UpstreamHealth) -> bool:
        watchers = self._ring.find_successors(item.upstream.id, WATCHERS_PER_UPSTREAM)
        return self._own_address in watchers

    # Routine probes.

    def _run(self) -> None:
        while not self.kernel.wait(SCHEDULER_TICK_MS):
            self._refresh_watched()
            now = self._clock.now()
            leaving = self._settings.view.leaving
            for item in self._watched:
                if item.upstream.address not in leaving and self._is_due(item, now):
                    self._spawn_probe(item)

    def _is_due(self, item: UpstreamHealth, now: Millis) -> bool:
        """Return whether to probe the upstream now, and schedule its next turn.

        The intervals are jittered by a quarter, so that watchers do not probe in step.
        A healthy upstream with recent traffic needs no probe.
        """
        key = item.upstream.id
        interval_ms = (
            HEALTHY_PROBE_INTERVAL_MS
            if item.state is HealthState.HEALTHY
            else UNHEALTHY_PROBE_INTERVAL_MS
        )
        due_at = self._due_at.get(key)
        if due_at is None:
            self._due_at[key] = Millis(now + random.randrange(interval_ms))
            return False
        if now < due_at:
            return False
        self._due_at[key] = Millis(
            now + interval_ms * 3 // 4 + random.randrange(interval_ms // 2)
        )
        return (
            item.state is not HealthState.HEALTHY
            or now - item.last_outcome_at > interval_ms // 2
        )

    def _spawn_probe(self, item: UpstreamHealth) -> None:
        if self._probe_slots.acquire(blocking=False):
            self.kernel.spawn("trial", self._run_probe, item)

    def _run_probe(self, item: UpstreamHealth) -> None:
        try:
            self.probe_upstream(item)
        finally:
            self._probe_slots.release()

    # Bursts after a report of a fault.

    def _start_burst(self, item: UpstreamHealth) -> None:
        self._refresh_watched()
        if not item.service.probe_path or not self._is_watcher(item):
            return
        with self._lock:
            if item.upstream.id in self._bursting_ids:
                return
            self._bursting_ids.add(item.upstream.id)
        self.kernel.spawn("trial-burst", self._burst, item)

    def _burst(self, item: UpstreamHealth) -> None:
        """Probe an upstream in quick succession while it counts as healthy."""
        try:
            self._probe_controls(item)
            for _ in range(BURST_PROBES):
                if item.state is not HealthState.HEALTHY or self.kernel.is_stopping:
                    return
                self.probe_upstream(item)
                self._health.publish(item, is_urgent=False)
                self.kernel.wait(BURST_INTERVAL_MS)
        finally:
            with self._lock:
                self._bursting_ids.discard(item.upstream.id)

    def _probe_controls(self, item: UpstreamHealth) -> None:
        """Measure up to 4 healthy upstreams, which shows whether all are slow.

        Without this comparison overload of the service would count as a fault of one
        upstream.
        """
        healthy = self._health.list_candidates(item.service).healthy
        others = [other for other in healthy if other is not item]
        for other in random.sample(others, min(4, len(others))):
            self._measure(other)

    # Single probes.

    def probe_upstream(self, item: UpstreamHealth) -> None:
        """Send one probe request and record its outcome."""
        outcome = self._measure(item)
        self._health.record(item, outcome)
        log_event(
            logger,
            "trial",
            logging.DEBUG,
            service=item.service.name,
            upstream=item.upstream.id,
            outcome=outcome.kind.value,
            duration_ms=outcome.duration_ms,
        )

    def _measure(self, item: UpstreamHealth) -> RequestOutcome:
        started = self._clock.now()
        latency = self._health.get_latency(item.service)
        request = self._make_request(item.service, latency.slow_ms)
        pool = self._upstreams.get_pool(item.service, item.upstream)
        try:
            with UpstreamCall(pool, request) as call:
                call.open()
                call.send()
                reply = call.read()
        except UpstreamError as error:
            duration_ms = self._clock.now() - started
            if error.failure is Failure.TIMEOUT:
                latency.add(self._clock.now(), item.upstream.id, duration_ms)
                return RequestOutcome(OutcomeKind.SLOW, duration_ms)
            return RequestOutcome(OutcomeKind.BAD, duration_ms)
        duration_ms = self._clock.now() - started
        return self._classify_reply(item, reply, duration_ms)

    def _classify_reply(
        self, item: UpstreamHealth, reply: Reply, duration_ms: int
    ) -> RequestOutcome:
        if reply.status in item.service.refusal_statuses:
            return RequestOutcome(OutcomeKind.NEUTRAL, duration_ms)
        if reply.status >= 500:
            return RequestOutcome(OutcomeKind.BAD, duration_ms)
        return self._health.classify_duration(item, duration_ms)

    def _make_request(self, service: Service, slow_ms: int) -> Request:
        timeout_ms = PROBE_TIMEOUT_FACTOR * slow_ms
        timeout_ms = min(MAX_PROBE_TIMEOUT_MS, max(MIN_PROBE_TIMEOUT_MS, timeout_ms))
        return Request(
            id=generate_request_id(),
            method="GET",
            path=service.probe_path,
            target=service.probe_path,
            headers=(),
            body=b"",
            deadline=Deadline(self._clock, timeout_ms),
            workspace=PROBE_WORKSPACE,
        )
