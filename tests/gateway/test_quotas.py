"""Tests that the gateway counts, admits and refuses requests of workspaces."""

import dataclasses

from damaskdyke.catalogue.catalogue import build_catalogue
from damaskdyke.catalogue.types import CallerLimits, Rules, Service
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import RequestId
from damaskdyke.dispatch.outcomes import Outcome, SendKind
from damaskdyke.dispatch.selection import SelectionCriteria
from damaskdyke.fleet.reports import LoadReport, Urgency
from damaskdyke.gateway.application import Application
from damaskdyke.gateway.callers import CallerWatch
from damaskdyke.gateway.instruments import (
    MAX_COUNTED_WORKSPACES,
    OTHER_WORKSPACES,
    Instruments,
)
from damaskdyke.gateway.messages import AnswerKind, CallerRequest
from damaskdyke.platform.headers import HEADERS
from damaskdyke.testbed.instance import Behaviour, InstanceStandIn
from damaskdyke.upstreams.messages import Header
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.quotas import FleetView
from damaskdyke.workspaces.silence import IN_CONTACT, ZoneContactState
from damaskdyke.workspaces.types import Workspace
from tests.gateway.cases import GatewayCase, make_route

LIMITED = Workspace("limited", ("k1",), None, 1.0, 1.0)
UNLIMITED = Workspace("unlimited", ("k2",))
CRITERIA = SelectionCriteria(may_retry=False, is_urgent=True, workspace="limited")


class QuotaCase(GatewayCase):
    def setUp(self):
        super().setUp()
        services = {"desk": Service("desk", "/healthz", 100)}
        directory = Directory([LIMITED, UNLIMITED])
        rules = Rules(1, (make_route(),), services, CallerLimits(), directory)
        instances = {item.name: item.describe() for item in self.instances}
        self.view = build_catalogue(1, rules, instances)
        # A bucket at its start refuses one in 200 requests at random.
        self.dispatcher.seed(1)
        self.dispatcher.apply_view(self.view)
        self.dispatcher.update_quotas(FleetView(frozenset({"a"})))
        self.instruments = Instruments()
        self.application = Application(
            self.dispatcher,
            self.pool,
            HEADERS,
            self.instruments,
            self.clock,
            lambda: self.view,
            lambda: True,
            lambda: 1,
        )

    def ask(self, key):
        request = CallerRequest(
            RequestId("q"),
            "GET",
            "/p/x",
            "h.example",
            [Header("Host", "h.example"), Header(HEADERS.request_id, "q")],
            b"",
            1_000,
            self.clock.now(),
            key,
        )
        return self.application.answer(request, CallerWatch(self.caller))

    def read_level(self):
        return self.dispatcher.admit(LIMITED).level

    def report_sends(self, count, upstream=None, is_same_zone=True):
        report = LoadReport(
            upstream or self.instances[0].name,
            1,
            0,
            Outcome.PENDING,
            0,
            SendKind.FIRST,
            workspace="limited",
        )
        self.dispatcher.apply_reports("10.0.0.9", is_same_zone, [report] * count)


class AnswerTest(QuotaCase):
    def test_request_over_the_quota_gets_429_and_is_not_sent(self):
        # Requests of one workspace displaced those of the others.
        self.report_sends(50)
        answer = self.ask("k1")
        self.assertEqual((answer.status, answer.kind), (429, AnswerKind.OVER_QUOTA))
        self.assertGreater(answer.retry_after_ms, 0)
        self.assertEqual(self.upstream.connections, 0)
        self.assertEqual(self.instruments.over_quota_counts, {"limited": 1})

    def test_other_workspaces_are_served(self):
        self.report_sends(50)
        self.assertEqual(self.ask("k2").status, 200)

    def test_line_of_the_log_has_the_inputs(self):
        self.report_sends(50)
        with self.assertLogs("damaskdyke.gateway", "WARNING") as logs:
            self.ask("k1")
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "over-quota")
        self.assertEqual(record.fields["workspace"], "limited")
        self.assertLess(float(record.fields["tokens"]), 0)
        self.assertGreater(float(record.fields["rate"]), 0)

    def test_quota_used_up_during_a_wait_gets_429(self):
        # Requests that waited for a slot were sent however little was left.
        forwarder = self.make_forwarder(make_route())
        forwarder._workspace = LIMITED
        forwarder.admission = self.dispatcher.admit(LIMITED)
        self.assertTrue(forwarder.admission.is_allowed)
        self.report_sends(50)
        answer = forwarder.run()
        self.assertEqual(answer.status, 429)
        self.assertEqual(self.upstream.connections, 0)


class CountTest(QuotaCase):
    def test_only_the_first_send_of_a_request_counts(self):
        # Retries, hedges and attempts without a connection used the quota up.
        level = self.read_level()
        extra = dataclasses.replace(CRITERIA, is_extra=True)
        again = dataclasses.replace(CRITERIA, is_counted=False)
        for criteria in (extra, again):
            self.dispatcher.begin_send("desk", criteria)
        self.assertAlmostEqual(self.read_level(), level, delta=0.2)
        self.dispatcher.begin_send("desk", CRITERIA)
        self.assertAlmostEqual(self.read_level(), level - 1, delta=0.2)
        names = [report.workspace for report in self.gossip.reports]
        self.assertEqual(names, [None, None, "limited"])

    def test_reports_of_the_zone_count_also_for_unknown_upstreams(self):
        # The catalogues of two proxies differ for a moment after each change.
        level = self.read_level()
        self.report_sends(1)
        self.report_sends(1, upstream="unknown")
        self.report_sends(1, is_same_zone=False)
        self.assertAlmostEqual(self.read_level(), level - 2, delta=0.2)

    def test_sends_of_lost_reports_count_with_the_next_one(self):
        # A workspace ran what the lost reports were about beside its quota.
        level = self.read_level()
        for total in (1, 4, 3, 4):
            report = LoadReport(
                self.upstream.name,
                1,
                0,
                Outcome.PENDING,
                0,
                SendKind.FIRST,
                workspace="limited",
                workspace_sends=total,
                boot=7,
            )
            self.dispatcher.apply_reports("10.0.0.9", True, [report])
        self.assertAlmostEqual(self.read_level(), level - 4, delta=0.2)

    def test_counters_are_bounded(self):
        # There may be hundreds of thousands of workspaces.
        for number in range(MAX_COUNTED_WORKSPACES + 5):
            self.instruments.record_over_quota(f"w{number}")
        counts = self.instruments.over_quota_counts
        self.assertEqual(len(counts), MAX_COUNTED_WORKSPACES + 1)
        self.assertEqual(counts[OTHER_WORKSPACES], 5)


class SilenceTest(QuotaCase):
    """Peers sent requests of a workspace before the reports of the zone stopped."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(self.clock.now())
        self.dispatcher._clock = self.clock
        self.dispatcher.update_quotas(FleetView(frozenset({"a"}), 5, 5))
        self.report_sends(12)

    def measure_refill(self):
        before = self.read_level()
        self.clock.advance(500)
        return self.read_level() - before

    def test_bucket_of_a_silent_zone_does_not_fill_up(self):
        # Each proxy admitted everything, as nobody seemed to use the quota.
        usual = self.measure_refill()
        contact = ZoneContactState(self.clock.now())
        self.gossip.get_zone_contact = lambda: contact
        self.assertLess(self.measure_refill(), 0.1 * usual)

    def test_isolated_proxy_uses_a_small_part(self):
        contact = ZoneContactState(self.clock.now(), is_isolated=True)
        self.gossip.get_zone_contact = lambda: contact
        share = self.dispatcher.admit(LIMITED).per_second
        self.gossip.get_zone_contact = lambda: IN_CONTACT
        self.assertAlmostEqual(self.dispatcher.admit(LIMITED).per_second / share, 20)


class RefundTest(QuotaCase):
    """A request that ends refused and certainly did not run costs nothing.

    The clock stands still, so that no token is added.
    """

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(self.clock.now())
        self.dispatcher._clock = self.application._clock = self.clock

    def ask_and_compare(self, behaviour=None):
        """Ask once and return the status and the tokens that it cost."""
        before = self.read_level()
        if behaviour is not None:
            self.upstream.behaviour = behaviour
        status = self.ask("k1").status
        return status, before - self.read_level()

    def list_refunds(self):
        return [item.refunded for item in self.gossip.reports if item.refunded]

    def test_request_that_the_upstream_refused(self):
        # Refused requests used the quota up, so that retries got 429 instead.
        status, cost = self.ask_and_compare(Behaviour.SHED)
        self.assertEqual(status, 503)
        self.assertAlmostEqual(cost, 0)

    def test_request_that_got_no_connection(self):
        self.upstream.__exit__()
        status, cost = self.ask_and_compare()
        self.assertEqual(status, 503)
        self.assertAlmostEqual(cost, 0)

    def check_no_refund(self, behaviour, expected_status):
        # A refund of requests that ran lets a workspace run more than its quota.
        status, cost = self.ask_and_compare(behaviour)
        self.assertEqual(status, expected_status)
        self.assertAlmostEqual(cost, 1)
        self.assertFalse(self.dispatcher._refunds)

    def test_send_with_a_reply_is_not_refunded(self):
        self.check_no_refund(Behaviour.GOOD, 200)

    def test_send_that_may_have_run_is_not_refunded(self):
        self.check_no_refund(Behaviour.RESET, 502)

    def test_unmarked_refusal_is_not_refunded(self):
        self.check_no_refund(Behaviour.UNMARKED_503, 502)

    def test_send_after_a_refused_one_may_have_run(self):
        instance = self.enterContext(InstanceStandIn("u2"))
        instances = {"u2": instance.describe()} | self.view.instances
        self.view = build_catalogue(2, self.view.rules, instances)
        self.dispatcher.apply_view(self.view)
        self.upstream.behaviour = Behaviour.SHED
        instance.behaviour = Behaviour.RESET
        self.pool.list_connected = lambda is_order: frozenset()
        for _ in range(4):
            before = self.read_level()
            status = self.ask("k1").status
            runs = instance.runs["q"]
            instance.runs.clear()
            cost = before - self.read_level()
            self.assertAlmostEqual(cost, 1 if runs else 0, msg=status)

    def test_peers_are_told_with_the_next_report_that_is_sent_soon(self):
        # The peers would refuse requests that the zone's quota has room for.
        self.ask_and_compare(Behaviour.SHED)
        self.assertEqual(self.list_refunds(), [])
        count = len(self.gossip.reports)
        instance = self.upstream.describe()
        self.dispatcher.end_send(instance, Outcome.GOOD, 5)
        self.assertEqual(self.gossip.urgencies[-1], Urgency.LATER)
        self.assertEqual(self.list_refunds(), [])
        self.dispatcher.end_send(instance, Outcome.FAILED, 5)
        self.assertEqual(self.list_refunds(), ["limited"])
        self.assertEqual(len(self.gossip.reports), count + 2)

    def test_refund_of_a_peer_of_the_zone_counts(self):
        self.report_sends(2)
        level = self.read_level()
        for is_same_zone in (True, False):
            report = LoadReport(
                self.upstream.name, 1, 0, Outcome.SHED, 0, refunded="limited"
            )
            self.dispatcher.apply_reports("10.0.0.9", is_same_zone, [report])
        self.assertAlmostEqual(self.read_level(), level + 1)


class ReviewedTest(QuotaCase):
    def test_workspaces_in_reports_are_not_kept_where_none_is_configured(self):
        # They took memory at a proxy that has nothing to do with workspaces.
        instances = {item.name: item.describe() for item in self.instances}
        rules = Rules(2, (make_route(),), self.view.rules.services, CallerLimits())
        self.view = build_catalogue(2, rules, instances)
        instance = self.upstream.describe()
        for number in range(100):
            report = LoadReport(
                instance.id,
                instance.incarnation,
                1,
                Outcome.PENDING,
                0,
                SendKind.FIRST,
                workspace=f"stranger{number}",
            )
            self.dispatcher.apply_reports("10.0.0.9", True, [report])
        state = self.dispatcher.get_share_state("desk", "stranger1")
        self.assertEqual(state.active, 0)

    def test_zones_of_upstreams_count_until_the_fleet_is_known(self):
        # A zone that holds upstreams only took a part of every quota for ever.
        instances = {
            item.name: item.describe(zone="far-away") for item in self.instances
        }
        self.view = build_catalogue(2, self.view.rules, instances)
        shares = []
        for is_known in (False, True):
            fleet = FleetView(frozenset({"a"}), 1, 1, is_known)
            self.dispatcher.update_quotas(fleet)
            shares.append(self.dispatcher.admit(LIMITED).per_second)
        self.assertLess(shares[0], 0.6)
        self.assertGreaterEqual(shares[1], 1.0)
