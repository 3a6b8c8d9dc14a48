"""Ejection policy of the product, which corroborates faults by several proxies."""

from damaskdyke.core.clock import Millis
from damaskdyke.health.diagnosis import Diagnosis, diagnose
from damaskdyke.health.evidence import EvidenceRecord
from damaskdyke.health.latency import Comparison
from damaskdyke.health.policies import EjectionPolicy, ejection_policies
from damaskdyke.health.states import HealthState, RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind

# Hysteresis: each demotion within the flap window of the last change of state doubles
# the hold, up to the maximum.
MIN_HOLD_MS = 2_000
MAX_HOLD_MS = 6_000
FLAP_WINDOW_MS = 60_000
# Good outcomes, and origins that observed them, before an upstream is restored.
MIN_GOOD_FOR_RETURN = 5
MIN_ORIGINS_FOR_RETURN = 2
AVOID_HOLD_MS = 2_000


@ejection_policies.register("corroborated")
class CorroboratedEjection(EjectionPolicy):
    """Demotes upstreams on the evidence of several proxies, and ejects if possible.

    An upstream is ejected if it is in the ejectable set and demoted otherwise. If only
    the path from this proxy or zone is faulty, the upstream is avoided.
    """

    uses_evidence = True

    def record(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> None:
        """Count the outcome, and publish the counts if they are of use to peers.

        A bad or slow outcome is published at once; a good one only for an upstream
        that is not healthy, where it is evidence of recovery.
        """
        kind = self._resolve_kind(item, outcome, now)
        if kind is OutcomeKind.NEUTRAL:
            return
        with item.lock:
            item.window.add(now, kind)
        if kind is OutcomeKind.GOOD:
            if item.state is not HealthState.HEALTHY:
                self.health.publish(item)
            return
        self.health.publish(item, is_urgent=True)
        self.review(item, now)

    def _resolve_kind(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> OutcomeKind:
        """Return how an outcome counts, given the latency of the other upstreams.

        A slow outcome counts as slow only if the others are fast. Without enough
        recent lookups for a comparison it is neutral; the record that is then
        published may be empty, and makes the watchers send probe requests.
        """
        if outcome.kind is not OutcomeKind.SLOW:
            return outcome.kind
        latency = self.health.get_latency(item.service)
        comparison = latency.compare_others(now, item.upstream.id)
        if comparison is Comparison.OTHERS_FAST:
            return OutcomeKind.SLOW
        if comparison is Comparison.UNKNOWN:
            self.health.publish(item, is_urgent=True)
        return OutcomeKind.NEUTRAL

    def review(self, item: UpstreamHealth, now: Millis) -> None:
        """Diagnose the upstream from fresh evidence and set its state accordingly."""
        self._enforce_floor(item)
        records = self.health.collect_records(item)
        with item.lock:
            own = item.window.count(now)
        diagnosis = diagnose(records, self.health.zone, own)
        if diagnosis is Diagnosis.FAULTY:
            self._demote_or_eject(item, now)
        elif diagnosis is Diagnosis.PATH_FAULTY:
            self._avoid(item, now)
        elif item.state is not HealthState.HEALTHY and now >= item.hold_until:
            self._restore_if_healthy(item, diagnosis, records)

    def _enforce_floor(self, item: UpstreamHealth) -> None:
        """Demote an ejected upstream that is no longer in the ejectable set."""
        if item.state is not HealthState.EJECTED:
            return
        if item.upstream.id not in self.health.list_ejectable(item.service):
            self.health.set_state(item, HealthState.DEMOTED, "floor")

    def _demote_or_eject(self, item: UpstreamHealth, now: Millis) -> None:
        ejectable = self.health.list_ejectable(item.service)
        is_ejectable = item.upstream.id in ejectable
        state = HealthState.EJECTED if is_ejectable else HealthState.DEMOTED
        if item.state in (HealthState.HEALTHY, HealthState.AVOIDED):
            self._start_hold(item, now)
        if item.state is not state:
            reason = "evidence" if is_ejectable else "evidence-floor"
            self.health.set_state(item, state, reason)

    def _start_hold(self, item: UpstreamHealth, now: Millis) -> None:
        """Set the time before which a demoted or ejected upstream cannot return."""
        if now - item.state_since > FLAP_WINDOW_MS:
            item.demotions = 0
        hold_ms = min(MAX_HOLD_MS, MIN_HOLD_MS << min(item.demotions, 8))
        item.demotions += 1
        item.hold_until = Millis(now + hold_ms)

    def _avoid(self, item: UpstreamHealth, now: Millis) -> None:
        if item.state is not HealthState.HEALTHY:
            return
        item.hold_until = Millis(now + AVOID_HOLD_MS)
        self.health.set_state(item, HealthState.AVOIDED, "path")

    def _restore_if_healthy(
        self, item: UpstreamHealth, diagnosis: Diagnosis, records: list[EvidenceRecord]
    ) -> None:
        """Restore an upstream after its hold.

        A demoted or ejected one also needs a healthy diagnosis with good outcomes, from
        probes or ordinary requests, unless its service has no path to probe.
        """
        good = sum(record.counts.good for record in records)
        origins = sum(1 for record in records if record.counts.good)
        if item.state is HealthState.AVOIDED:
            self.health.set_state(item, HealthState.HEALTHY, "hold-over")
            return
        if not item.service.probe_path:
            self.health.set_state(item, HealthState.HEALTHY, "hold-over")
            return
        needed_origins = min(MIN_ORIGINS_FOR_RETURN, self.health.count_members())
        if (
            diagnosis is Diagnosis.HEALTHY
            and good >= MIN_GOOD_FOR_RETURN
            and origins >= needed_origins
        ):
            self.health.set_state(item, HealthState.HEALTHY, "trials-passed")
