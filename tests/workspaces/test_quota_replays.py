"""Replays of a hot workspace beside small ones, each connected to two proxies."""

import contextlib
import dataclasses
import io
import unittest

from damaskdyke.core.management.runner import run
from damaskdyke.testbed.replay.patterns import HOT, patterns
from damaskdyke.testbed.replay.player import Policy, Replay


class HotQuotaTest(unittest.TestCase):
    def play(self, policy, seed=1):
        """Return the shares of small requests served and over quota, and the use."""
        pattern = dataclasses.replace(patterns.get("hot-quota"), duration_ms=10_000)
        replay = Replay(pattern, policy, seed)
        scores = replay.run()
        del scores[HOT]
        asked = sum(score.asked for score in scores.values())
        served = sum(score.in_goal + score.late for score in scores.values())
        over_quota = sum(score.over_quota for score in scores.values())
        return served / asked, over_quota / asked, replay.compute_quota_use()

    def test_product_keeps_the_bound_and_serves_small_workspaces(self):
        # A quota that is not counted over the fleet fails one of the two.
        for seed in (1, 2):
            served, over_quota, use = self.play(Policy.PRODUCT, seed)
            self.assertGreater(served, 0.95)
            self.assertLess(over_quota, 0.02)
            self.assertLessEqual(use, 1.0)

    def test_baselines_fail_in_different_ways(self):
        # A comparison in which every policy looks alike shows nothing.
        served, over_quota, use = self.play(Policy.NO_QUOTA)
        self.assertLess(served, 0.8)
        self.assertEqual(over_quota, 0)
        self.assertGreater(use, 1.0)
        served, over_quota, use = self.play(Policy.EQUAL_SHARES)
        self.assertGreater(over_quota, 0.5)
        self.assertLessEqual(use, 1.0)

    def test_replay_of_a_seed_repeats(self):
        self.assertEqual(self.play(Policy.PRODUCT), self.play(Policy.PRODUCT))

    def test_command_prints_a_row_for_each_policy(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            run(["experiment", "hot-quota", "--policy", "no-quota"])
        header, row = output.getvalue().splitlines()
        self.assertIn("worst small", header)
        self.assertEqual(row.split()[0], "no-quota")
