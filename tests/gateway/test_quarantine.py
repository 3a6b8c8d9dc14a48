"""Tests that a request which crashes its upstreams is not sent any further."""

import threading
from unittest import mock

from damaskdyke.catalogue.catalogue import build_catalogue
from damaskdyke.dispatch.outcomes import Outcome
from damaskdyke.dispatch.quarantine import QuarantineState
from damaskdyke.fleet import quarantine
from damaskdyke.fleet.gen.fleet.ttypes import News
from damaskdyke.fleet.quarantine import QuarantineExchange
from damaskdyke.gateway import forwarding, pool
from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
from tests.gateway.cases import GatewayCase, make_route, make_rules

DEADLY = "/p/deadly"


class RecordingChannel:
    """Keeps the reports that a proxy sends to the fleet."""

    zone = "a"

    def __init__(self):
        self.handlers = []
        self.sent = []

    def make_datagram(self):
        return News()

    def send_to_fleet(self, datagram):
        self.sent += datagram.requests


class QuarantineCase(GatewayCase):
    """Upstreams that a request for `DEADLY` terminates.

    Reports are not repeated, so that the recorded ones are those of the forwarder.
    """

    upstreams = 4

    def setUp(self):
        super().setUp()
        self.enterContext(mock.patch.object(quarantine, "REPEAT_DELAYS_MS", ()))
        self.channel = RecordingChannel()
        self.quarantine = QuarantineExchange(self.clock, self.channel)
        for instance in self.instances:
            instance.fatal_text = DEADLY

    def make(self, target=DEADLY, is_idempotent=True, exchange=None, **fields):
        forwarder = self.make_forwarder(make_route(is_idempotent), **fields)
        forwarder._request.target = target
        forwarder._quarantine = exchange or self.quarantine
        return forwarder

    def ask(self, target=DEADLY, **fields):
        return self.make(target, **fields).run()

    def count_crashes(self):
        return sum(len(item.crashes) for item in self.instances)

    def end_upstream(self, target, number):
        """Record the crash of an upstream during a request, as a peer's report."""
        fingerprint = self.make(target)._get_fingerprint()
        instance = self.instances[number].describe()
        self.quarantine.record_end(fingerprint, instance, "q")

    def get_state(self, target=DEADLY):
        return self.quarantine.get_state(self.make(target)._get_fingerprint())


class CrashTest(QuarantineCase):
    def test_lookup_crashes_two_upstreams_and_is_refused_from_then_on(self):
        """One such lookup crashed an upstream for each attempt of its caller."""
        first = self.ask()
        self.assertEqual((first.status, first.reason), (502, "quarantined"))
        self.assertEqual(self.count_crashes(), 2)
        with self.assertLogs("damaskdyke.gateway", "WARNING") as logs:
            again = self.ask()
        self.assertEqual((again.status, again.reason), (503, "quarantined"))
        self.assertGreater(again.retry_after_ms, 50_000)
        self.assertEqual(logs.records[0].getMessage(), "request-quarantined")
        self.assertEqual(self.count_crashes(), 2)
        self.assertEqual(self.ask("/p/harmless").status, 200)

    def test_order_is_recorded_too(self):
        for expected in (502, 502, 503):
            answer = self.ask(is_idempotent=False, body=b"impeller")
            self.assertEqual(answer.status, expected)
        self.assertEqual(self.count_crashes(), 2)
        other = self.make(is_idempotent=False, body=b"other")
        self.assertIs(
            self.quarantine.get_state(other._get_fingerprint()), QuarantineState.CLEAR
        )

    def test_crash_on_a_reused_connection_counts(self):
        """Most requests go over connections that carried others."""
        for _ in range(20):
            self.ask("/p/harmless")
        self.ask()
        self.assertEqual(self.count_crashes(), 2)
        self.assertIs(self.get_state(), QuarantineState.QUARANTINED)

    def test_fleet_is_told_before_the_request_is_sent_again_or_answered(self):
        """The next attempt arrives at another proxy right after the answer."""
        seen = []
        send_to = forwarding.RequestForwarder._send_to

        def record_and_send(forwarder, choice):
            seen.append(len(self.channel.sent))
            send_to(forwarder, choice)

        with mock.patch.object(
            forwarding.RequestForwarder, "_send_to", record_and_send
        ):
            self.ask()
        self.assertEqual(seen, [0, 1])
        self.assertEqual(len(self.channel.sent), 2)
        self.assertEqual(len({report.upstream for report in self.channel.sent}), 2)
        self.assertEqual({report.born for report in self.channel.sent}, {1})

    def test_several_sends_to_one_upstream_count_as_one_crash(self):
        """Requests in progress at one upstream that crashes are mostly harmless."""
        self.view.by_service["desk"] = self.view.by_service["desk"][:1]
        self.upstream.release = threading.Event()
        self.addCleanup(self.upstream.release.set)
        forwarders = [self.make("/p/popular") for _ in range(2)]
        threads = [threading.Thread(target=item.run) for item in forwarders]
        for thread in threads:
            thread.start()
        wait_for(lambda: len(self.upstream.runs) == 2, "both requests")
        self.upstream.crash()
        for thread in threads:
            thread.join()
        self.assertIs(self.get_state("/p/popular"), QuarantineState.SUSPECT)

    def test_upstream_that_restarts_under_its_id_counts_again(self):
        self.view.by_service["desk"] = self.view.by_service["desk"][:1]
        self.ask()
        self.upstream.restart()
        instances = {"u1": self.upstream.describe()}
        self.view = build_catalogue(2, make_rules(make_route()), instances)
        self.assertEqual(self.ask().status, 502)
        self.assertEqual(self.ask().status, 503)
        self.assertEqual(self.count_crashes(), 2)

    def test_crash_is_a_fault_of_the_upstream_also_on_a_reused_connection(self):
        """Otherwise no other proxy would know that the upstream is gone."""
        for _ in range(20):
            self.ask("/p/harmless")
        self.ask()
        failed = [x for x in self.gossip.reports if x.outcome is Outcome.FAILED]
        self.assertEqual(len(failed), 2)


class EvidenceTest(QuarantineCase):
    """Requests that broke in another way must not become suspect."""

    upstreams = 1

    def check_clear(self, target="/p/x"):
        self.assertIs(self.get_state(target), QuarantineState.CLEAR)
        self.assertFalse(self.quarantine.is_active)

    def test_reset_of_an_upstream_that_listens_is_no_evidence(self):
        self.upstream.behaviour = Behaviour.RESET
        self.assertEqual(self.ask("/p/x").status, 502)
        self.check_clear()
        # The attempted connection is used by the next request.
        self.upstream.behaviour = Behaviour.GOOD
        self.ask("/p/x")
        self.assertEqual(self.upstream.connections, 2)

    def test_every_reset_of_an_upstream_that_listens_is_a_fault(self):
        """The attempted connection counted as used, and its reset as an idle end."""
        self.view = build_catalogue(
            1, make_rules(make_route()), {"u1": self.upstream.describe()}
        )
        self.upstream.behaviour = Behaviour.RESET
        for _ in range(4):
            self.ask("/p/x", is_idempotent=False)
        outcomes = [report.outcome for report in self.gossip.reports]
        self.assertEqual(outcomes.count(Outcome.FAILED), 4)

    def test_end_within_a_reply_is_no_evidence(self):
        self.upstream.behaviour = Behaviour.CUT
        self.upstream.sent_bytes = 4
        with mock.patch.object(pool.ConnectionPool, "is_refused") as is_refused:
            self.ask("/p/x")
        is_refused.assert_not_called()
        self.check_clear()

    def test_idle_connection_that_the_upstream_had_closed_is_no_evidence(self):
        """The request never reached the upstream, which ended before."""
        self.ask("/p/x")
        self.upstream.crash()
        # The end of the connection arrives after the proxy has chosen it.
        with mock.patch.object(pool, "is_readable", return_value=False):
            self.ask("/p/x")
        self.check_clear()

    def test_refused_first_connection_is_no_evidence(self):
        self.upstream.crash()
        self.assertEqual(self.ask("/p/x").status, 503)
        self.check_clear()

    def test_no_fingerprint_is_computed_while_nothing_is_recorded(self):
        """The digest of bodies would cost every proxy time at every request."""
        with mock.patch.object(forwarding, "make_fingerprint") as compute:
            self.ask("/p/x")
            self.ask("/p/x", is_idempotent=False, body=b"x" * 100)
            self.upstream.behaviour = Behaviour.MUTE
            self.ask("/p/x", deadline_ms=100)
        compute.assert_not_called()


class SuspectTest(QuarantineCase):
    def test_suspect_goes_to_an_idle_upstream(self):
        """Its crash would end the requests of others in progress there."""
        self.end_upstream("/p/x", 3)
        for instance in self.instances[1:]:
            self.dispatcher._in_flight.add_own(instance.name, 1)
        # The idle upstream is the slowest one, which others avoid.
        self.dispatcher._faults.get_estimate(
            "u1", 1, self.clock.now()
        ).duration_ms = 5_000.0
        self.ask("/p/x")
        self.assertEqual(sum(self.upstream.runs.values()), 1)

    def test_suspect_goes_to_a_busy_upstream_if_none_is_idle(self):
        self.end_upstream("/p/x", 3)
        for instance in self.instances:
            self.dispatcher._in_flight.add_own(instance.name, 1)
        self.assertEqual(self.ask("/p/x").status, 200)

    def test_suspect_is_not_hedged(self):
        """A hedge crashed a second upstream before the first crash was seen."""
        self.end_upstream("/p/x", 3)
        for instance in self.instances:
            instance.behaviour = Behaviour.MUTE
        with mock.patch.object(self.dispatcher, "spend_extra_send") as spend:
            self.ask("/p/x", deadline_ms=900)
        spend.assert_not_called()
        self.assertEqual(sum(sum(x.runs.values()) for x in self.instances), 1)

    def test_good_response_clears_and_is_reported(self):
        """A popular lookup in progress at a crash must remain served."""
        self.end_upstream("/p/x", 2)
        self.end_upstream("/p/y", 2)
        self.assertEqual(self.ask("/p/x").status, 200)
        self.assertIs(self.get_state("/p/x"), QuarantineState.CLEAR)
        self.assertIs(self.get_state("/p/y"), QuarantineState.SUSPECT)
        (report,) = [item for item in self.channel.sent if item.upstream is None]
        self.assertEqual(report.fingerprint, self.make("/p/x")._get_fingerprint())
        self.ask("/p/x")
        self.assertEqual(len(self.channel.sent), 3)

    def test_error_reply_does_not_clear(self):
        self.end_upstream("/p/x", 2)
        for instance in self.instances:
            instance.behaviour = Behaviour.ERROR
        self.ask("/p/x", is_idempotent=False)
        self.assertIs(self.get_state("/p/x"), QuarantineState.SUSPECT)


class QueueTest(QuarantineCase):
    def quarantine_target(self, target="/p/x"):
        self.end_upstream(target, 2)
        self.end_upstream(target, 3)

    def suspect_target(self, target):
        self.end_upstream(target, 2)

    def test_quarantined_request_is_refused_before_it_waits(self):
        """It would take a turn of the queue from requests that can be served."""
        self.quarantine_target()
        for is_idempotent in (True, False):
            with (
                mock.patch.object(self.dispatcher, "has_queued_ahead") as ask_queue,
                mock.patch.object(
                    forwarding.RequestForwarder, "_await_turn"
                ) as await_turn,
            ):
                answer = self.ask("/p/x", is_idempotent=is_idempotent)
            self.assertEqual(answer.kind, AnswerKind.REFUSED)
            ask_queue.assert_not_called()
            await_turn.assert_not_called()

    def test_report_during_the_wait_for_a_slot_stops_the_request(self):
        """A request in a queue was sent although the fleet knew what it does."""
        for instance in self.instances:
            for _ in range(6):
                self.dispatcher._in_flight.add_own(instance.name, 1)
        enqueue = self.dispatcher.enqueue

        def enqueue_and_report(service, waiter):
            enqueue(service, waiter)
            self.quarantine_target()

        with mock.patch.object(self.dispatcher, "enqueue", enqueue_and_report):
            answer = self.ask("/p/x")
        self.assertEqual((answer.status, answer.reason), (503, "quarantined"))
        self.assertFalse(self.dispatcher._scheduler.get_service("desk").queue)

    def test_report_while_a_connection_is_opened_stops_the_request(self):
        acquire = self.pool.acquire

        def acquire_and_report(*arguments):
            self.quarantine_target()
            return acquire(*arguments)

        with mock.patch.object(self.pool, "acquire", acquire_and_report):
            answer = self.ask("/p/x")
        self.assertEqual((answer.status, answer.reason), (503, "quarantined"))
        self.assertEqual(self.gossip.reports[-1].in_flight, 0)

    def test_report_before_a_hedge_stops_only_the_hedge(self):
        for number, report in enumerate((self.quarantine_target, self.suspect_target)):
            with self.subTest(report=report):
                self.check_hedge(f"/p/x{number}", report)

    def check_hedge(self, target, report):
        """Check that a report while the hedge's connection opens stops the hedge."""
        release = threading.Event()
        self.addCleanup(release.set)
        for instance in self.instances:
            instance.release = release
        acquire = self.pool.acquire
        calls = []

        def acquire_and_report(*arguments):
            calls.append(arguments)
            if len(calls) == 2:
                report(target)
                release.set()
            return acquire(*arguments)

        with mock.patch.object(self.pool, "acquire", acquire_and_report):
            forwarder = self.make(target)
            answer = forwarder.run()
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(calls), 2)
        # The upstream may not have read the hedge yet, so that its runs tell nothing.
        self.assertEqual(forwarder._send_count, 1)
