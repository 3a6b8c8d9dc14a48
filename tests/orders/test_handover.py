import unittest

from damaskdyke.conf.daemon import OrderSettings
from damaskdyke.core.clock import Deadline, ManualClock
from damaskdyke.core.ids import Address, BootId
from damaskdyke.orders.component import Orders
from damaskdyke.orders.entries import EntryState
from damaskdyke.orders.handover import read_handover, seal_for_handover
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import Outcome
from damaskdyke.upstreams.messages import Header, Reply
from tests.kernels import make_kernel

HOME = Address("127.0.0.9:9000")


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(5_000)
        self.ledger = Ledger(HOME, BootId(7), OrderSettings(), self.clock)

    def hand_over(self, successor_boot=9):
        message = seal_for_handover(self.ledger, BootId(successor_boot), self.clock)
        return read_handover(message, OrderSettings(), self.clock)

    def test_issued_ticket_can_be_claimed_at_the_successor(self):
        ticket = self.ledger.issue()
        adopted = self.hand_over()
        self.assertTrue(ticket.is_authentic(adopted.secret))
        self.assertIsNone(adopted.claim(ticket.sequence, b"x"))

    def test_dispatched_order_becomes_unknown(self):
        ticket = self.ledger.issue()
        self.ledger.claim(ticket.sequence, b"x")
        self.mark_dispatched(ticket.sequence)
        adopted = self.hand_over()
        self.assertIs(adopted.look_up(ticket.sequence).outcome, Outcome.UNKNOWN)
        self.assertIs(adopted.claim(ticket.sequence, b"x").outcome, Outcome.UNKNOWN)

    def mark_dispatched(self, sequence):
        self.assertTrue(
            self.ledger.mark_dispatched(sequence, Deadline(self.clock, 100))
        )

    def test_claimed_order_cannot_be_dispatched_after_sealing(self):
        ticket = self.ledger.issue()
        self.ledger.claim(ticket.sequence, b"x")
        self.hand_over()
        deadline = Deadline(self.clock, 100)
        self.assertFalse(self.ledger.mark_dispatched(ticket.sequence, deadline))

    def test_claim_that_ends_after_sealing_is_not_in_progress(self):
        """A stop waited up to its limit for an order that no thread worked on."""
        sequence = self.ledger.issue().sequence
        self.ledger.claim(sequence, b"x")
        self.hand_over()
        result = self.ledger.resolve(sequence, EntryState.NOT_RUN, "sealed")
        self.assertIs(result.outcome, Outcome.PENDING)
        self.assertEqual(self.ledger.list_in_progress(), set())
        deadline = Deadline(self.clock, 1_000)
        self.assertFalse(self.ledger.mark_dispatched(sequence, deadline))
        self.assertIs(self.ledger.claim(sequence, b"x").outcome, Outcome.PENDING)

    def test_sealed_ledger_never_reports_not_run(self):
        claimed, issued = self.ledger.issue(), self.ledger.issue()
        self.ledger.claim(claimed.sequence, b"x")
        self.hand_over()
        result = self.ledger.resolve(claimed.sequence, EntryState.NOT_RUN, "no")
        self.assertIs(result.outcome, Outcome.PENDING)
        self.assertIs(self.ledger.withdraw(issued.sequence).outcome, Outcome.PENDING)

    def test_reply_is_handed_over_whole(self):
        ticket = self.ledger.issue()
        self.ledger.claim(ticket.sequence, b"x")
        self.mark_dispatched(ticket.sequence)
        reply = Reply(201, (Header("A", "b"),), b"body", 4)
        self.ledger.record_reply(ticket.sequence, reply)
        result = self.hand_over().look_up(ticket.sequence)
        self.assertIs(result.outcome, Outcome.ANSWERED)
        self.assertEqual(result.reply.body, b"body")
        self.assertEqual(result.reply.status, 201)

    def test_remaining_lifetime_is_handed_over(self):
        ticket = self.ledger.issue()
        self.clock.advance(OrderSettings().ticket_lifetime_ms - 10)
        adopted = self.hand_over()
        self.clock.advance(11)
        result = adopted.claim(ticket.sequence, b"x")
        self.assertIs(result.outcome, Outcome.EXPIRED)


class AdoptionTest(unittest.TestCase):
    def setUp(self):
        self.kernel = make_kernel()
        self.orders = self.kernel.get(Orders)
        self.ledger = Ledger(HOME, BootId(7), OrderSettings(), self.kernel.clock)
        self.ticket = self.ledger.issue()

    def make_message(self, boot=None):
        boot = self.kernel.boot if boot is None else boot
        return seal_for_handover(self.ledger, boot, self.kernel.clock)

    def test_second_copy_is_answered_like_the_first_and_changes_nothing(self):
        message = self.make_message()
        self.assertTrue(self.orders.held_ledgers.answer_hand_over(message).accepted)
        self.orders.withdraw(self.ticket.text, "r")
        # If it were refused, the sender would try a second successor.
        self.assertTrue(self.orders.held_ledgers.answer_hand_over(message).accepted)
        result = self.orders.look_up(self.ticket.text, "r")
        self.assertIs(result.outcome, Outcome.NOT_RUN)

    def test_second_copy_is_accepted_while_draining(self):
        message = self.make_message()
        self.assertTrue(self.orders.held_ledgers.answer_hand_over(message).accepted)
        self.orders.held_ledgers.stop_accepting()
        self.assertTrue(self.orders.held_ledgers.answer_hand_over(message).accepted)

    def test_first_copy_is_refused_while_draining(self):
        self.orders.held_ledgers.stop_accepting()
        self.assertFalse(
            self.orders.held_ledgers.answer_hand_over(self.make_message()).accepted
        )

    def test_copy_for_another_incarnation_is_refused(self):
        message = self.make_message(boot=BootId(self.kernel.boot + 1))
        self.assertFalse(self.orders.held_ledgers.answer_hand_over(message).accepted)
