"""Tests of which requests a proxy that stops still passes on."""

import threading

from damaskdyke.gateway.messages import AnswerKind
from damaskdyke.gateway.stopping import plan_stop
from tests.gateway.cases import GatewayCase, make_route

GRACE_MS = 6_000


class StopScheduleTest(GatewayCase):
    def order_after(self, stopped_ms, **fields):
        """Return the answer to an order a time after the stop began."""
        route = make_route(is_idempotent=False, timeout_ms=10_000)
        forwarder = self.make_forwarder(route, b"x", **fields)
        schedule = plan_stop(GRACE_MS, self.clock.now() - stopped_ms)
        forwarder._get_stop_schedule = lambda: schedule
        return forwarder.run()

    def test_requests_are_passed_on_soon_after_the_begin(self):
        self.assertEqual(self.order_after(1_000, deadline_ms=8_000).status, 200)

    def test_late_request_is_passed_on_only_if_it_must_end_in_time(self):
        self.assertEqual(self.order_after(3_500, deadline_ms=1_000).status, 200)
        answer = self.order_after(3_500, deadline_ms=2_500)
        self.assertEqual((answer.kind, answer.reason), (AnswerKind.REFUSED, "stopping"))
        self.assertGreater(answer.retry_after_ms, 0)
        self.assertEqual(sum(self.upstream.runs.values()), 1)

    def test_request_that_waits_for_a_slot_is_refused_when_it_is_late(self):
        self.upstream.release = threading.Event()
        self.addCleanup(self.upstream.release.set)
        instance = self.upstream.describe()
        for _ in range(instance.slots + 2):
            self.dispatcher.begin_send(
                "desk",
                self.make_forwarder(make_route(is_idempotent=False))._make_criteria(),
            )
        answer = self.order_after(2_900, deadline_ms=9_000)
        self.assertEqual((answer.kind, answer.reason), (AnswerKind.REFUSED, "stopping"))

    def test_short_grace_period_keeps_less_for_the_exit(self):
        schedule = plan_stop(1_200, 0)
        self.assertEqual((schedule.early_until, schedule.ends_at), (600, 1_000))

    def test_long_grace_period_does_not_lengthen_the_time_of_every_request(self):
        """In a grace of 10 s, requests of the fifth second were cut off."""
        schedule = plan_stop(10_000, 0)
        self.assertFalse(schedule.allows_send(6_000, 4_000))
        self.assertTrue(schedule.allows_send(5_000, 4_000))
        self.assertTrue(schedule.allows_send(10_000, 2_900))
