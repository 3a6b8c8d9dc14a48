"""Tests that upstreams which ask for it in their replies get no more requests.

Nothing read these headers: an upstream that left got requests until its entry in the
store told so, and one that asked for a pause got the next request at once.
"""

from unittest import TestCase

from damaskdyke.core.clock import ManualClock
from damaskdyke.dispatch.holds import MAX_PAUSE_MS, HoldTable, parse_pause_ms
from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.platform import names
from damaskdyke.testbed.instance import Behaviour
from tests.gateway.cases import GatewayCase

LEAVING_LINE = f"{names.LEAVING}: 1\r\n"


class HoldTableTest(TestCase):
    def setUp(self):
        self.holds = HoldTable()

    def test_another_incarnation_is_not_bound(self):
        self.holds.mark_leaving("u1", 1)
        self.assertFalse(self.holds.may_send("u1", 1, 0))
        self.assertTrue(self.holds.may_send("u1", 2, 0))

    def test_late_reply_of_an_earlier_incarnation_changes_nothing(self):
        self.holds.mark_leaving("u1", 2)
        self.holds.pause("u1", 1, 2_000)
        self.assertFalse(self.holds.may_send("u1", 2, 0))

    def test_pause_ends_and_is_not_shortened(self):
        self.holds.pause("u1", 1, 2_000)
        self.holds.pause("u1", 1, 500)
        self.assertFalse(self.holds.may_send("u1", 1, 1_999))
        self.assertTrue(self.holds.may_send("u1", 1, 2_000))

    def test_holds_of_removed_upstreams_are_dropped(self):
        self.holds.pause("u1", 1, 2_000)
        self.holds.retain({"u2"})
        self.assertTrue(self.holds.may_send("u1", 1, 0))

    def test_forms_of_a_pause(self):
        forms = {"0": 0, "2": 2_000, "0.25": 250, " 3 ": 3_000, "999999": MAX_PAUSE_MS}
        for text, pause_ms in forms.items():
            with self.subTest(text=text):
                self.assertEqual(parse_pause_ms(text), pause_ms)
        odd = ("-1", "", "soon", "1e9", "nan", "9" * 5_000, "\u0661")
        for text in (*odd, "Wed, 21 Oct 2015 07:28:00 GMT"):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                parse_pause_ms(text)


class HoldTest(GatewayCase):
    upstreams = 2

    def count_runs(self):
        return [sum(item.runs.values()) for item in self.instances]

    def test_upstream_that_leaves_gets_nothing_more(self):
        for behaviour in (Behaviour.GOOD, Behaviour.ERROR):
            with self.subTest(behaviour=behaviour):
                self.setUp()
                leaving = self.upstream
                leaving.behaviour = behaviour
                leaving.extra_lines = LEAVING_LINE
                for _ in range(20):
                    self.lookup()
                    self.order()
                self.assertEqual(sum(leaving.runs.values()), 1)

    def test_refusal_of_an_upstream_that_leaves_counts_too(self):
        self.upstream.behaviour = Behaviour.SHED
        self.upstream.extra_lines = LEAVING_LINE
        for _ in range(20):
            self.assertEqual(self.order().status, 200)
        self.assertEqual(len(self.upstream.bodies), 1)

    def test_upstream_gets_nothing_during_the_pause_that_it_asked_for(self):
        self.clock = ManualClock(1_000)
        self.dispatcher._clock = self.clock
        self.upstream.behaviour = Behaviour.SHED
        self.upstream.extra_lines = "Retry-After: 2\r\n"
        for _ in range(20):
            self.assertEqual(self.order().status, 200)
        self.assertEqual(len(self.upstream.bodies), 1)
        self.upstream.behaviour = Behaviour.GOOD
        self.instances[1].behaviour = Behaviour.SHED
        self.clock.advance(2_000)
        self.assertEqual(self.order().status, 200)
        self.assertEqual(len(self.upstream.bodies), 2)

    def test_callers_return_after_the_pause_of_all_upstreams(self):
        for item in self.instances:
            item.behaviour = Behaviour.SHED
            item.extra_lines = "Retry-After: 5\r\n"
        self.order()
        answers = [self.order() for _ in range(5)]
        self.assertEqual({item.kind for item in answers}, {AnswerKind.REFUSED})
        returns = [item.retry_after_ms for item in answers]
        self.assertTrue(all(4_000 < item < 7_000 for item in returns), returns)
        self.assertGreater(len(set(returns)), 1)
        self.assertEqual([len(item.bodies) for item in self.instances], [1, 1])
