import threading
import unittest

from damaskdyke.conf.loading import parse_branch
from damaskdyke.core.clock import Clock, Deadline, ManualClock
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.limits.admission import BoundedGate
from damaskdyke.limits.budgets import ExtraAttemptBudget, MemoryBudget, WorkspaceLimits
from damaskdyke.testbed.plans import ServicePlan
from damaskdyke.testbed.processes import wait_for


def make_service():
    branch = parse_branch("a", ServicePlan(floor=0).to_toml().encode())
    return branch.services[0]


class BoundedGateTest(unittest.TestCase):
    def setUp(self):
        self.service = make_service()
        self.lookup, self.long, self.order = self.service.rules
        self.clock = Clock()
        self.gate = BoundedGate(self.service, self.clock)
        self.gate.resize(2)

    def fill_limit(self):
        count = 0
        while self.gate._running < int(self.gate._limit):
            self.gate.acquire(self.lookup, Deadline(self.clock, 60_000))
            count += 1
        return count

    def test_unmeetable_deadline_is_refused_at_once_with_a_retry_time(self):
        self.fill_limit()
        with self.assertRaises(ProxyError) as caught:
            self.gate.acquire(self.lookup, Deadline(self.clock, 1))
        self.assertIs(caught.exception.kind, ErrorKind.OVERLOADED)
        self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_waiting_order_is_admitted_before_waiting_lookups(self):
        self.fill_limit()
        admitted = []

        def wait(rule):
            self.gate.acquire(rule, Deadline(self.clock, 60_000))
            admitted.append(rule.id)

        threads = []
        for size, rule in enumerate((self.lookup, self.lookup, self.order), start=1):
            thread = threading.Thread(target=wait, args=(rule,))
            thread.start()
            threads.append(thread)
            wait_for(lambda size=size: len(self.gate._waiting) == size, "a waiter")
        for count in (1, 2, 3):
            self.gate.release(self.lookup, 10)
            wait_for(lambda count=count: len(admitted) == count, "an admission")
        for thread in threads:
            thread.join()
        self.assertEqual(admitted[0], "order")

    def test_limit_shrinks_at_most_once_per_interval(self):
        clock = ManualClock(10_000)
        gate = BoundedGate(self.service, clock)
        gate.resize(20)
        before = gate._limit
        gate.record_shed()
        after = gate._limit
        gate.record_shed()
        self.assertLess(after, before)
        self.assertEqual(gate._limit, after)
        clock.advance(200)
        gate.record_shed()
        self.assertLess(gate._limit, after)


class LimitsTest(unittest.TestCase):
    def test_extra_attempts_stay_within_their_percentage(self):
        budget = ExtraAttemptBudget(10, 10)
        spent = 0
        for _ in range(1_000):
            budget.earn()
            spent += budget.spend()
        # The saved burst adds to the percentage.
        self.assertLessEqual(spent, 100 + 10)
        self.assertGreaterEqual(spent, 90)

    def test_body_memory_is_bounded(self):
        budget = MemoryBudget(10)
        with budget.reserve(8), self.assertRaises(ProxyError), budget.reserve(3):
            pass
        with budget.reserve(10):
            pass

    def test_workspace_is_refused_at_its_limit(self):
        limits = WorkspaceLimits()
        with limits.enter("w", 1):
            with self.assertRaises(ProxyError) as caught, limits.enter("w", 1):
                pass
        self.assertIs(caught.exception.kind, ErrorKind.WORKSPACE_LIMIT)
        with limits.enter("w", 1):
            pass
