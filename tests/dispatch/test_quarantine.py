"""Tests of which requests are suspect or quarantined, and for how long."""

import unittest

from damaskdyke.dispatch.quarantine import (
    MAX_ENDS,
    MAX_FINGERPRINTS,
    QUARANTINE_MS,
    QuarantineState,
    QuarantineTable,
    make_fingerprint,
)

CLEAR = QuarantineState.CLEAR
SUSPECT = QuarantineState.SUSPECT
QUARANTINED = QuarantineState.QUARANTINED


class QuarantineTableTest(unittest.TestCase):
    def setUp(self):
        self.table = QuarantineTable()

    def record_end(self, upstream, at, now=None, incarnation=1, fingerprint=b"f"):
        now = at if now is None else now
        return self.table.record_end(fingerprint, upstream, incarnation, at, now)

    def assert_state(self, state, now, fingerprint=b"f"):
        self.assertIs(self.table.get_state(fingerprint, now), state)

    def test_request_is_suspect_after_one_crash_and_quarantined_after_two(self):
        """A request crashed upstream after upstream."""
        self.assert_state(CLEAR, 0)
        self.assertTrue(self.record_end("u1", 0))
        self.assert_state(SUSPECT, 0)
        self.assertTrue(self.record_end("u2", 10))
        self.assert_state(QUARANTINED, 10)
        self.assert_state(CLEAR, 10, b"other")

    def test_several_reports_of_one_crash_count_once(self):
        """Repeats, relays and several sends would quarantine a request too early."""
        self.record_end("u1", 0)
        self.assertFalse(self.record_end("u1", 5))
        self.assert_state(SUSPECT, 5)

    def test_next_incarnation_counts_as_another_upstream(self):
        """A request crashed each incarnation of a restarted upstream anew."""
        self.record_end("u1", 0)
        self.assertTrue(self.record_end("u1", 5, incarnation=2))
        self.assert_state(QUARANTINED, 5)

    def test_quarantine_ends_a_time_after_the_last_crash(self):
        self.record_end("u1", 0)
        self.record_end("u2", 100)
        end = 100 + QUARANTINE_MS
        self.assertEqual(self.table.get_remaining_ms(b"f", 40_000), end - 40_000)
        self.assert_state(QUARANTINED, end - 1)
        self.assert_state(CLEAR, end)
        self.assertTrue(self.table.is_empty)

    def test_late_copy_does_not_extend_the_quarantine(self):
        """Copies that circulate would otherwise keep a request out for ever."""
        self.record_end("u1", 0)
        self.record_end("u1", 50_000)
        self.assertEqual(self.table.get_remaining_ms(b"f", 50_000), 10_000)
        self.assertFalse(self.record_end("u2", 0, now=QUARANTINE_MS))

    def test_crash_that_was_reported_late_does_not_count_for_longer(self):
        """A harmless request was refused for a crash 105 s before the second one."""
        self.record_end("u1", 0, now=50_000)
        self.record_end("u2", 105_000)
        self.assert_state(SUSPECT, 105_000)

    def test_popular_request_is_forgotten_after_its_crash(self):
        """Each good response kept the entry, and with it the work for a fingerprint."""
        self.record_end("u1", 0)
        for now in range(1_000, QUARANTINE_MS + 2_000, 1_000):
            self.table.record_good(b"f", now)
        self.assert_state(CLEAR, now)
        self.assertTrue(self.table.is_empty)

    def test_good_response_clears_and_older_reports_do_not_reinstate(self):
        """Crashes for other reasons must not take a popular request out of service."""
        self.record_end("u1", 0)
        self.record_end("u2", 0)
        self.assertTrue(self.table.record_good(b"f", 100))
        self.assert_state(CLEAR, 100)
        # A late copy of a known crash, and a crash that was not known yet.
        self.assertFalse(self.record_end("u1", 150))
        self.assertFalse(self.record_end("u3", 90, now=160))
        self.assert_state(CLEAR, 160)
        self.assertFalse(self.table.record_good(b"f", 170))
        self.assertTrue(self.record_end("u4", 200))
        self.assert_state(SUSPECT, 200)

    def test_good_response_that_a_peer_reports_precedes_the_reports_of_crashes(self):
        self.assertFalse(self.table.record_good(b"f", 110, 100))
        self.assertFalse(self.record_end("u1", 50, now=120))
        self.assert_state(CLEAR, 120)

    def test_good_response_to_an_unknown_request_is_not_kept(self):
        """A proxy without crashes must not begin to compute fingerprints."""
        self.assertFalse(self.table.record_good(b"f", 0))
        self.assertTrue(self.table.is_empty)

    def test_older_good_response_of_a_peer_does_not_clear(self):
        self.record_end("u1", 100)
        self.assertFalse(self.table.record_good(b"f", 120, 90))
        self.assert_state(SUSPECT, 120)

    def test_memory_is_bounded_and_the_oldest_entry_goes_first(self):
        for number in range(MAX_FINGERPRINTS + 1):
            self.record_end("u1", number, fingerprint=b"%d" % number)
        self.assert_state(CLEAR, MAX_FINGERPRINTS, b"0")
        self.assert_state(SUSPECT, MAX_FINGERPRINTS, b"1")
        self.assertEqual(
            len(self.table.list_recent(MAX_FINGERPRINTS)), MAX_FINGERPRINTS
        )

    def test_crashes_of_one_request_are_bounded(self):
        for number in range(2 * MAX_ENDS):
            self.record_end(f"u{number}", number)
        (entry,) = self.table.list_recent(2 * MAX_ENDS)
        self.assertEqual(len(entry.ends), MAX_ENDS)


class FingerprintTest(unittest.TestCase):
    def test_each_part_distinguishes_requests(self):
        """A harmless request must not share the fingerprint of another one."""
        first = make_fingerprint("desk", "GET", "/a?b=1", b"x")
        same = make_fingerprint("desk", "GET", "/a?b=1", memoryview(b"x"))
        self.assertEqual(same, first)
        others = {
            make_fingerprint("desk2", "GET", "/a?b=1", b"x"),
            make_fingerprint("desk", "POST", "/a?b=1", b"x"),
            make_fingerprint("desk", "GET", "/a?b=2", b"x"),
            make_fingerprint("desk", "GET", "/a?b=1", b"y"),
            make_fingerprint("desk", "GET", "/a?b=1x", b""),
        }
        self.assertEqual(len(others - {first}), 5)
