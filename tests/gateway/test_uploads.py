"""Tests of uploads beside other requests, and of upstreams that crash with uploads."""

import threading
from dataclasses import replace
from unittest import mock

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from damaskdyke.core.clock import ManualClock
from damaskdyke.dispatch.outcomes import Outcome, SendKind
from damaskdyke.dispatch.selection import SelectionCriteria
from damaskdyke.dispatch.upload_load import (
    INITIAL_LIMIT_BYTES,
    KILOBYTE,
    MEGABYTE,
    MIN_UNRESERVED_BYTES,
)
from damaskdyke.fleet.gen.fleet.ttypes import UpstreamNews
from damaskdyke.fleet.reports import (
    LoadReport,
    Urgency,
    decode_report,
    encode_report,
    is_for_every_zone,
)
from damaskdyke.gateway.dispatcher import Dispatcher, Waiter
from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.gateway.pool import ConnectionPool
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
from damaskdyke.workspaces.fairness import make_rank
from tests.gateway.cases import SETTINGS, GatewayCase, RecordingGossip, make_route

# Does not fit into the buffers of a connection.
LONG_BODY = b"one impeller, not the other\n" * 1_000_000
LARGE = 512 * KILOBYTE
PEER = "10.0.0.9"


def make_upload(body_bytes=LARGE, is_urgent=False):
    return SelectionCriteria(False, is_urgent, body_bytes=body_bytes)


class UploadCase(GatewayCase):
    """Runs uploads in threads; ``answers`` are theirs in the order of their ends."""

    def setUp(self):
        super().setUp()
        self.answers = []
        self.upstream.body_release = threading.Event()
        self.upstream.release = threading.Event()
        self.addCleanup(self.upstream.release.set)
        self.addCleanup(self.upstream.body_release.set)

    def start_upload(self, body=LONG_BODY, deadline_ms=20_000):
        route = make_route(is_idempotent=False, timeout_ms=20_000)
        forwarder = self.make_forwarder(route, body=body, deadline_ms=deadline_ms)
        thread = threading.Thread(target=lambda: self.answers.append(forwarder.run()))
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def count_bytes(self):
        return self.dispatcher.count_upload_bytes()

    def count_queued(self):
        return len(self.dispatcher._scheduler.get_service("desk").queue)

    def get_limit(self, dispatcher=None):
        uploads = (dispatcher or self.dispatcher)._uploads
        return uploads.get_limit("desk", self.clock.now())


class HalfWrittenTest(UploadCase):
    """An upstream reads an upload slowly, so that it stays half written."""

    def setUp(self):
        super().setUp()
        self.upstream.release.set()
        self.thread = self.start_upload()
        self.assertTrue(self.upstream.body_begun.wait(5))

    def test_other_requests_to_the_same_upstream_are_served_meanwhile(self):
        """A write under a lock, or in a reserved slot, would keep them waiting."""
        for _ in range(10):
            self.assertEqual(self.lookup().status, 200)
            self.assertEqual(self.order().status, 200)
        self.assertEqual((self.answers, self.count_bytes()), ([], len(LONG_BODY)))
        self.upstream.body_release.set()
        self.thread.join(10)
        self.assertEqual(self.answers[0].status, 200)
        self.assertEqual(self.upstream.bodies[-1], LONG_BODY)
        self.assertEqual(self.count_bytes(), 0)

    def test_reserved_slot_is_left_to_short_orders(self):
        """Uploads took all slots of an upstream, those for urgent requests too."""
        for _ in range(4):
            self.start_upload(b"x" * MIN_UNRESERVED_BYTES, deadline_ms=4_000)
        wait_for(lambda: self.count_queued() == 2, "waits")
        self.assertEqual(self.dispatcher._in_flight.get_own("u1"), 3)
        self.assertEqual(self.order().status, 200)

    def test_upload_below_the_limit_takes_a_reserved_slot(self):
        """An upstream of two slots ran one small upload at a time."""
        for _ in range(4):
            self.start_upload(b"x" * (MIN_UNRESERVED_BYTES - 1), deadline_ms=4_000)
        wait_for(lambda: self.dispatcher._in_flight.get_own("u1") == 5, "sends")
        self.assertEqual(self.count_queued(), 0)

    def test_time_of_the_write_is_no_stall(self):
        """An upload that was written slowly made its upstream a suspect."""
        self.thread, earlier = None, self.thread
        self.upstream.body_release.set()
        earlier.join(10)
        self.upstream.body_release.clear()
        self.upstream.body_begun.clear()
        self.clock = ManualClock(self.clock.now())
        self.upstream.release.clear()
        self.start_upload()
        self.assertTrue(self.upstream.body_begun.wait(5))
        self.clock.advance(2_000)
        self.upstream.body_release.set()
        wait_for(lambda: len(self.upstream.runs) > 1, "the run")
        self.upstream.release.set()
        wait_for(lambda: len(self.answers) > 1, "the answer")
        outcomes = [report.outcome for report in self.gossip.reports]
        self.assertNotIn(Outcome.STALLED, outcomes)


class NeverReadTest(UploadCase):
    upstreams = 2

    def test_half_written_upload_ends_at_its_deadline_and_is_not_sent_again(self):
        """A second send would run the order twice if the first is read after all."""
        other = self.instances[1]
        other.body_release = self.upstream.body_release
        self.start_upload(deadline_ms=400).join(10)
        self.assertIn(self.answers[0].kind, (AnswerKind.UNKNOWN, AnswerKind.LATE))
        begun = [item.body_begun.is_set() for item in self.instances]
        self.assertEqual(sorted(begun), [False, True])
        self.assertEqual(sum(item.connections for item in self.instances), 1)
        self.assertEqual(self.count_bytes(), 0)

    def test_half_written_upload_is_not_sent_again_after_a_reset(self):
        """There is time left for a second send, unlike at the deadline."""
        for item in self.instances:
            item.behaviour = Behaviour.BODY_RESET
            item.body_release = self.upstream.body_release
        thread = self.start_upload()
        begun = [item.body_begun for item in self.instances]
        wait_for(lambda: any(event.is_set() for event in begun), "the upload")
        self.upstream.body_release.set()
        thread.join(10)
        self.assertEqual(self.answers[0].kind, AnswerKind.UNKNOWN)
        self.assertEqual(sum(event.is_set() for event in begun), 1)


class CrashTest(UploadCase):
    """An upstream crashed with each new upload, as nothing limited them."""

    def setUp(self):
        super().setUp()
        self.upstream.body_release.set()
        self.upstream.behaviour = Behaviour.RESET
        self.start_again()

    def start_again(self):
        self.upstream.release.clear()
        count = len(self.upstream.runs) + 3
        self.threads = [self.start_upload(b"x" * MEGABYTE) for _ in range(3)]
        wait_for(lambda: len(self.upstream.runs) == count, "the runs")

    def end_runs(self):
        self.upstream.release.set()
        for thread in self.threads:
            thread.join(10)
        self.assertEqual({x.kind for x in self.answers}, {AnswerKind.UNKNOWN})
        self.assertEqual(max(self.upstream.runs.values()), 1)

    def test_limit_becomes_half_of_what_was_in_flight(self):
        self.upstream.__exit__()
        with self.assertLogs("damaskdyke.dispatch", "WARNING") as logged:
            self.end_runs()
        self.assertEqual(self.get_limit(), 3 * MEGABYTE // 2)
        lines = [x.fields for x in logged.records if x.msg == "upload-limit"]
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]["ended_bytes"], 3 * MEGABYTE)
        self.assertEqual(self.dispatcher.count_upload_limits(), 1)
        reported = [x for x in self.gossip.reports if x.ended_bytes is not None]
        self.assertEqual([x.ended_bytes for x in reported], [3 * MEGABYTE])

    def test_upstream_that_accepts_connections_has_not_crashed(self):
        self.end_runs()
        self.assertEqual(self.get_limit(), INITIAL_LIMIT_BYTES)

    def test_one_connection_attempt_serves_limit_and_quarantine(self):
        """Each piece of evidence would delay the answer by an attempt of its own."""
        check = ConnectionPool.is_refused
        for is_open in (True, False):
            with self.subTest(is_open=is_open):
                if not is_open:
                    self.answers.clear()
                    self.start_again()
                    self.upstream.__exit__()
                with mock.patch.object(
                    ConnectionPool, "is_refused", autospec=True, side_effect=check
                ) as is_refused:
                    self.end_runs()
                self.assertEqual(is_refused.call_count, len(self.threads))
        self.assertLess(self.get_limit(), INITIAL_LIMIT_BYTES)

    def test_refused_connection_of_a_later_request_is_evidence_too(self):
        """The port may close after the connections."""
        self.end_runs()
        self.upstream.__exit__()
        # Ends the connections that the checks have opened.
        self.pool.close_unused(set())
        self.start_upload(b"x" * LARGE, deadline_ms=200).join(10)
        self.assertEqual(self.get_limit(), 3 * MEGABYTE // 2)
        self.assertEqual(self.count_bytes(), 0, "the upload was not sent")

    def test_whole_fleet_learns_the_limit_from_one_crash(self):
        self.upstream.__exit__()
        self.end_runs()
        (report,) = (x for x in self.gossip.reports if x.ended_bytes is not None)
        self.assertTrue(is_for_every_zone(report))
        for is_same_zone in (True, False):
            other = Dispatcher(
                SETTINGS, RecordingGossip(), lambda: self.view, self.clock
            )
            passed = decode_report(encode_report(report))
            other.apply_reports(PEER, is_same_zone, [passed])
            self.assertEqual(self.get_limit(other), 3 * MEGABYTE // 2)


class BrokenReplyTest(UploadCase):
    def test_upstream_that_has_begun_to_reply_has_not_crashed_with_the_upload(self):
        """Any upstream that restarts within a reply would lower the limit."""
        self.upstream.body_release.set()
        self.upstream.behaviour = Behaviour.EARLY_RESET
        thread = self.start_upload(b"x" * 2 * MEGABYTE)
        wait_for(lambda: self.upstream.runs, "the begin of the reply")
        self.upstream.__exit__()
        self.upstream.release.set()
        thread.join(10)
        self.assertEqual(self.answers[0].kind, AnswerKind.UNKNOWN)
        self.assertEqual(self.get_limit(), INITIAL_LIMIT_BYTES)


class ReportTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.other = Dispatcher(
            SETTINGS, RecordingGossip(), lambda: self.view, self.clock
        )

    def pass_reports(self, is_same_zone=True):
        reports = [decode_report(encode_report(x)) for x in self.gossip.reports]
        self.other.apply_reports(PEER, is_same_zone, reports)
        return self.other._uploads.count_bytes(("u1", 1), self.clock.now())

    def test_bytes_reach_the_peers_of_the_zone(self):
        """Each proxy of a zone would fill an upstream by itself."""
        self.dispatcher.begin_send("desk", make_upload())
        choice = self.dispatcher.begin_send("desk", make_upload())
        self.assertEqual(self.pass_reports(is_same_zone=False), 0)
        self.assertEqual(self.pass_reports(), 2 * LARGE)
        self.dispatcher.end_send(choice.instance, Outcome.GOOD, 5, LARGE)
        self.assertEqual(self.pass_reports(), LARGE)
        self.other.drop_peer(PEER)
        self.assertEqual(self.other._uploads.count_bytes(("u1", 1), 0), 0)

    def test_failed_upload_of_a_peer_counts_as_in_flight_at_a_crash(self):
        """The reports of peers may arrive before the own connections close."""
        for outcome, count in ((Outcome.PENDING, 3 * LARGE), (Outcome.FAILED, 0)):
            in_flight = 1 if count else 0
            report = LoadReport("u1", 1, in_flight, outcome, 0, body_bytes=count)
            self.dispatcher.apply_reports(PEER, True, [report])
        self.dispatcher.record_refused_connection(self.upstream.describe())
        limit = self.dispatcher._uploads.get_limit("desk", self.clock.now())
        self.assertEqual(limit, MEGABYTE)

    def test_reports_of_small_requests_do_not_grow(self):
        small = make_upload(16 * KILOBYTE - 1)
        choice = self.dispatcher.begin_send("desk", make_upload())
        self.dispatcher.begin_send("desk", small)
        self.dispatcher.end_send(choice.instance, Outcome.GOOD, 5, small.body_bytes)
        counts = [report.body_bytes for report in self.gossip.reports]
        self.assertEqual(counts, [LARGE, None, None])

    def test_report_of_a_stall_renews_the_count(self):
        """The count of a long upload expired at the peers."""
        choice = self.dispatcher.begin_send("desk", make_upload())
        self.dispatcher.record_stall(choice.instance, 500, LARGE)
        self.assertEqual(self.gossip.reports[-1].body_bytes, LARGE)

    def test_change_near_the_limit_is_reported_at_once(self):
        """Peers send uploads to the same upstream until they know of the others."""
        self.dispatcher.begin_send("desk", make_upload())
        report = LoadReport("u1", 1, 0, Outcome.PENDING, 0, ended_bytes=2 * MEGABYTE)
        self.dispatcher.apply_reports(PEER, False, [report])
        self.dispatcher.begin_send("desk", make_upload())
        self.assertEqual(self.gossip.urgencies[-2:], [Urgency.SOON, Urgency.NOW])

    def test_peer_of_the_earlier_version_understands_a_report(self):
        class EarlierReport(UpstreamNews):
            thrift_spec = UpstreamNews.thrift_spec[:13]

        def write(report):
            buffer = TMemoryBuffer()
            report.write(TCompactProtocolAccelerated(buffer, fallback=True))
            return buffer.getvalue()

        def read(kind, data):
            report = kind()
            report.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
            return report

        report = LoadReport("u1", 1, 1, Outcome.PENDING, 0, SendKind.FIRST)
        small = encode_report(report)
        report.body_bytes, report.ended_bytes = 1 << 40, 5
        large = encode_report(report)
        earlier = read(EarlierReport, write(large))
        self.assertEqual((earlier.upstream, earlier.in_flight), ("u1", 1))
        self.assertIsNone(earlier.body_bytes)
        self.assertEqual(decode_report(read(UpstreamNews, write(large))), report)
        names = [field[2] for field in EarlierReport.thrift_spec[1:]]
        earlier = EarlierReport(*[getattr(small, name) for name in names])
        self.assertEqual(write(earlier), write(small), "of a small request")


class QueueTest(GatewayCase):
    """Requests behind an upload in the queue waited for its upstream to have room."""

    def setUp(self):
        super().setUp()
        report = LoadReport("u1", 1, 0, Outcome.PENDING, 0, ended_bytes=2 * MEGABYTE)
        self.dispatcher.apply_reports(PEER, False, [report])
        self.running = self.dispatcher.begin_send("desk", make_upload(MEGABYTE))
        self.upload = self.put(0, is_large=True)

    def put(self, priority, is_large=False):
        waiter = Waiter(make_rank(priority), is_large=is_large)
        self.dispatcher.enqueue("desk", waiter)
        return waiter

    def begin(self, waiter):
        criteria = make_upload(LARGE if waiter.is_large else 0)
        return self.dispatcher.begin_queued_send("desk", waiter, criteria)

    def has_ahead(self, is_large=False):
        return self.dispatcher.has_queued_ahead("desk", make_rank(2), is_large=is_large)

    def test_small_request_passes_an_upload_that_no_upstream_may_take(self):
        self.assertIsNone(self.begin(self.upload))
        self.assertFalse(self.has_ahead())
        self.assertTrue(self.has_ahead(is_large=True))
        lookup = self.put(2)
        self.assertTrue(self.has_ahead())
        self.assertIsNotNone(self.begin(lookup))

    def test_small_request_is_woken_when_an_upload_finds_no_upstream(self):
        lookup = self.put(2)
        self.assertIsNone(self.begin(lookup), "the upload has not tried yet")
        self.assertFalse(lookup.event.is_set(), "it would try without a pause")
        self.begin(self.upload)
        self.assertTrue(lookup.event.is_set())

    def test_upload_that_can_be_sent_goes_first(self):
        self.begin(self.upload)
        lookup = self.put(2)
        instance = self.running.instance
        self.dispatcher.end_send(instance, Outcome.GOOD, 5, MEGABYTE)
        self.assertTrue(self.has_ahead())
        self.assertIsNone(self.begin(lookup))
        self.assertTrue(self.upload.event.is_set())
        self.assertIsNotNone(self.begin(self.upload))
        self.assertIsNotNone(self.begin(lookup))


class RestrictedQueueTest(GatewayCase):
    """An upload below 1 MB may be urgent, but its workspace is above its share."""

    def setUp(self):
        super().setUp()
        scheduler = self.dispatcher._scheduler
        scheduler.is_restricted = lambda service, rank, name, now: name == "hot"
        for _ in range(3):
            self.dispatcher.begin_send("desk", make_upload(0))
        self.first = self.put("hot", is_large=True)

    def put(self, workspace, is_large):
        waiter = Waiter(make_rank(0), workspace, is_urgent=True, is_large=is_large)
        self.dispatcher.enqueue("desk", waiter)
        return waiter

    def begin(self, waiter):
        criteria = make_upload(LARGE if waiter.is_large else 0, is_urgent=True)
        criteria = replace(criteria, workspace=waiter.workspace)
        return self.dispatcher.begin_queued_send("desk", waiter, criteria)

    def test_urgent_requests_of_other_workspaces_take_the_reserved_slot(self):
        """They waited for the upload, which waited for a slot that is not reserved."""
        for is_large in (False, True):
            with self.subTest(is_large=is_large):
                other = self.put("cold", is_large)
                self.assertIsNone(self.begin(self.first))
                choice = self.begin(other)
                self.assertIsNotNone(choice)
                self.dispatcher.end_send(
                    choice.instance, Outcome.GOOD, 5, LARGE if is_large else 0
                )
