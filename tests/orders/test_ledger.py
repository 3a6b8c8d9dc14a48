import threading
import unittest

from damaskdyke.conf.daemon import OrderSettings
from damaskdyke.core.clock import Clock, Deadline, ManualClock
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, BootId
from damaskdyke.orders.entries import EntryState
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import Outcome
from damaskdyke.upstreams.messages import Reply

HOME = Address("127.0.0.9:9000")


def make_ledger(clock, **settings):
    return Ledger(HOME, BootId(7), OrderSettings(**settings), clock)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(5_000)
        self.ledger = make_ledger(self.clock, max_entries=3, max_reply_bytes=8)
        self.deadline = Deadline(self.clock, 1_000)

    def make_dispatched(self):
        sequence = self.ledger.issue().sequence
        self.assertIsNone(self.ledger.claim(sequence, b"x"))
        self.assertTrue(self.ledger.mark_dispatched(sequence, self.deadline))
        return sequence

    def test_second_claim_returns_in_progress(self):
        sequence = self.ledger.issue().sequence
        self.assertIsNone(self.ledger.claim(sequence, b"x"))
        again = self.ledger.claim(sequence, b"x")
        self.assertIs(again.outcome, Outcome.IN_PROGRESS)

    def test_ticket_is_bound_to_its_first_request(self):
        sequence = self.ledger.issue().sequence
        self.ledger.claim(sequence, b"x")
        other = self.ledger.claim(sequence, b"y")
        self.assertIs(other.outcome, Outcome.MISMATCH)

    def test_withdrawn_claim_is_not_dispatched(self):
        sequence = self.ledger.issue().sequence
        self.ledger.claim(sequence, b"x")
        self.assertIs(self.ledger.withdraw(sequence).outcome, Outcome.NOT_RUN)
        self.assertFalse(self.ledger.mark_dispatched(sequence, self.deadline))

    def test_withdrawal_after_dispatch_is_in_progress(self):
        sequence = self.make_dispatched()
        self.assertIs(self.ledger.withdraw(sequence).outcome, Outcome.IN_PROGRESS)

    def test_unanswered_dispatch_stays_unknown(self):
        sequence = self.make_dispatched()
        self.ledger.resolve(sequence, EntryState.UNKNOWN, "timeout")
        self.assertIs(self.ledger.claim(sequence, b"x").outcome, Outcome.UNKNOWN)
        self.assertIs(self.ledger.withdraw(sequence).outcome, Outcome.UNKNOWN)

    def test_abort_is_not_run_before_the_dispatch_and_unknown_after(self):
        sequence = self.ledger.issue().sequence
        self.ledger.claim(sequence, b"x")
        self.assertIs(self.ledger.abort(sequence, "e").outcome, Outcome.NOT_RUN)
        self.assertIs(
            self.ledger.abort(self.make_dispatched(), "e").outcome, Outcome.UNKNOWN
        )

    def test_reverted_dispatch_can_be_dispatched_again(self):
        sequence = self.make_dispatched()
        self.assertTrue(self.ledger.revert_dispatch(sequence))
        self.assertTrue(self.ledger.mark_dispatched(sequence, self.deadline))

    def test_past_deadline_is_not_dispatched(self):
        sequence = self.ledger.issue().sequence
        self.ledger.claim(sequence, b"x")
        self.clock.advance(1_001)
        self.assertFalse(self.ledger.mark_dispatched(sequence, self.deadline))

    def test_expired_ticket_cannot_be_claimed(self):
        sequence = self.ledger.issue().sequence
        self.clock.advance(OrderSettings().ticket_lifetime_ms)
        self.assertIs(self.ledger.claim(sequence, b"x").outcome, Outcome.EXPIRED)

    def test_full_ledger_refuses_to_issue(self):
        for _ in range(3):
            self.ledger.issue()
        with self.assertRaises(ProxyError) as caught:
            self.ledger.issue()
        self.assertIs(caught.exception.kind, ErrorKind.LEDGER_FULL)
        self.clock.advance(OrderSettings().ticket_lifetime_ms)
        self.ledger.issue()
        self.assertEqual(self.ledger.count(), 1)

    def test_issued_ticket_can_be_claimed_in_a_full_ledger(self):
        tickets = [self.ledger.issue() for _ in range(3)]
        self.assertIsNone(self.ledger.claim(tickets[0].sequence, b"x"))

    def test_large_reply_is_returned_but_not_stored(self):
        sequence = self.make_dispatched()
        reply = Reply(200, (), b"123456789", 9)
        self.assertEqual(
            self.ledger.record_reply(sequence, reply).reply.body, reply.body
        )
        self.assertIs(self.ledger.claim(sequence, b"x").outcome, Outcome.NOT_KEPT)


class ConcurrentClaimTest(unittest.TestCase):
    def test_one_of_many_threads_dispatches(self):
        ledger = make_ledger(Clock())
        sequence = ledger.issue().sequence
        deadline = Deadline(Clock(), 60_000)
        dispatched = []
        start = threading.Barrier(16)

        def run():
            start.wait()
            claimed = ledger.claim(sequence, b"x") is None
            if claimed and ledger.mark_dispatched(sequence, deadline):
                dispatched.append(1)

        threads = [threading.Thread(target=run) for _ in range(16)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(dispatched), 1)
