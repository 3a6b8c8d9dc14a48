"""Tests of the rate limits that upstreams state in their replies."""

import random
import unittest

from damaskdyke.dispatch.budgets import FleetSize
from damaskdyke.dispatch.rate_limits import (
    MAX_EQUAL_SHARES,
    LimitSharing,
    RateLimitTable,
    parse_rate_limit,
)
from damaskdyke.testbed.replay.patterns import patterns
from damaskdyke.testbed.replay.player import Policy, Replay

SEEDS = (1, 2, 3)


class RequestsOverStatedLimitTest(unittest.TestCase):
    """Upstreams got far more requests than the rate limit that they stated."""

    def check(self, name):
        over = []
        for seed in SEEDS:
            replay = Replay(patterns.get(name), Policy.PRODUCT, seed)
            replay.run()
            self.assertTrue(replay.limits)
            for limit in replay.limits:
                count = limit.count_most_in_window()
                if count > limit.allowed:
                    over.append((seed, limit.per_second, count))
        self.assertEqual(over, [], "seed, limit a second and requests in 4 s")

    def test_most_upstreams_state_a_limit(self):
        self.check("limited")

    def test_all_upstreams_state_a_limit(self):
        self.check("all-limited")

    def test_all_proxies_restart_meanwhile(self):
        self.check("limited-restart")

    def test_reports_reach_a_large_zone_late(self):
        self.check("large-zone-limited")


SIZE = FleetSize(zone_proxies=10, fleet_proxies=30)
HOME = LimitSharing(True, SIZE, report_delay_ms=10)
AWAY = LimitSharing(False, SIZE, report_delay_ms=10)


class RateLimitTableTest(unittest.TestCase):
    def setUp(self):
        self.table = RateLimitTable(random.Random(1))

    def count_sends(self, is_own, sharing, duration_ms, start_ms=0):
        """Send whenever the limit allows it, and return how often that was."""
        sends = 0
        for now in range(start_ms, start_ms + duration_ms):
            if self.table.may_send("u", 1, now):
                self.table.record_send("u", 1, is_own, sharing, now)
                sends += 1
        return sends

    def test_zones_share_the_limit(self):
        self.table.update("u", 1, 4.0, HOME, 0)
        home = self.count_sends(False, HOME, 20_000)
        self.table = RateLimitTable(random.Random(1))
        self.table.update("u", 1, 4.0, AWAY, 0)
        away = self.count_sends(False, AWAY, 20_000)
        self.assertLessEqual(home + 2 * away, 4.0 * 20 + 1)
        self.assertGreater(home + 2 * away, 4.0 * 20 * 0.8)

    def test_proxy_that_hears_of_no_other_sends_little(self):
        self.table.update("u", 1, 4.0, HOME, 0)
        sends = self.count_sends(True, HOME, 20_000)
        equal_share = 4.0 * 20 / SIZE.zone_proxies
        self.assertLessEqual(sends, MAX_EQUAL_SHARES * equal_share)

    def test_sends_that_crossed_delay_the_next_ones(self):
        self.table.update("u", 1, 2.0, HOME, 0)
        for _ in range(4):
            self.table.record_send("u", 1, False, HOME, 2_000)
        # Four intervals at three quarters of the limit.
        self.assertFalse(self.table.may_send("u", 1, 2_000 + 4 * 666 - 667))

    def test_upstream_that_accepts_nothing_is_still_asked_now_and_then(self):
        self.table.update("u", 1, 0.0, HOME, 0)
        self.assertIn(self.count_sends(False, HOME, 60_000), range(5, 16))

    def test_raised_limit_is_used_soon(self):
        self.table.update("u", 1, 0.1, HOME, 0)
        self.assertFalse(self.table.may_send("u", 1, 2_000))
        self.table.update("u", 1, 50.0, HOME, 2_000)
        self.assertTrue(self.table.may_send("u", 1, 2_200))

    def test_end_of_a_limit_is_reported_again_for_some_time(self):
        self.assertFalse(self.table.confirm_end("u", 1, 0))
        self.table.update("u", 1, 1.0, HOME, 0)
        self.assertTrue(self.table.update("u", 1, None, HOME, 5_000))
        self.assertTrue(self.table.may_send("u", 1, 5_000))
        reported = [self.table.confirm_end("u", 1, at) for at in (5_500, 6_100, 7_200)]
        self.assertEqual(reported, [False, True, True])
        self.assertFalse(self.table.confirm_end("u", 1, 20_000))

    def test_limit_is_confirmed_once_a_second(self):
        reported = [
            self.table.update("u", 1, 1.0, HOME, at) for at in (0, 300, 1_100, 1_200)
        ]
        self.assertEqual(reported, [True, False, True, False])

    def test_limit_belongs_to_one_incarnation(self):
        self.table.update("u", 1, 1.0, HOME, 0)
        self.assertFalse(self.table.may_send("u", 1, 1))
        self.assertTrue(self.table.may_send("u", 2, 1))
        self.assertIsNone(self.table.find("u", 2))

    def test_only_decimal_numbers_are_limits(self):
        for text, expected in (("1.2", 1.2), ("0", 0.0), (" 25 ", 25.0), ("3.", 3.0)):
            self.assertEqual(parse_rate_limit(text), expected)
        for text in (
            "",
            "-1",
            "nan",
            "inf",
            "1e3",
            "1_0",
            "1,5",
            "2 a second",
            "9" * 30,
        ):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_rate_limit(text)
