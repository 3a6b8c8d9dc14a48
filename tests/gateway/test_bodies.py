"""Tests of the memory budget and of bodies in chunks."""

import contextlib
import functools
import io
import threading
import unittest
from collections import deque
from unittest import mock

from damaskdyke.conf.vm import DEFAULT_MEMORY_MB
from damaskdyke.core.clock import Clock, ManualClock, Millis
from damaskdyke.gateway import bodies, crowding, memory, memory_revocation
from damaskdyke.gateway.body_buffers import SMALL_BODY_BYTES, BodyTooLarge
from damaskdyke.gateway.memory import MemoryBudget
from damaskdyke.gateway.memory_holds import (
    STALL_MS,
    MemoryKind,
    MemoryRefused,
    RefusalReason,
)
from damaskdyke.gateway.memory_waiting import Waiter, WaitingLine
from damaskdyke.testbed.processes import wait_for
from tests.gateway.test_pipelining import PipeliningCase, make_request, read_answers

MEGABYTE = 1024 * 1024
LARGEST_BODY = 64 * MEGABYTE


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.budget = MemoryBudget(100 * MEGABYTE, self.clock)

    def open(self, kind=MemoryKind.BODY):
        return self.enterContext(self.budget.open(kind))

    def test_large_bodies_leave_memory_to_small_ones_and_replies(self):
        """Requests without a body must get replies while large bodies are held."""
        self.open().take(70 * MEGABYTE, 0)
        with self.assertRaises(MemoryRefused) as caught:
            self.open().take(MEGABYTE, 0)
        self.assertEqual(caught.exception.reason, RefusalReason.NO_MEMORY)
        self.open().take(SMALL_BODY_BYTES, 0)
        self.open(MemoryKind.REPLY).take(16 * MEGABYTE, 0)
        self.assertEqual(self.budget.refused_count, 1)

    def test_single_large_body_may_take_nearly_all(self):
        self.open().take(90 * MEGABYTE, 0)

    def test_reply_in_chunks_fits_beside_the_largest_body(self):
        """Its first step was larger than what such a body leaves."""
        self.budget = MemoryBudget(memory.MIN_BUDGET_BYTES, self.clock)
        self.open().take(self.budget.get_max_body_bytes(), 0)
        buffer = self.open(MemoryKind.REPLY).make_buffer(None, 16 * MEGABYTE, 0)
        for _ in range(8):
            buffer.append(bytes(100_000))

    def test_waiting_body_gets_what_is_given_back(self):
        first, second = self.open(), self.open()
        first.take(60 * MEGABYTE, 0)
        taken = threading.Event()

        def take():
            second.take(60 * MEGABYTE, 20_000)
            taken.set()

        threading.Thread(target=take, daemon=True).start()
        wait_for(lambda: second.is_waiting, "the wait")
        first.close()
        self.assertTrue(taken.wait(20))

    def test_only_a_stalled_hold_gives_way(self):
        """A body under way must not end for another one."""
        stalled, passed_on, moving = self.open(), self.open(), self.open()
        for hold in (stalled, passed_on, moving):
            hold.take(20 * MEGABYTE, 0)
            hold.allow_revoking(hold.close)
        passed_on.forbid_revoking()
        for hold in (stalled, passed_on):
            hold._progress_at -= 2 * STALL_MS
        self.open().take(20 * MEGABYTE, 200)
        self.assertTrue(stalled.is_revoked)
        self.assertFalse(passed_on.is_revoked or moving.is_revoked)
        with self.assertRaises(MemoryRefused) as caught:
            stalled.check()
        self.assertEqual(caught.exception.reason, RefusalReason.NO_PROGRESS)
        self.assertEqual(self.budget.revoked_count, 1)

    def open_stalled(self, kind, size):
        hold = self.open(kind)
        hold.take(size, 0)
        hold.allow_revoking(hold.close)
        hold._progress_at -= 2 * STALL_MS
        return hold

    def test_reply_does_not_give_way_to_the_body_of_a_request(self):
        """A reply of an order that has run was cut for a body that could be refused."""
        reply = self.open_stalled(MemoryKind.REPLY, 60 * MEGABYTE)
        with self.assertRaises(MemoryRefused):
            self.open().take(60 * MEGABYTE, 100)
        self.assertFalse(reply.is_revoked)

    def test_body_gives_way_only_after_a_part_of_the_wait(self):
        """An upload that paused for less than a second was refused at once."""
        stalled = self.open_stalled(MemoryKind.BODY, 60 * MEGABYTE)
        started_at = self.clock.now()
        self.open().take(60 * MEGABYTE, 400)
        self.assertTrue(stalled.is_revoked)
        self.assertGreaterEqual(self.clock.now() - started_at, 200)

    def test_stalled_reply_gives_way_to_a_reply_after_bodies(self):
        """A reply was cut although a body without progress held enough."""
        body = self.open_stalled(MemoryKind.BODY, 40 * MEGABYTE)
        reply = self.open_stalled(MemoryKind.REPLY, 50 * MEGABYTE)
        reply._progress_at -= STALL_MS
        self.open(MemoryKind.REPLY).take(40 * MEGABYTE, 400)
        self.assertTrue(body.is_revoked)
        self.assertFalse(reply.is_revoked)
        started_at = self.clock.now()
        self.open(MemoryKind.REPLY).take(40 * MEGABYTE, 400)
        self.assertTrue(reply.is_revoked)
        self.assertGreaterEqual(self.clock.now() - started_at, 200)

    def test_unread_replies_give_way_to_small_bodies_that_they_shut_out(self):
        """Replies that nobody read held over 0.8, and small orders were refused."""
        ended = []

        def end(number, reply):
            ended.append(number)
            reply.close()

        for number in range(9):
            reply = self.open_stalled(MemoryKind.REPLY, 10 * MEGABYTE)
            reply._progress_at -= number * STALL_MS
            reply.on_revoke = functools.partial(end, number, reply)
        self.open().take(5_000, 100)
        self.assertEqual(ended, [8, 7, 6])
        # The next small bodies find memory at once.
        self.open().take(SMALL_BODY_BYTES, 0)

    def test_replies_that_are_read_do_not_give_way_to_small_bodies(self):
        replies = [self.open_stalled(MemoryKind.REPLY, 30 * MEGABYTE) for _ in range(3)]
        for reply in replies:
            reply.restart_progress()
        with self.assertRaises(MemoryRefused):
            self.open().take(5_000, 50)
        self.assertFalse(any(item.is_revoked for item in replies))

    def test_nothing_gives_way_if_it_would_not_be_enough(self):
        """Both were lost: the stalled body, and the one that it was too small for."""
        self.open().take(50 * MEGABYTE, 0)
        stalled = self.open_stalled(MemoryKind.BODY, 10 * MEGABYTE)
        with self.assertRaises(MemoryRefused):
            self.open().take(40 * MEGABYTE, 100)
        self.assertFalse(stalled.is_revoked)
        self.open().take(15 * MEGABYTE, 100)
        self.assertTrue(stalled.is_revoked)

    def test_only_large_body_may_count_on_the_end_of_all_others(self):
        """It fits into its larger share only once no other large body is held."""
        stalled = self.open_stalled(MemoryKind.BODY, 30 * MEGABYTE)
        self.open().take(85 * MEGABYTE, 100)
        self.assertTrue(stalled.is_revoked)

    def test_bodies_of_ordinary_size_pass_one_that_does_not_fit(self):
        """All bodies over 64 KB were refused with 19 MB free."""
        other, largest, behind = self.open(), self.open(), self.open()
        other.take(30 * MEGABYTE, 0)
        self.start_taking(largest, 64 * MEGABYTE)
        self.start_taking(behind, MEGABYTE + 1)
        for _ in range(10):
            self.open().take(115_000, 0)
        self.assertTrue(largest.is_waiting and behind.is_waiting)

    def test_waiting_body_of_ordinary_size_passes_one_that_does_not_fit(self):
        """It waited behind the largest one although memory became free."""
        first, other, largest, ordinary = (self.open() for _ in range(4))
        first.take(39 * MEGABYTE, 0)
        other.take(31 * MEGABYTE, 0)
        self.start_taking(largest, 64 * MEGABYTE)
        self.start_taking(ordinary, 115_000)
        first.close()
        wait_for(lambda: ordinary.size == 115_000, "the memory")
        self.assertTrue(largest.is_waiting)

    def test_nothing_gives_way_to_a_body_behind_one_that_does_not_fit(self):
        """The memory was freed, but not for the body that made another one end."""
        self.open().take(55 * MEGABYTE, 0)
        stalled = self.open_stalled(MemoryKind.BODY, 14 * MEGABYTE)
        self.start_taking(self.open(), 64 * MEGABYTE)
        with self.assertRaises(MemoryRefused):
            self.open().take(2 * MEGABYTE, 300)
        self.assertFalse(stalled.is_revoked)

    def test_steady_stream_does_not_starve_the_largest_body(self):
        """Small bodies passed it without end, so that it never found its memory."""
        self.clock = ManualClock(1_000)
        self.budget = MemoryBudget(100 * MEGABYTE, self.clock)
        stream = deque(self.open() for _ in range(40))
        for hold in stream:
            hold.take(MEGABYTE, 0)
        largest = self.open()
        self.start_taking(largest, 64 * MEGABYTE)
        self.addCleanup(self.clock.advance, 10_000)
        refused_at = []
        while not largest.size and self.clock.now() < 3_500:
            self.clock.advance(10)
            stream.popleft().close()
            hold = self.open()
            try:
                hold.take(MEGABYTE, 0)
                stream.append(hold)
            except MemoryRefused:
                refused_at.append(self.clock.now())
        self.assertEqual(largest.size, 64 * MEGABYTE)
        # The body waits for up to 3 s.
        self.assertEqual(refused_at[0], 2_500)

    def test_series_of_large_bodies_does_not_keep_small_ones_out(self):
        """Behind a large body that was not passed, another one is at first."""
        line = WaitingLine()
        hold = self.open()
        first, second = (Waiter(hold, 64 * MEGABYTE, Millis(x)) for x in (500, 600))
        line.add(first)
        line.add(second)
        passing = [x for x in range(0, 2_000, 250) if line.may_take(MEGABYTE, x)]
        self.assertEqual(passing, [0, 250, 1_000, 1_250])
        line.remove(first, Millis(900))
        passing = [x for x in range(1_000, 2_000, 250) if line.may_take(MEGABYTE, x)]
        self.assertEqual(passing, [1_000, 1_250])

    def start_taking(self, hold, size):
        """Let a hold wait for memory, in a thread that ends before the holds do."""

        def take():
            with contextlib.suppress(MemoryRefused):
                hold.take(size, 3_000)

        thread = threading.Thread(target=take, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        wait_for(lambda: hold.is_waiting, "the wait")

    def test_trickle_is_no_progress(self):
        hold = self.open()
        hold.take(64 * MEGABYTE, 0)
        hold.allow_revoking(lambda: None)
        hold._progress_at -= STALL_MS
        for _ in range(1_000):
            hold.record_progress(1)
        self.assertGreaterEqual(hold.get_stalled_ms(self.clock.now()), STALL_MS)
        hold.record_progress(MEGABYTE)
        self.assertLess(hold.get_stalled_ms(self.clock.now()), STALL_MS)

    def test_buffer_grows_without_loss(self):
        hold = self.open()
        buffer = hold.make_buffer(None, 10 * MEGABYTE, 0)
        data = bytes(range(256)) * 4_096
        for _ in range(10):
            buffer.append(data)
        self.assertEqual(buffer.get_body(), data * 10)
        with self.assertRaises(BodyTooLarge):
            buffer.append(b"x")
        self.assertEqual(self.budget.get_held(MemoryKind.BODY), 10 * MEGABYTE)
        hold.close()
        self.assertEqual(self.budget.get_held(MemoryKind.BODY), 0)

    def test_default_memory_holds_the_largest_bodies(self):
        for memory_mb in (200, 300, DEFAULT_MEMORY_MB):
            with self.subTest(memory_mb):
                limit = memory.compute_budget_bytes(memory_mb)
                shared = limit * memory.LARGE_BODY_SHARE
                self.assertGreaterEqual(shared, LARGEST_BODY)


class TableTest(unittest.TestCase):
    class Connection:
        def __init__(self, quiet_ms, has_request=False):
            self.quiet_ms, self.is_partial = quiet_ms, has_request
            self.is_evicted = False

        def get_quiet_ms(self, _):
            return 0 if self.is_evicted else self.quiet_ms

        def has_request(self):
            return self.is_partial

        def evict_if_quiet(self):
            self.is_evicted = True
            self.table.remove(self)
            return True

    def admit(self, table, *connections):
        for item in connections:
            self.assertTrue(table.admit())
            item.table = table
            table.add(item)

    def test_idle_connection_gives_way_before_a_stalled_one(self):
        table = crowding.ConnectionTable(3, Clock())
        newer, older = self.Connection(10), self.Connection(900)
        stalled = self.Connection(5_000, has_request=True)
        self.admit(table, newer, older, stalled, self.Connection(0))
        self.assertTrue(older.is_evicted)
        self.assertFalse(newer.is_evicted or stalled.is_evicted)

    def test_connection_in_use_does_not_give_way(self):
        table = crowding.ConnectionTable(1, Clock())
        used = self.Connection(0, has_request=True)
        self.admit(table, used)
        self.assertFalse(table.admit())
        self.assertFalse(used.is_evicted)
        self.assertEqual((table.count(), table.refused_count), (1, 1))


class ChunksTest(PipeliningCase):
    def send(self, framing, body, path="/o/x"):
        head = make_request("q1", path, extra=framing).replace(b"GET", b"POST", 1)
        connection = self.connect()
        connection.sendall(head + body)
        return connection

    def send_chunks(self, body):
        return self.send("Transfer-Encoding: chunked\r\n", body)

    def find_body(self):
        return next(item.bodies[-1] for item in self.instances if item.bodies)

    def test_tiny_and_large_chunks_are_joined(self):
        sizes = [1, 2, 7, 5_000, 70_000, 3, 8_190, 16, 300_000]
        parts = [bytes([65 + number]) * size for number, size in enumerate(sizes)]
        chunks = [b"%x;a=b\r\n%s\r\n" % (len(part), part) for part in parts]
        connection = self.send_chunks(b"".join([*chunks, b"0\r\nA: b\r\n\r\n"]))
        connection.sendall(make_request("q2"))
        answers = read_answers(connection, 2)
        self.assertEqual(answers, [(200, "reply to q1"), (200, "reply to q2")])
        sent = [body for item in self.instances for body in item.bodies if body]
        self.assertEqual(sent, [b"".join(parts)])

    def test_body_of_the_largest_size_is_served(self):
        """The framing counted as part of the body, so that the limit was lower."""
        body = bytes(1_000)
        chunks = (b"3e8\r\n" + body + b"\r\n") * 1_000
        answers = read_answers(self.send_chunks(chunks + b"0\r\n\r\n"), 1)
        self.assertEqual(answers, [(200, "reply to q1")])
        self.assertEqual(len(self.find_body()), 1_000_000)

    def test_body_over_the_limit_is_rejected(self):
        connection = self.send_chunks(b"F4241\r\n")
        self.assertEqual(read_answers(connection, 2)[0][0], 413)
        self.assertEqual(self.count_runs(), 0)

    def test_malformed_chunk_is_rejected(self):
        for chunk in (b"\r\n", b"x\r\n", b"-1\r\n", b"0x1\r\na\r\n", b"1\r\nabc\r\n"):
            with self.subTest(chunk):
                connection = self.send_chunks(chunk + b"0\r\n\r\n")
                self.assertEqual(read_answers(connection, 2)[0][0], 400)
        self.assertEqual(self.count_runs(), 0)

    def test_line_of_a_chunk_is_checked_however_it_arrives(self):
        """A line that was buffered with its chunk was accepted, in parts rejected."""
        long_line = b"5;" + b"a" * bodies.MAX_LINE_BYTES
        for line in (
            b"5;a\nxx",
            b"\n5",
            b"5\n",
            b"5;a\rxx",
            b"5\r",
            b"\r5",
            b"\x0b5",
            b"5\x0c",
            long_line,
        ):
            chunk = line + b"\r\nhello\r\n0\r\n\r\n"
            # A reader of this size holds the line and its chunk, or less than the line.
            for buffer_size in (2 * bodies.MAX_LINE_BYTES, 1):
                with self.subTest(line=line[:10], buffer_size=buffer_size):
                    rfile = io.BufferedReader(io.BytesIO(chunk), buffer_size)
                    with self.assertRaises(bodies.BodyError) as caught:
                        bodies.read_chunks(mock.Mock(rfile=rfile), mock.Mock())
                    fault = caught.exception.fault
                    self.assertEqual(fault, bodies.BodyFault.MALFORMED)

    def test_spaces_and_tabs_around_the_size_of_a_chunk_are_ignored(self):
        self.assertEqual(bodies.parse_chunk_size(b" 1f\t ;a=b\r\n"), 31)

    def test_line_without_an_end_is_rejected(self):
        connection = self.send_chunks(b"1" * bodies.MAX_LINE_BYTES)
        self.assertEqual(read_answers(connection, 2)[0][0], 400)

    def test_negative_length_is_rejected(self):
        connection = self.send("Content-Length: -1\r\n", b"x")
        self.assertEqual(read_answers(connection, 2)[0][0], 400)
        self.assertEqual(self.count_runs(), 0)

    def test_held_back_body_is_asked_for_and_its_refusal_reaches_the_caller(self):
        framing = "Expect: 100-continue\r\nContent-Length: 2\r\n"
        connection = self.send(framing, b"")
        self.assertIn(b" 100 ", connection.recv(100))
        connection.sendall(b"ab")
        self.assertEqual(read_answers(connection, 1), [(200, "reply to q1")])


class RefusalTest(PipeliningCase):
    memory_bytes = 500_000

    def test_body_without_memory_is_refused_and_never_runs(self):
        """The caller must get the whole refusal although it still sends."""
        self.enterContext(mock.patch.object(memory, "MAX_WAIT_MS", 50))
        holder = self.enterContext(self.memory.open(MemoryKind.BODY))
        holder.take(300_000, 0)
        connection = self.connect()
        connection.sendall(make_request("q1", "/o/x", b"x" * 300_000))
        self.assertEqual(read_answers(connection, 2), [(503, "")])
        self.assertEqual(self.count_runs(), 0)
        holder.close()
        connection = self.connect()
        connection.sendall(make_request("q2", "/o/x", b"x" * 300_000))
        self.assertEqual(read_answers(connection, 1), [(200, "reply to q2")])
        self.assertEqual(self.memory.get_held(MemoryKind.BODY), 0)

    def share_memory(self, reply_body):
        """Let the replies, which have a body, take memory from the same budget."""
        self.pool._memory = self.memory
        for item in self.instances:
            item.reply_body = reply_body

    def test_reply_gets_the_memory_of_its_own_request(self):
        """An order ran and was answered 502: its body left too little for the reply."""
        self.share_memory(b"y" * 300_000)
        connection = self.connect()
        connection.sendall(make_request("q1", "/o/x", b"x" * 460_000))
        self.assertEqual(read_answers(connection, 1), [(200, "y" * 300_000)])
        self.assertEqual(self.count_runs(), 1)
        connection.sendall(make_request("q2", "/o/x", b"x" * 460_000))
        self.assertEqual(read_answers(connection, 1), [(200, "y" * 300_000)])

    def test_last_attempt_of_a_lookup_gets_the_memory_of_its_body(self):
        """Until then the body is kept, since another attempt would need it."""
        self.share_memory(b"y" * 300_000)
        connection = self.connect()
        connection.sendall(make_request("q1", "/p/x", b"x" * 460_000))
        self.assertEqual(read_answers(connection, 1), [(200, "y" * 300_000)])
        self.assertEqual(self.count_runs(), 2)

    def test_stalled_body_is_refused_while_another_one_needs_its_memory(self):
        """Callers that stopped short of the end kept their memory for 15 s."""
        self.enterContext(mock.patch.object(memory_revocation, "STALL_MS", 50))
        stalled = self.connect()
        stalled.sendall(make_request("q1", "/o/x", b"x" * 300_000)[:-1])
        wait_for(lambda: self.memory.get_held(MemoryKind.BODY) == 300_000, "the body")
        connection = self.connect()
        connection.sendall(make_request("q2", "/o/x", b"x" * 300_000))
        self.assertEqual(read_answers(connection, 1), [(200, "reply to q2")])
        self.assertEqual(read_answers(stalled, 2), [(503, "")])
        self.assertFalse(self.was_run("q1"))
