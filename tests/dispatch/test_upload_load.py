"""Tests of the bytes in flight at upstreams and of the limits learned from crashes.

Upstreams crashed when the bodies that they held exceeded their memory, as nothing
counted the bytes that the proxies of a zone sent to each.
"""

import random
from unittest import TestCase

from damaskdyke.dispatch.faults import FaultEstimator
from damaskdyke.dispatch.in_flight import InFlightTable
from damaskdyke.dispatch.rate_limits import RateLimitTable
from damaskdyke.dispatch.selection import SelectionCriteria, UpstreamSelector
from damaskdyke.dispatch.upload_load import (
    INITIAL_LIMIT_BYTES,
    KILOBYTE,
    LIMIT_DOUBLING_MS,
    MEGABYTE,
    MIN_LIMIT_BYTES,
    PEER_BYTES_TTL_MS,
    UploadLoad,
)
from tests.dispatch.test_decisions import make_instance

U1, U2 = ("u1", 1), ("u2", 1)


def make_limited(max_bytes, now=0):
    """Return a load with a limit for the service ``s``, learned from a crash."""
    load = UploadLoad()
    load.record_end(("gone", 1), "s", now, 2 * max_bytes)
    return load


class PeerCountTest(TestCase):
    """A count that is wrong for good keeps uploads from an upstream, or crashes it."""

    def setUp(self):
        self.load = UploadLoad()

    def set_peer(self, body_bytes, in_flight=1, reported_at=0, now=0, peer="p"):
        self.load.set_peer(peer, U1, body_bytes, in_flight, reported_at, now)

    def count(self, now=0):
        return self.load.count_bytes(U1, now)

    def test_own_and_reported_bytes_add_up(self):
        self.load.add_own(U1, 100)
        self.set_peer(50)
        self.set_peer(70, peer="q")
        self.assertEqual(self.count(), 220)

    def test_end_that_was_sent_twice_does_not_hide_other_sends(self):
        self.load.add_own(U1, -100)
        self.assertEqual(self.load.add_own(U1, 60), 60)

    def test_old_count_expires_whatever_small_requests_the_peer_sends(self):
        self.set_peer(50)
        for now in range(0, PEER_BYTES_TTL_MS + 1, 100):
            self.set_peer(None, in_flight=2, reported_at=now, now=now)
        self.assertEqual(self.count(PEER_BYTES_TTL_MS), 50)
        self.assertEqual(self.count(PEER_BYTES_TTL_MS + 1), 0)

    def test_lost_report_of_an_end_is_made_up_for_by_a_peer_without_requests(self):
        self.set_peer(50)
        self.set_peer(None, in_flight=0, reported_at=5)
        self.assertEqual(self.count(), 0)

    def test_report_that_arrives_late_does_not_bring_back_a_count(self):
        self.set_peer(0, in_flight=0, reported_at=9)
        self.set_peer(50, reported_at=8)
        self.assertEqual(self.count(), 0)

    def test_peer_whose_clock_began_anew_is_heard(self):
        self.set_peer(50, reported_at=100_000)
        self.set_peer(70, reported_at=5, now=5_000)
        self.assertEqual(self.count(5_000), 70)

    def test_lost_peer_holds_nothing(self):
        self.set_peer(50)
        self.set_peer(70, peer="q")
        self.load.drop_peer("p")
        self.assertEqual(self.count(), 70)

    def test_next_incarnation_holds_nothing_of_the_last(self):
        self.set_peer(50)
        self.assertEqual(self.load.count_bytes(("u1", 2), 0), 0)
        self.load.retain({("u1", 2)})
        self.assertEqual(self.count(), 0)


class LimitTest(TestCase):
    def test_many_uploads_stay_within_the_limit_of_few_upstreams(self):
        """Uploads were sent to upstreams regardless of what these held."""
        limit = 2 * MEGABYTE
        load = make_limited(limit)
        source = random.Random(7)
        keys = [(f"u{number}", 1) for number in range(4)]
        held = {key: [] for key in keys}
        waited = 0
        for _ in range(5_000):
            size = source.randint(16, 360) * KILOBYTE
            free = [key for key in keys if load.may_send(key, "s", size, 0)]
            waited += not free
            if free:
                chosen = min(free, key=lambda key: load.count_bytes(key, 0))
                load.add_own(chosen, size)
                held[chosen].append(size)
            ending = source.choice(keys)
            if held[ending] and source.random() < 0.9:
                load.add_own(ending, -held[ending].pop(0))
            for key in keys:
                self.assertLessEqual(sum(held[key]), limit)
                self.assertEqual(load.count_bytes(key, 0), sum(held[key]))
        self.assertGreater(waited, 10, "the limit was never reached")

    def test_upstream_without_bytes_in_flight_gets_any_body(self):
        load = make_limited(MIN_LIMIT_BYTES)
        self.assertTrue(load.may_send(U1, "s", INITIAL_LIMIT_BYTES, 0))
        load.set_peer("p", U1, 16 * KILOBYTE, 1, 0, 0)
        self.assertFalse(load.may_send(U1, "s", INITIAL_LIMIT_BYTES, 0))

    def test_small_bodies_and_other_services_are_not_limited(self):
        load = make_limited(MIN_LIMIT_BYTES)
        load.add_own(U1, 5 * MEGABYTE)
        self.assertTrue(load.may_send(U1, "s", 16 * KILOBYTE - 1, 0))
        self.assertFalse(load.may_send(U1, "s", 16 * KILOBYTE, 0))
        self.assertTrue(load.may_send(U1, "other", 5 * MEGABYTE, 0))

    def test_limit_doubles_until_it_is_forgotten(self):
        load = make_limited(16 * MEGABYTE)
        for now, limit in ((0, 16), (59_999, 16), (60_000, 32), (120_000, 64)):
            self.assertEqual(load.get_limit("s", now), limit * MEGABYTE)
        (change,) = load.list_raised(LIMIT_DOUBLING_MS)
        self.assertEqual((change.before, change.after), (16 << 20, 32 << 20))
        self.assertEqual(load.list_raised(LIMIT_DOUBLING_MS), [])
        load.list_raised(10 * LIMIT_DOUBLING_MS)
        self.assertEqual(load.count_limits(), 0)


class EndTest(TestCase):
    """An upstream ends while requests of this proxy and of peers are in progress."""

    def setUp(self):
        self.load = UploadLoad()
        self.load.add_own(U1, 3 * MEGABYTE)
        self.load.set_peer("p", U1, 5 * MEGABYTE, 2, 0, 0)

    def get_limit(self, now=0):
        return self.load.get_limit("s", now)

    def test_limit_is_half_of_all_that_was_in_flight(self):
        """The sends break one by one, so that the last one sees nothing in flight."""
        for _ in range(3):
            self.assertTrue(self.load.record_close(U1, 10))
            self.load.add_own(U1, -MEGABYTE)
        self.load.set_peer("p", U1, 0, 0, 11, 11)
        change = self.load.record_end(U1, "s", 20)
        self.assertEqual((change.after, change.ended_bytes), (4 << 20, 8 << 20))
        self.assertEqual(self.get_limit(), 4 * MEGABYTE)

    def test_closed_or_refused_connections_alone_change_nothing(self):
        self.assertIsNone(self.load.record_end(U1, "s", 0))
        self.load.record_close(U1, 0)
        self.assertIsNone(self.load.record_end(U2, "s", 0))
        self.assertIsNone(self.load.record_end(U1, "s", 5_000), "long after it")
        self.assertEqual(self.get_limit(), INITIAL_LIMIT_BYTES)

    def test_crash_with_few_bytes_in_flight_has_another_cause(self):
        self.load.add_own(U2, MEGABYTE - 1)
        self.assertFalse(self.load.record_close(U2, 0))
        self.assertIsNone(self.load.record_end(U2, "s", 0))
        self.assertIsNone(self.load.record_end(U2, "s", 0, MEGABYTE - 1))

    def test_one_crash_counts_once_whoever_reports_it(self):
        self.load.record_close(U1, 0)
        self.assertIsNotNone(self.load.record_end(U1, "s", 0))
        self.assertIsNone(self.load.record_end(U1, "s", 50, 2 * MEGABYTE))
        self.assertEqual(self.get_limit(), 4 * MEGABYTE)

    def test_second_crash_lowers_the_limit_further_to_its_least(self):
        self.load.record_end(U1, "s", 0, 8 * MEGABYTE)
        self.load.record_end(U2, "s", 0, 3 * MEGABYTE)
        self.assertEqual(self.get_limit(), 3 * MEGABYTE // 2)
        self.load.record_end(("u3", 1), "s", 0, MEGABYTE)
        self.assertEqual(self.get_limit(), MIN_LIMIT_BYTES)

    def test_crash_with_a_single_body_over_the_limit_does_not_raise_it(self):
        self.load.record_end(U1, "s", 0, 4 * MEGABYTE)
        change = self.load.record_end(U2, "s", 0, 60 * MEGABYTE)
        self.assertEqual((change.before, change.after), (2 << 20, 2 << 20))


class SelectionTest(TestCase):
    """Selection took no account of bytes and kept to connected upstreams."""

    def setUp(self):
        self.load = make_limited(2 * MEGABYTE)
        self.in_flight = InFlightTable()
        self.selector = UpstreamSelector(
            "a",
            FaultEstimator(),
            self.in_flight,
            RateLimitTable(random.Random(1)),
            random.Random(1),
            uploads=self.load,
        )

    def choose(self, body_bytes=100 * KILOBYTE, names=("u1", "u2", "u3")):
        criteria = SelectionCriteria(
            may_retry=False,
            is_urgent=False,
            connected=frozenset({"u1"}),
            body_bytes=body_bytes,
        )
        instances = tuple(make_instance(name) for name in names)
        choice = self.selector.choose(instances, criteria, 0)
        return None if choice is None else choice.instance.id

    def test_upstream_with_the_fewest_bytes_is_preferred(self):
        self.load.add_own(U1, 50 * KILOBYTE)
        self.load.set_peer("p", U2, 20 * KILOBYTE, 1, 0, 0)
        self.load.add_own(("u3", 1), 30 * KILOBYTE)
        self.assertEqual(self.choose(), "u2")
        self.assertEqual(self.choose(KILOBYTE), "u1", "a small body")

    def test_uploads_spread_evenly(self):
        for _ in range(9):
            self.load.add_own((self.choose(), 1), 100 * KILOBYTE)
        counts = {self.load.count_bytes((f"u{n}", 1), 0) for n in (1, 2, 3)}
        self.assertEqual(counts, {300 * KILOBYTE})

    def test_upstream_at_its_limit_is_left_out(self):
        self.load.add_own(U1, 2 * MEGABYTE)
        self.assertIsNone(self.choose(names=("u1",)))
        self.assertEqual(self.choose(KILOBYTE, names=("u1",)), "u1")
        self.load.add_own(U1, -2 * MEGABYTE)
        self.assertEqual(self.choose(60 * MEGABYTE, names=("u1",)), "u1")
