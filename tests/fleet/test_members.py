import unittest

from damaskdyke.fleet.members import (
    HUB_TIMEOUT_MS,
    LARGEST_SIZE_RETENTION_MS,
    MIN_HUB_ZONE_MEMBERS,
    ZONE_MEMBER_TIMEOUT_MS,
    FleetMembers,
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

    def fill_zone(self, capacity=1_000, now=0):
        for number in range(MIN_HUB_ZONE_MEMBERS):
            ip = f"10.0.1.{number}"
            self.members.record_message(ip, "a", 1, 1, False, now, capacity)

    def test_small_zone_has_no_hub(self):
        self.record_message("10.0.0.2")
        self.assertIsNone(self.members.select_hub(1_000, 0))

    def test_recent_member_with_the_highest_capacity_is_the_hub(self):
        self.fill_zone()
        self.members.record_message("10.0.0.9", "a", 1, 1, False, 0, 2_000)
        self.assertEqual(self.members.select_hub(1_000, 0).ip, "10.0.0.9")
        later = HUB_TIMEOUT_MS + 1
        self.fill_zone(now=later)
        self.assertNotEqual(self.members.select_hub(500, later).ip, "10.0.0.9")

    def test_hub_itself_selects_no_hub(self):
        self.fill_zone()
        self.assertIsNone(self.members.select_hub(2_000, 0))

    def test_equal_members_agree_on_the_hub(self):
        ips = [f"10.0.1.{number}" for number in range(MIN_HUB_ZONE_MEMBERS + 1)]
        hubs = set()
        for ip in ips:
            members = FleetMembers(ip, "a")
            for other in ips:
                if other != ip:
                    members.record_message(other, "a", 1, 1, False, 0, 1_000)
            hub = members.select_hub(1_000, 0)
            hubs.add(ip if hub is None else hub.ip)
        self.assertEqual(len(hubs), 1)

    def test_own_address_is_no_member(self):
        self.members.add_named("10.0.0.1", "a", 0)
        self.assertEqual(self.members.count_proxies(0), 1)
