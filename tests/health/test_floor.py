import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.conf.tree import Service, Upstream
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import BranchName, ServiceName
from damaskdyke.distribution.component import Settings
from damaskdyke.health.component import Health
from damaskdyke.health.evidence import EvidenceRecord
from damaskdyke.health.floor import FloorGuard, choose_ejectable
from damaskdyke.health.states import HealthState, RequestOutcome
from damaskdyke.health.window import Counts, OutcomeKind
from tests.kernels import make_kernel


def make_service(size, floor):
    upstreams = tuple(
        Upstream(f"up-{number}", f"127.0.0.2:{1000 + number}", "suva")
        for number in range(size)
    )
    return Service(
        name=ServiceName("desk"),
        branch=BranchName("pumps"),
        floor=floor,
        slots=4,
        long_slots=0,
        connections=330,
        retry_percent=10,
        refusal_statuses=frozenset(),
        probe_path="",
        slow_ms=0,
        upstreams=upstreams,
        rules=(),
    )


sizes = st.integers(min_value=0, max_value=40)


class ChooseEjectableTest(unittest.TestCase):
    @given(sizes, sizes, st.permutations(range(40)))
    def test_set_leaves_the_floor_whatever_the_order(self, size, floor, order):
        names = [f"up-{number}" for number in range(size)]
        shuffled = [f"up-{number}" for number in order if number < size]
        chosen = choose_ejectable("desk", names, floor)
        self.assertEqual(chosen, choose_ejectable("desk", shuffled, floor))
        self.assertGreaterEqual(size - len(chosen), min(size, floor))


class EvidenceCase(unittest.TestCase):
    """Helpers that give one proxy evidence of faults."""

    def make_health(self):
        kernel = make_kernel()
        settings = kernel.get(Settings)
        settings._is_started = True
        settings.store.tree_hash = b"x"
        settings.store._stored[BranchName("x")] = None
        return kernel.get(Health)

    def report_fault(self, health, service, upstream):
        now = health.clock.now()
        records = [
            EvidenceRecord(f"127.0.0.{n}:1", 1, 1, zone, upstream.id, Counts(0, 9), now)
            for n, zone in ((5, "suva"), (6, "lautoka"), (7, "labasa"))
        ]
        health._evidence.merge(records)
        item = health.get_upstream_health(service, upstream)
        health.record(item, RequestOutcome(OutcomeKind.BAD, 5))


class EjectionFloorTest(EvidenceCase):
    """Proxies with different evidence must together leave the floor in rotation.

    Each proxy ejects on its own evidence, so a limit that each one checks by itself
    would let all of them together eject too many upstreams.
    """

    @given(
        st.integers(min_value=1, max_value=12),
        st.integers(min_value=0, max_value=12),
        st.lists(st.sets(st.integers(min_value=0, max_value=11)), max_size=4),
    )
    def test_union_of_ejections_keeps_the_floor(self, size, floor, reported_by_proxy):
        floor = min(size, floor)
        service = make_service(size, floor)
        ejected = set()
        for reported in reported_by_proxy:
            ejected |= self.list_ejected(service, reported)
        self.assertGreaterEqual(size - len(ejected), floor)

    def list_ejected(self, service, reported):
        health = self.make_health()
        for number in reported:
            if number < len(service.upstreams):
                self.report_fault(health, service, service.upstreams[number])
        return {
            item.upstream.id
            for item in health.list_upstream_health(service)
            if item.state is HealthState.EJECTED
        }


class RaisedFloorTest(EvidenceCase):
    def test_ejection_ends_when_a_raised_floor_forbids_it(self):
        health = self.make_health()
        service = make_service(6, 0)
        for upstream in service.upstreams:
            self.report_fault(health, service, upstream)
        raised = make_service(6, 6)
        for item in health.list_upstream_health(raised):
            health._policy.review(item, health.clock.now())
        states = {item.state for item in health.list_upstream_health(raised)}
        self.assertNotIn(HealthState.EJECTED, states)

    def test_raised_floor_holds_without_fresh_evidence(self):
        health = self.make_health()
        service = make_service(6, 0)
        for upstream in service.upstreams:
            self.report_fault(health, service, upstream)
        health.clock.advance(60_000)
        raised = make_service(6, 6)
        items = health.list_upstream_health(raised)
        for item in items:
            item.hold_until = health.clock.now() + 60_000
            health._policy.review(item, health.clock.now())
        self.assertNotIn(HealthState.EJECTED, {item.state for item in items})


class SettingsChangeTest(unittest.TestCase):
    def test_change_of_the_pool_ejects_only_members_of_both_sets_at_first(self):
        clock = ManualClock(100_000)
        guard = FloorGuard(clock)
        old, new = make_service(10, 6), make_service(14, 6)
        before = guard.list_ejectable(old, frozenset())
        during = guard.list_ejectable(new, frozenset())
        self.assertLessEqual(during, before)
        clock.advance(10_000)
        self.assertEqual(len(guard.list_ejectable(new, frozenset())), 8)

    def test_leaving_upstreams_count_against_the_floor(self):
        guard = FloorGuard(ManualClock(100_000))
        service = make_service(10, 6)
        leaving = frozenset(item.address for item in service.upstreams[:3])
        self.assertEqual(len(guard.list_ejectable(service, leaving)), 1)
