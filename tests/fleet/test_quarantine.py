"""Tests that all proxies know of a request that crashes upstreams, over UDP."""

import unittest
from unittest import mock

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from damaskdyke.core.clock import Clock, ManualClock
from damaskdyke.dispatch.quarantine import QuarantineState
from damaskdyke.fleet import quarantine
from damaskdyke.fleet.gen.fleet.ttypes import News, RequestReport
from damaskdyke.fleet.gossip import GossipChannel
from damaskdyke.fleet.members import MIN_HUB_ZONE_MEMBERS, FleetMembers
from damaskdyke.fleet.messages import decode_datagram, encode_datagram
from damaskdyke.fleet.quarantine import REPEAT_DELAYS_MS, QuarantineExchange
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.networks import reserve_network
from damaskdyke.testbed.processes import wait_for
from tests.fleet.settings import make_settings

GOSSIP_PORT = 17_712
FINGERPRINT = bytes(range(16))


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.network = self.enterContext(reserve_network())
        self.fleet = []
        self.instances = [InstanceStandIn(f"u{number}").describe() for number in (1, 2)]

    def start(self, number, zone):
        ip = f"{self.network}.{number}"
        settings = make_settings(self.network, number, zone, GOSSIP_PORT)
        clock = Clock()
        gossip = GossipChannel(settings, number, FleetMembers(ip, zone), clock)
        exchange = QuarantineExchange(clock, gossip)
        self.fleet.append((gossip, exchange))
        self.enterContext(gossip)
        self.enterContext(exchange)

    def start_fleet(self, zones):
        for number, zone in enumerate(zones):
            self.start(number + 1, zone)
        for gossip, _ in self.fleet:
            wait_for(
                lambda gossip=gossip: gossip.count_proxies() == len(zones),
                "the whole fleet",
            )

    def record_ends(self, number=0):
        for instance in self.instances:
            self.fleet[number][1].record_end(FINGERPRINT, instance, "q1")

    def wait_for_state(self, state):
        for _, exchange in self.fleet:
            wait_for(
                lambda exchange=exchange: exchange.get_state(FINGERPRINT) is state,
                f"state {state.value}",
            )


class ReportTest(FleetCase):
    def test_reports_reach_every_proxy_of_all_zones(self):
        """A caller's next attempt, at a proxy of any zone, crashed another upstream."""
        self.start_fleet("aabbbbccc")
        self.record_ends()
        self.wait_for_state(QuarantineState.QUARANTINED)

    def test_reports_reach_a_large_zone_and_the_others_without_its_hub(self):
        """A hub that stands still would withhold them for up to 1.5 s."""
        size = MIN_HUB_ZONE_MEMBERS + 1
        self.start_fleet("a" * size + "bb")
        for gossip, _ in self.fleet:
            wait_for(lambda gossip=gossip: all(gossip.list_members()), "both zones")
        with mock.patch.object(GossipChannel, "_queue_for_relay") as relay:
            self.record_ends(size // 2)
            self.wait_for_state(QuarantineState.QUARANTINED)
        relay.assert_not_called()

    def test_crashes_that_proxies_of_several_zones_see_add_up(self):
        self.start_fleet("abc")
        self.fleet[0][1].record_end(FINGERPRINT, self.instances[0], "q1")
        self.wait_for_state(QuarantineState.SUSPECT)
        self.fleet[1][1].record_end(FINGERPRINT, self.instances[1], "q2")
        self.wait_for_state(QuarantineState.QUARANTINED)

    def test_good_response_clears_the_request_in_the_fleet(self):
        """Proxies without a response of their own would refuse it for a minute."""
        self.start_fleet("aabb")
        self.record_ends()
        self.wait_for_state(QuarantineState.QUARANTINED)
        self.fleet[3][1].record_good(FINGERPRINT, "q3")
        self.wait_for_state(QuarantineState.CLEAR)

    def test_lost_datagrams_are_repeated(self):
        """Loss of a single datagram left a proxy without the report for good."""
        self.start_fleet("aabb")
        gossip = self.fleet[0][0]
        send = gossip.send_to_fleet
        sent = []

        def lose_first(datagram):
            sent.append(datagram)
            if len(sent) > len(self.instances):
                send(datagram)

        gossip.send_to_fleet = lose_first
        self.record_ends()
        self.wait_for_state(QuarantineState.QUARANTINED)

    def test_proxy_that_starts_later_is_told(self):
        """A restarted proxy had no reports, and let two more upstreams crash."""
        with mock.patch.object(quarantine, "REPEAT_DELAYS_MS", ()):
            self.start_fleet("ab")
            self.record_ends()
            self.wait_for_state(QuarantineState.QUARANTINED)
            self.start(3, "b")
            self.wait_for_state(QuarantineState.QUARANTINED)


class RecordingChannel:
    """Keeps what is sent and relayed."""

    zone = "a"

    def __init__(self):
        self.handlers = []
        self.sent = []
        self.relayed = []

    def make_datagram(self):
        return News()

    def send_to_fleet(self, datagram):
        self.sent += datagram.requests

    def send_to_zone(self, datagram):
        self.relayed.append(datagram)


class RepeatTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.channel = RecordingChannel()
        self.exchange = self.enterContext(QuarantineExchange(self.clock, self.channel))
        self.instance = InstanceStandIn("u1").describe()

    def receive(self, zone, is_relayed=False, **fields):
        report = RequestReport(**{"fingerprint": FINGERPRINT, "age_ms": 0} | fields)
        datagram = News(
            ip="10.0.0.1", zone=zone, is_relayed=is_relayed, requests=[report]
        )
        self.exchange.receive(datagram, datagram.ip)

    def get_remaining_ms(self):
        return self.exchange.get_remaining_ms(FINGERPRINT)

    def test_report_of_a_process_that_was_suspended_carries_its_age(self):
        """Proxies would hold a request for a minute from a report of long ago."""
        self.exchange.record_end(FINGERPRINT, self.instance, "q1")
        self.clock.advance(5_000)
        wait_for(lambda: len(self.channel.sent) == 2, "the repeat")
        self.assertEqual([item.age_ms for item in self.channel.sent], [0, 5_000])
        wait_for(lambda: not self.exchange._is_repeating, "the end of the repeats")
        self.assertEqual(len(self.channel.sent), 2)

    def test_each_report_is_repeated_a_few_times(self):
        self.exchange.record_end(FINGERPRINT, self.instance, "q1")
        for number, delay_ms in enumerate(REPEAT_DELAYS_MS):
            self.clock.advance(1_000 + delay_ms - self.clock.now())
            wait_for(lambda n=number: len(self.channel.sent) == n + 2, "a repeat")
        wait_for(lambda: not self.exchange._is_repeating, "the end of the repeats")

    def test_lack_of_threads_fails_no_request_and_ends_no_repeats(self):
        """The thread that reports a crash is that of a caller's request."""
        with mock.patch.object(
            quarantine, "spawn_restarting", side_effect=RuntimeError("no thread")
        ):
            self.exchange.record_end(FINGERPRINT, self.instance, "q1")
        self.exchange.record_end(FINGERPRINT, InstanceStandIn("u2").describe(), "q1")
        self.clock.advance(REPEAT_DELAYS_MS[0])
        wait_for(lambda: len(self.channel.sent) == 4, "the repeats of both")

    def test_crash_is_not_repeated_after_a_good_response(self):
        self.exchange.record_end(FINGERPRINT, self.instance, "q1")
        self.exchange.record_good(FINGERPRINT, "q2")
        self.clock.advance(REPEAT_DELAYS_MS[0])
        wait_for(lambda: len(self.channel.sent) == 3, "a repeat")
        upstreams = [item.upstream for item in self.channel.sent]
        self.assertEqual(upstreams, ["u1", None, None])

    def test_proxy_that_asks_again_at_once_is_not_told_again(self):
        """The answer to a forged question would go to somebody else, many times."""
        self.receive("a", upstream="u1", born=1)
        question = News(ip="10.0.0.1", zone="a", wants_members=True)
        with mock.patch.object(self.channel, "send", create=True) as send:
            for _ in range(3):
                self.exchange.receive(question, question.ip)
            send.assert_called_once()
            self.clock.advance(quarantine.TOLD_AGAIN_MS)
            self.exchange.receive(question, question.ip)
            self.assertEqual(send.call_count, 2)

    def test_received_age_counts(self):
        self.receive("a", upstream="u1", born=1, age_ms=20_000)
        self.assertEqual(self.get_remaining_ms(), 40_000)

    def test_report_is_relayed_once_in_each_other_zone_and_not_sent_on(self):
        """Relays of relays would multiply with every proxy."""
        self.receive("a", upstream="u1", born=1)
        self.receive("b", True, upstream="u1", born=1)
        self.assertEqual(self.channel.relayed, [])
        self.receive("b", upstream="u1", born=1)
        self.assertEqual(len(self.channel.relayed), 1)
        self.assertEqual(self.channel.sent, [])

    def test_known_crash_is_not_sent_again(self):
        self.receive("a", upstream="u1", born=1)
        self.exchange.record_end(FINGERPRINT, self.instance, "q1")
        self.assertEqual(self.channel.sent, [])


class VersionTest(unittest.TestCase):
    def test_peer_of_the_earlier_version_ignores_the_reports(self):
        """A fleet in the middle of an update must keep its heartbeats."""

        class EarlierNews(News):
            thrift_spec = News.thrift_spec[:21]

        datagram = News("10.0.0.1", "a", 1, 2, 3)
        datagram.requests = [RequestReport(FINGERPRINT, "u1", 1, 5)]
        data = encode_datagram(datagram)
        self.assertEqual(decode_datagram(data).requests, datagram.requests)
        earlier = EarlierNews()
        earlier.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        self.assertEqual((earlier.ip, earlier.revision), ("10.0.0.1", 3))
        self.assertIsNone(earlier.requests)
