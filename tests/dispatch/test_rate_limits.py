"""Tests of the rate limits that upstreams state in their replies."""

import unittest

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
