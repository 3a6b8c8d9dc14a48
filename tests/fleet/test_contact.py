"""Tests of how a proxy notices that the reports of its zone do not arrive."""

import unittest

from damaskdyke.fleet.contact import (
    DIRECT_ISOLATION_MS,
    DIRECT_SILENCE_MS,
    ISOLATION_MS,
    MAX_AVOIDANCE_MS,
    MIN_AVOIDANCE_MS,
    OWN_RELAY_TIMEOUT_MS,
    RELAY_TIMEOUT_MS,
    SILENCE_MS,
    ZoneContact,
)

HUB = "10.0.0.1"
OTHER = "10.0.0.2"


class HubTest(unittest.TestCase):
    def setUp(self):
        self.contact = ZoneContact(0)

    def test_hub_that_relays_is_used(self):
        for now in range(0, 5_000, 50):
            self.assertTrue(self.contact.may_use(HUB, now))
            self.contact.record_sent(HUB, now, now)
            self.contact.record_heard(now + 45)
            self.contact.record_relayed(now)
        self.assertIsNone(self.contact.find_silence(True, 5_000))

    def test_hub_that_relays_nothing_is_left_out(self):
        # Its reports were lost until it had been silent for 1.5 s.
        self.contact.record_sent(HUB, 0, 0)
        self.assertTrue(self.contact.may_use(HUB, RELAY_TIMEOUT_MS - 1))
        self.assertFalse(self.contact.may_use(HUB, RELAY_TIMEOUT_MS))
        later = RELAY_TIMEOUT_MS + MIN_AVOIDANCE_MS
        self.assertFalse(self.contact.may_use(HUB, later - 1))
        self.assertTrue(self.contact.may_use(HUB, later))

    def test_hub_that_fails_again_is_left_out_for_longer(self):
        # An overloaded hub got all reports again each second.
        now = longest = 0
        for _ in range(6):
            self.contact.record_sent(HUB, now, now)
            now += RELAY_TIMEOUT_MS
            self.assertFalse(self.contact.may_use(HUB, now))
            started_at = now
            while not self.contact.may_use(HUB, now):
                now += 50
            longest = max(longest, now - started_at)
        self.assertEqual(longest, MAX_AVOIDANCE_MS)

    def test_hub_that_relays_only_the_others_is_left_out_later(self):
        self.contact.record_sent(HUB, 0, 0)
        self.contact.record_heard(RELAY_TIMEOUT_MS)
        self.assertTrue(self.contact.may_use(HUB, RELAY_TIMEOUT_MS))
        self.contact.record_heard(OWN_RELAY_TIMEOUT_MS)
        self.assertFalse(self.contact.may_use(HUB, OWN_RELAY_TIMEOUT_MS))

    def test_lost_report_is_no_failure_if_a_later_one_returns(self):
        self.contact.record_sent(HUB, 0, 0)
        self.contact.record_sent(HUB, 40, 40)
        self.contact.record_relayed(40)
        self.assertTrue(self.contact.may_use(HUB, RELAY_TIMEOUT_MS))

    def test_report_that_waited_before_it_was_sent_is_confirmed(self):
        # Only a later report confirmed it, and in a quiet zone none follows.
        self.contact.record_sent(HUB, 10, 50)
        self.contact.record_heard(95)
        self.contact.record_relayed(10)
        self.assertTrue(self.contact.may_use(HUB, 50 + OWN_RELAY_TIMEOUT_MS))

    def test_another_hub_is_used_at_once(self):
        self.contact.record_sent(HUB, 0, 0)
        self.assertFalse(self.contact.may_use(HUB, RELAY_TIMEOUT_MS))
        self.assertTrue(self.contact.may_use(OTHER, RELAY_TIMEOUT_MS))


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.contact = ZoneContact(0)
        self.contact.record_heard(100)

    def test_zone_without_requests_is_not_silent(self):
        # It would refuse requests of a workspace below its quota.
        for now in range(100, 3_000, 300):
            self.contact.record_message(now)
            self.assertIsNone(self.contact.find_silence(True, now + 300))
            self.assertFalse(self.contact.is_isolated(True, now + 300))

    def test_reports_that_are_not_relayed_show_a_silence(self):
        self.contact.record_sent(HUB, 120, 120)
        self.assertIsNone(self.contact.find_silence(True, 120 + SILENCE_MS - 1))
        self.assertEqual(self.contact.find_silence(True, 120 + SILENCE_MS), 100)

    def test_heartbeats_show_that_a_proxy_is_not_isolated(self):
        now = 100 + ISOLATION_MS
        self.contact.record_sent(HUB, 120, 120)
        self.assertTrue(self.contact.is_isolated(True, now))
        self.contact.record_message(now - 10)
        self.assertFalse(self.contact.is_isolated(True, now))

    def test_small_zone_without_a_hub(self):
        for after_ms, is_silent, is_isolated in (
            (DIRECT_SILENCE_MS - 1, False, False),
            (DIRECT_SILENCE_MS, True, False),
            (DIRECT_ISOLATION_MS, True, True),
        ):
            now = 100 + after_ms
            found = self.contact.find_silence(False, now)
            self.assertEqual(found is not None, is_silent, after_ms)
            found = self.contact.is_isolated(False, now)
            self.assertEqual(found, is_isolated, after_ms)
