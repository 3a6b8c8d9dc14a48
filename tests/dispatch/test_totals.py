"""Tests of the counts that proxies share as totals."""

import unittest

from damaskdyke.dispatch.totals import (
    MAX_NEW_EVENTS,
    OWN_TOTAL_TTL_MS,
    PEER_TOTAL_TTL_MS,
    OwnTotals,
    PeerTotals,
)


class PeerTotalsTest(unittest.TestCase):
    def setUp(self):
        self.totals = PeerTotals()

    def count(self, total, now=0, boot=1, key="w", is_event=True):
        return self.totals.count_new("10.0.0.9", boot, key, total, is_event, now)

    def test_events_of_lost_reports_count_with_the_next_report(self):
        # They were missing from the counts for good.
        self.assertEqual(self.count(1), 1)
        self.assertEqual(self.count(5), 4)

    def test_late_and_repeated_reports_add_nothing(self):
        self.assertEqual([self.count(total) for total in (3, 5, 4, 5)], [1, 2, 0, 0])

    def test_first_total_says_nothing_of_earlier_events(self):
        # A proxy that has just started would charge what the others sent long ago.
        self.assertEqual(self.count(500), 1)
        self.assertEqual(self.count(700, key="v", is_event=False), 0)

    def test_restarted_peer_begins_anew(self):
        self.count(500)
        self.assertEqual(self.count(1, boot=2), 1)
        self.assertEqual(self.count(3, boot=2), 2)

    def test_old_total_says_nothing_of_the_next(self):
        self.count(1)
        self.assertEqual(self.count(900, now=PEER_TOTAL_TTL_MS + 1), 1)
        self.assertEqual(len(self.totals), 1)

    def test_peer_of_an_earlier_version_reports_single_events(self):
        self.assertEqual([self.count(None), self.count(None)], [1, 1])
        self.assertEqual(self.count(None, is_event=False), 0)

    def test_damaged_total_adds_a_bounded_number(self):
        # A loop over its events would have held the dispatcher's lock for hours.
        self.count(1)
        self.assertEqual(self.count(2**62), MAX_NEW_EVENTS)


class OwnTotalsTest(unittest.TestCase):
    def test_totals_are_kept_until_no_peer_remembers_them(self):
        totals = OwnTotals()
        self.assertEqual([totals.add("w", 0), totals.add("w", 1)], [1, 2])
        totals.add("v", PEER_TOTAL_TTL_MS)
        self.assertEqual(totals.get("w"), 2)
        totals.add("v", OWN_TOTAL_TTL_MS + 2)
        self.assertEqual((totals.get("w"), len(totals)), (0, 1))
