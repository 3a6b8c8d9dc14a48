"""Tests of the exchange of the zones' rates of workspaces, over UDP and in part."""

import unittest
from unittest import mock

from damaskdyke.core.clock import Clock
from damaskdyke.fleet.gen.fleet.ttypes import News, WorkspaceRate
from damaskdyke.fleet.gossip import GossipChannel
from damaskdyke.fleet.members import FleetMembers
from damaskdyke.fleet.messages import DatagramError, decode_datagram, encode_datagram
from damaskdyke.fleet.zone_rates import (
    ALONE_SETTLED_MS,
    ANNOUNCERS_PER_ZONE,
    COUNTING_MS,
    RATES_PER_DATAGRAM,
    SETTLED_MS,
    ZONE_SIZE_RETENTION_MS,
    ZoneRateExchange,
    ZoneSizeMemory,
    split_rates,
)
from damaskdyke.testbed.networks import reserve_network
from damaskdyke.testbed.processes import wait_for
from tests.fleet.settings import make_settings

GOSSIP_PORT = 17_710


class RecordingQuotas:
    """Counts of one proxy that announce fixed rates and record those received."""

    def __init__(self):
        self.has_quotas = True
        self.rates = []
        self.fleets = []
        self.received = []

    def update_quotas(self, fleet):
        self.fleets.append(fleet)
        return self.rates

    def record_zone_rates(self, zone, rates):
        self.received.append((zone, rates))


class LaterClock(Clock):
    """Clock that can be set forward, past the time in which nothing is announced."""

    offset_ms = 0

    def now(self):
        return super().now() + self.offset_ms


class ZoneRateExchangeTest(unittest.TestCase):
    def setUp(self):
        self.network = self.enterContext(reserve_network())
        self.clock = LaterClock()
        self.fleet = []

    def start(self, number, zone):
        ip = f"{self.network}.{number}"
        settings = make_settings(self.network, number, zone, GOSSIP_PORT)
        gossip = GossipChannel(settings, number, FleetMembers(ip, zone), self.clock)
        quotas = RecordingQuotas()
        exchange = ZoneRateExchange(gossip, quotas, self.clock)
        self.fleet.append((gossip, quotas, exchange))
        self.enterContext(gossip)

    def start_fleet(self, zones):
        for number, zone in enumerate(zones):
            self.start(number + 1, zone)
        for gossip, _, _ in self.fleet:
            wait_for(
                lambda gossip=gossip: gossip.count_proxies() == len(zones),
                "the whole fleet",
            )

    def announce(self):
        """Let every proxy update twice, which includes one announcement."""
        for _, _, exchange in self.fleet:
            exchange.update()
            exchange.update()

    def test_every_proxy_of_the_other_zones_gets_the_rates(self):
        # Two members of another zone get them, and have to relay them.
        self.start_fleet("aaabbb")
        self.clock.offset_ms = COUNTING_MS
        for _, quotas, _ in self.fleet[:3]:
            quotas.rates = [("w", 2.5)]
        self.announce()
        for number in (3, 4, 5):
            received = self.fleet[number][1].received
            wait_for(lambda received=received: len(received) == 2, "both announcements")
            self.assertEqual(received, [("a", [("w", 2.5)])] * ANNOUNCERS_PER_ZONE)
        for number in (0, 1, 2):
            received = self.fleet[number][1].received
            wait_for(
                lambda received=received: len(received) == 2, "empty announcements"
            )
            self.assertEqual(received, [("b", [])] * ANNOUNCERS_PER_ZONE)

    def test_proxy_that_has_just_started_announces_nothing(self):
        # Its counts are too low, and the other zones would use what it does not know.
        self.start_fleet("ab")
        self.announce()
        self.clock.offset_ms = COUNTING_MS
        self.fleet[0][1].rates = [("w", 1.0)]
        self.announce()
        received = self.fleet[1][1].received
        wait_for(lambda: received, "the announcement")
        self.assertEqual(received, [("a", [("w", 1.0)])])

    def test_proxy_whose_counts_stand_still_announces_nothing(self):
        # The other zones used what it had not counted.
        self.start_fleet("ab")
        self.clock.offset_ms = COUNTING_MS
        quotas = self.fleet[0][1]
        quotas.rates = [("w", 1.0)]
        with mock.patch.object(GossipChannel, "has_current_counts", new=False):
            self.announce()
        quotas.rates = [("w", 2.0)]
        self.announce()
        received = self.fleet[1][1].received
        wait_for(lambda: received, "the announcement")
        self.assertEqual(received, [("a", [("w", 2.0)])])

    def describe_zone(self, number=0):
        gossip, quotas, exchange = self.fleet[number]
        exchange.update()
        return quotas.fleets[-1].is_size_known

    def test_only_proxy_of_its_zone_is_known_after_a_while(self):
        # It used a fortieth of its zone's share for ever.
        self.start_fleet("ab")
        self.assertFalse(self.describe_zone(1))
        self.clock.offset_ms = ALONE_SETTLED_MS
        self.assertTrue(self.describe_zone(1))

    def test_zone_is_known_when_the_first_quota_comes(self):
        # The burst of the first workspace with a quota was cut.
        self.start_fleet("aa")
        _, quotas, exchange = self.fleet[1]
        quotas.has_quotas = False
        exchange.update()
        self.clock.offset_ms = SETTLED_MS
        exchange.update()
        quotas.has_quotas = True
        self.assertTrue(self.describe_zone(1))

    def test_nothing_is_sent_without_quotas(self):
        self.start_fleet("ab")
        self.clock.offset_ms = COUNTING_MS
        for _, quotas, _ in self.fleet:
            quotas.has_quotas = False
        self.announce()
        for _, quotas, _ in self.fleet:
            self.assertEqual(quotas.fleets, [])

    def test_fleet_is_described_with_its_zones_and_the_size_of_this_one(self):
        self.start_fleet("aab")
        _, quotas, exchange = self.fleet[1]
        exchange.update()
        (fleet,) = quotas.fleets
        self.assertEqual(fleet.zones, {"a", "b"})
        self.assertEqual((fleet.zone_proxies, fleet.expected_proxies), (2, 2))
        # The fleet counts as unknown for some seconds.
        self.assertFalse(fleet.is_size_known)


class ZoneSizeMemoryTest(unittest.TestCase):
    def test_lost_proxies_count_for_some_time(self):
        # They may run on in another part of a partitioned zone.
        memory = ZoneSizeMemory()
        sizes = [memory.update(size, 0, now) for size, now in ((12, 0), (4, 1_000))]
        self.assertEqual(sizes, [12, 12])
        self.assertEqual(memory.update(4, 0, ZONE_SIZE_RETENTION_MS), 4)

    def test_proxies_that_left_do_not_count(self):
        # A zone that is made smaller in order would use a part of its share only.
        memory = ZoneSizeMemory()
        memory.update(12, 0, 0)
        self.assertEqual(memory.update(9, 3, 1_000), 9)


class MessageTest(unittest.TestCase):
    def make_datagram(self, rates):
        return News("10.0.0.1", "a", 1, 1, 1, workspace_rates=rates)

    def test_rates_are_split_over_datagrams(self):
        rates = [(f"w{number}", 1.0) for number in range(RATES_PER_DATAGRAM + 1)]
        self.assertEqual([len(group) for group in split_rates(rates)], [40, 1])
        # An empty announcement tells that the zone is in contact.
        self.assertEqual(split_rates([]), [[]])

    def test_full_datagram_stays_below_the_limit_of_a_packet(self):
        rates = [(f"workspace-{number}", 1.0) for number in range(RATES_PER_DATAGRAM)]
        (group,) = split_rates(rates)
        self.assertLess(len(encode_datagram(self.make_datagram(group))), 1_400)

    def test_unusable_rate_is_rejected(self):
        # A rate that is no number would end the shares of a workspace in the zone.
        for rate in (None, -1.0, float("nan"), float("inf")):
            datagram = self.make_datagram([WorkspaceRate("w", rate)])
            with self.subTest(rate=rate), self.assertRaises(DatagramError):
                decode_datagram(encode_datagram(datagram))
        datagram = self.make_datagram([WorkspaceRate(None, 1.0)])
        with self.assertRaises(DatagramError):
            decode_datagram(encode_datagram(datagram))
