import threading
import unittest
from concurrent.futures import ThreadPoolExecutor, wait

from damaskdyke.fleet.members import (
    HUB_TIMEOUT_MS,
    LARGE_ZONE_MEMBER_TIMEOUT_MS,
    LARGEST_SIZE_RETENTION_MS,
    MIN_HUB_ZONE_MEMBERS,
    NAMED_MEMBER_MAX_AGE_MS,
    NAMED_PER_REMOTE_ZONE,
    ZONE_MEMBER_TIMEOUT_MS,
    FleetMembers,
    Member,
)


class FleetMembersTest(unittest.TestCase):
    def setUp(self):
        self.members = FleetMembers("10.0.0.1", "a")

    def record_message(self, ip, zone="a", boot=1, now=0):
        return self.members.record_message(ip, zone, boot, 1, False, now)

    def test_silent_member_of_the_zone_is_lost(self):
        self.record_message("10.0.0.2")
        self.record_message("10.0.0.3", "b")
        lost = self.members.expire(ZONE_MEMBER_TIMEOUT_MS + 1)
        self.assertEqual([member.ip for member in lost], ["10.0.0.2"])

    def test_zone_is_whole_while_another_thread_lists_it(self):
        """A proxy that saw a part of its zone took itself for the first reader."""
        is_listing, may_go_on = threading.Event(), threading.Event()

        class PausingMember(Member):
            @property
            def zone(self):
                is_listing.set()
                may_go_on.wait(1)
                return "a"

            @zone.setter
            def zone(self, value):
                pass

        for number in range(2, 6):
            self.record_message(f"10.0.0.{number}")
        self.members._add(PausingMember("10.0.0.9", "a", 1, 0))
        with ThreadPoolExecutor(2) as pool:
            pool.submit(self.members.list_zone)
            self.assertTrue(is_listing.wait(5))
            listed = pool.submit(self.members.list_zone)
            # The second one answers now if it does not wait for the first.
            wait([listed], 0.2)
            may_go_on.set()
            self.assertEqual(len(listed.result()), 5)

    def test_restart_of_a_member_is_reported(self):
        self.assertFalse(self.record_message("10.0.0.2"))
        self.assertFalse(self.record_message("10.0.0.2"))
        self.assertTrue(self.record_message("10.0.0.2", boot=2))

    def test_largest_fleet_size_counts_until_its_retention_ends(self):
        for number in range(35):
            self.record_message(f"10.0.1.{number}")
        self.assertEqual(self.members.count_proxies(0), 36)
        self.members.expire(60_000)
        self.assertEqual(self.members.count_proxies(60_000), 36)
        self.assertEqual(self.members.count_proxies(LARGEST_SIZE_RETENTION_MS + 1), 1)

    def fill_zone(self, capacity=1_000, now=0, is_hub=False):
        for number in range(MIN_HUB_ZONE_MEMBERS):
            ip = f"10.0.1.{number}"
            self.members.record_message(ip, "a", 1, 1, False, now, capacity, is_hub)

    def add_hub(self, ip, capacity, now=0):
        self.members.record_message(ip, "a", 1, 1, False, now, capacity, True)

    def test_small_zone_has_no_hub(self):
        self.add_hub("10.0.0.2", 2_000)
        self.assertIsNone(self.members.select_hub(1_000, 0))
        self.assertFalse(self.members.is_hub(3_000, HUB_TIMEOUT_MS))

    def test_recent_hub_with_the_highest_capacity_is_selected(self):
        self.fill_zone(2_000)
        self.add_hub("10.0.0.8", 1_500)
        self.add_hub("10.0.0.9", 2_000)
        self.assertEqual(self.members.select_hub(1_000, 0).ip, "10.0.0.9")
        later = HUB_TIMEOUT_MS + 1
        self.fill_zone(2_000, now=later)
        self.add_hub("10.0.0.8", 1_500, later)
        self.assertEqual(self.members.select_hub(1_000, later).ip, "10.0.0.8")
        self.assertFalse(self.members.is_hub(1_000, later))

    def test_proxy_that_outranks_the_hub_becomes_the_hub(self):
        self.fill_zone()
        self.add_hub("10.0.0.9", 1_500)
        self.assertIsNone(self.members.select_hub(2_000, 0))
        self.assertTrue(self.members.is_hub(2_000, 0))
        self.assertFalse(self.members.is_hub(1_000, 0))

    def test_first_hub_waits_for_the_heartbeat_of_another(self):
        self.fill_zone()
        self.assertFalse(self.members.is_hub(2_000, 0))
        self.assertTrue(self.members.is_hub(2_000, HUB_TIMEOUT_MS))

    def test_equal_members_agree_on_the_hub(self):
        ips = [f"10.0.1.{number}" for number in range(MIN_HUB_ZONE_MEMBERS + 1)]
        hubs = set()
        for ip in ips:
            members = FleetMembers(ip, "a")
            for other in ips:
                if other != ip:
                    members.record_message(other, "a", 1, 1, False, 0, 1_000, True)
            hub = members.select_hub(1_000, 0)
            self.assertEqual(members.is_hub(1_000, 0), hub is None)
            hubs.add(ip if hub is None else hub.ip)
        self.assertEqual(len(hubs), 1)

    def test_member_of_a_large_zone_lives_while_lists_name_it(self):
        self.fill_zone()
        for now in range(0, 60_000, 5_000):
            for number in range(MIN_HUB_ZONE_MEMBERS):
                self.members.add_named(f"10.0.1.{number}", "a", now)
            self.assertEqual(self.members.expire(now), [])
        self.assertTrue(self.members.expire(now + LARGE_ZONE_MEMBER_TIMEOUT_MS + 1))

    def test_silent_member_is_not_named_to_others(self):
        self.fill_zone()
        now = NAMED_MEMBER_MAX_AGE_MS + 1
        self.record_message("10.0.0.2", now=now)
        self.members.add_named("10.0.0.3", "a", now)
        named = self.members.list_named("a", now)
        self.assertEqual([member.ip for member in named], ["10.0.0.2"])

    def test_all_of_the_asking_zone_and_some_of_the_others_are_named(self):
        for zone in "abc":
            for number in range(30):
                self.record_message(f"10.{ord(zone)}.0.{number}", zone)
        named = self.members.list_named("b", 0)
        counts = {zone: sum(m.zone == zone for m in named) for zone in "abc"}
        self.assertEqual(
            counts, {"a": NAMED_PER_REMOTE_ZONE, "b": 30, "c": NAMED_PER_REMOTE_ZONE}
        )

    def test_size_of_the_fleet_counts_members_that_only_their_zone_knows(self):
        self.record_message("10.0.0.2")
        self.record_message("10.0.1.1", "b")
        self.members.record_zone_size("b", 58, 0)
        self.members.record_zone_size("b", 40, 1)
        self.assertEqual(self.members.count_proxies(1), 2 + 58)
        self.members.record_zone_size("b", 40, LARGE_ZONE_MEMBER_TIMEOUT_MS + 2)
        later = LARGEST_SIZE_RETENTION_MS + 2
        self.assertEqual(self.members.count_proxies(later), 2 + 40)

    def test_own_address_is_no_member(self):
        self.members.add_named("10.0.0.1", "a", 0)
        self.assertEqual(self.members.count_proxies(0), 1)
