"""The product's ejection policy: evidence of many proxies, paths told from faults."""

from damaskdyke.core.clock import Millis
from damaskdyke.health.diagnosis import Diagnosis, diagnose
from damaskdyke.health.evidence import EvidenceRecord
from damaskdyke.health.latency import Comparison
from damaskdyke.health.policies import EjectionPolicy, ejection_policies
from damaskdyke.health.states import HealthState, RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind

# Hysteresis: each new demotion within the memory doubles the hold, up to the limit.
MIN_HOLD_MS = 2_000
MAX_HOLD_MS = 6_000
FLAP_WINDOW_MS = 60_000
MIN_GOOD_FOR_RETURN = 5
MIN_ORIGINS_FOR_RETURN = 2
AVOID_HOLD_MS = 2_000


@ejection_policies.register("corroborated")
class CorroboratedEjection(EjectionPolicy):
    """Demote on the evidence of several proxies; eject where the floor allows it."""

    uses_evidence = True

    def record(
        self, item: UpstreamHealth, outcome: RequestOutcome, now: Millis
    ) -> None:
        """Count the outcome, and publish it if it accuses the upstream."""
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
        """Return what a slow outcome counts as, given how the others fare.

        Without enough recent lookups for a comparison it is no vote; the record that
        is then published may be empty, and asks the watchers for trial requests.
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
        """Set the state that the fresh evidence calls for."""
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
        """End an ejection that the settings in force no longer allow."""
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
