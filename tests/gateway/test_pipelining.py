"""Tests of requests that a caller sends before earlier ones are answered."""

import socket
import threading
import time
from unittest import mock

from damaskdyke.catalogue.catalogue import build_catalogue
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import Address
from damaskdyke.gateway import callers
from damaskdyke.gateway.application import Application, make_caller_gateway
from damaskdyke.gateway.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerWatch,
)
from damaskdyke.gateway.crowding import ConnectionTable
from damaskdyke.gateway.instruments import Instruments
from damaskdyke.gateway.memory import MemoryBudget
from damaskdyke.gateway.pipeline import MAX_REQUESTS_AHEAD, Pipeline
from damaskdyke.gateway.server import ThreadedServer
from damaskdyke.platform.headers import HEADERS
from damaskdyke.testbed.instance import Behaviour
from damaskdyke.testbed.processes import wait_for
from tests.gateway.cases import GatewayCase, make_route, make_rules

DELAY_MS = 300


class WatchTest(GatewayCase):
    """A lookup was given up while another thread read the one behind it."""

    def test_data_that_another_thread_has_read_is_no_departure(self):
        self.caller.settimeout(0.05)
        watch = CallerWatch(self.caller)
        with mock.patch.object(callers, "is_readable", return_value=True):
            watch.check()

    def test_departure_is_noticed(self):
        watch = CallerWatch(self.caller)
        self.caller_end.close()
        with self.assertRaises(CallerDisconnected):
            watch.check()


class PipeliningCase(GatewayCase):
    upstreams = 3
    memory_bytes = 100_000_000

    def setUp(self):
        super().setUp()
        order = make_route(is_idempotent=False, name="o", prefix="/o/")
        self.view = build_catalogue(
            1,
            make_rules(make_route(timeout_ms=5_000), order),
            {item.name: item.describe() for item in self.instances},
        )
        self.memory = MemoryBudget(self.memory_bytes, self.clock)
        application = Application(
            self.dispatcher,
            self.pool,
            HEADERS,
            Instruments(),
            self.clock,
            lambda: self.view,
            lambda: True,
            lambda: 1,
        )
        self.server = ThreadedServer(
            Address("127.0.0.1:0"),
            make_caller_gateway(application, HEADERS, self.memory),
            self.clock,
        )
        self.server.max_request_header_size = 16_384
        self.server.max_request_body_size = 1_000_000
        self.enterContext(self.server)
        self.addCleanup(self.server.stop_accepting)

    def connect(self):
        address = self.server._listener.getsockname()
        connection = self.enterContext(socket.create_connection(address, 20))
        return connection

    def set_delay(self, delay_ms):
        for item in self.instances:
            item.delay_ms = delay_ms

    def hold(self):
        """Hold all replies until the event that is returned is set."""
        release = threading.Event()
        self.addCleanup(release.set)
        for item in self.instances:
            item.release = release
        return release

    def open_connection(self):
        """Return the proxy's side of a caller's connection, with a clock at 1,000."""
        self.manual_clock = ManualClock(1_000)
        return CallerConnection(self.server, self.caller, self.manual_clock)

    def count_runs(self):
        return sum(sum(item.runs.values()) for item in self.instances)

    def was_run(self, request):
        return any(item.runs[request] for item in self.instances)


def make_request(request, path="/p/x", body=b"", deadline_ms=4_000, extra=""):
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"{HEADERS.request_id}: {request}\r\n"
        f"{HEADERS.deadline_ms}: {deadline_ms}\r\n{length}{extra}\r\n"
    )
    return head.encode() + body


def read_answers(connection, count):
    """Return status and body of a number of answers; fewer if the connection ends."""
    reader = connection.makefile("rb")
    answers = []
    for _ in range(count):
        line = reader.readline()
        if not line:
            break
        length = 0
        while (header := reader.readline().strip()) != b"":
            name, _, value = header.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        answers.append((int(line.split()[1]), reader.read(length).decode()))
    return answers


class PipeliningTest(PipeliningCase):
    def test_lookups_sent_ahead_run_at_the_same_time_and_are_answered_in_order(self):
        release = self.hold()
        connection = self.connect()
        names = [f"q{number}" for number in range(5)]
        connection.sendall(b"".join(make_request(name) for name in names))
        wait_for(lambda: self.count_runs() == 5, "all to run")
        release.set()
        expected = [(200, f"reply to {name}") for name in names]
        self.assertEqual(read_answers(connection, 5), expected)

    def test_slow_first_answer_does_not_let_a_later_one_overtake(self):
        release = self.hold()
        connection = self.connect()
        connection.sendall(make_request("q0"))
        wait_for(lambda: self.count_runs() == 1, "the first to run")
        for item in self.instances:
            item.release = None
        connection.sendall(make_request("q1") + make_request("q2"))
        wait_for(lambda: self.count_runs() == 3, "the others to run")
        release.set()
        expected = [(200, f"reply to q{number}") for number in range(3)]
        self.assertEqual(read_answers(connection, 3), expected)

    def test_deadline_counts_from_the_arrival(self):
        self.set_delay(DELAY_MS)
        connection = self.connect()
        connection.sendall(
            make_request("q0") + make_request("q1", "/o/x", b"x", deadline_ms=2_000)
        )
        self.assertEqual(
            [status for status, _ in read_answers(connection, 2)], [200] * 2
        )
        given = [item.deadlines[-1] for item in self.instances if item.runs["q1"]]
        self.assertLess(given[0], 2_000 - DELAY_MS * 0.9)

    def test_order_waits_for_the_answers_ahead(self):
        self.set_delay(DELAY_MS)
        connection = self.connect()
        connection.sendall(make_request("q0") + make_request("q1", "/o/x", b"x"))
        wait_for(lambda: self.was_run("q0"), "the lookup to run")
        self.assertFalse(self.was_run("q1"))
        answers = read_answers(connection, 2)
        self.assertEqual([body for _, body in answers], ["reply to q0", "reply to q1"])

    def test_malformed_request_in_the_middle_answers_those_before_it(self):
        self.set_delay(DELAY_MS)
        connection = self.connect()
        connection.sendall(
            make_request("q0")
            + make_request("q1")
            + b"nonsense\r\n\r\n"
            + make_request("q3")
        )
        answers = read_answers(connection, 5)
        self.assertEqual([status for status, _ in answers], [200, 200, 400])
        self.assertFalse(self.was_run("q3"))

    def test_nothing_behind_a_closing_answer_runs(self):
        self.set_delay(DELAY_MS)
        connection = self.connect()
        closing = make_request("q0", extra="Connection: close\r\n")
        connection.sendall(closing + make_request("q1", "/o/x", b"x"))
        self.assertEqual(read_answers(connection, 2), [(200, "reply to q0")])
        self.assertFalse(self.was_run("q1"))

    def test_departure_with_unread_data_is_noticed(self):
        self.set_delay(1_000_000)
        connection = self.connect()
        order = make_request("q0", "/o/x", b"x")
        connection.sendall(order + make_request("q1") + make_request("q2"))
        wait_for(lambda: self.was_run("q0"), "the order to run")
        connection.close()
        wait_for(lambda: any(item.ended.is_set() for item in self.instances), "its end")
        self.assertFalse(self.was_run("q1"))

    def test_departure_cancels_every_request_in_flight(self):
        self.set_delay(1_000_000)
        connection = self.connect()
        connection.sendall(b"".join(make_request(f"q{n}") for n in range(3)))
        wait_for(lambda: self.count_runs() == 3, "all to run")
        connection.close()
        wait_for(lambda: not self.server.count_in_flight(), "the end of all requests")

    def test_thousands_sent_ahead_are_answered(self):
        connection = self.connect()
        count = 2_000
        connection.settimeout(60)
        sent = b"".join(make_request(f"q{n}", "/none/") for n in range(count))
        sender = threading.Thread(target=connection.sendall, args=(sent,))
        sender.start()
        answers = read_answers(connection, count)
        sender.join()
        self.assertEqual([status for status, _ in answers], [404] * count)

    def test_requests_in_flight_of_one_connection_are_bounded(self):
        self.set_delay(DELAY_MS)
        connection = self.connect()
        count = 3 * MAX_REQUESTS_AHEAD
        connection.sendall(b"".join(make_request(f"q{n}") for n in range(count)))
        most = 0
        deadline = time.monotonic() + 20
        while self.count_runs() < count and time.monotonic() < deadline:
            most = max(most, self.server.count_in_flight())
            time.sleep(0.005)
        self.assertLessEqual(most, MAX_REQUESTS_AHEAD)
        self.assertEqual(len(read_answers(connection, count)), count)

    def test_drain_answers_all_that_was_forwarded_and_closes_after_the_last(self):
        release = self.hold()
        connection = self.connect()
        connection.sendall(make_request("q0") + make_request("q1"))
        wait_for(lambda: self.count_runs() == 2, "both to run")
        self.server.drain()
        connection.sendall(make_request("q2"))
        release.set()
        expected = [(200, "reply to q0"), (200, "reply to q1")]
        self.assertEqual(read_answers(connection, 2), expected)
        self.assertEqual(read_answers(connection, 1), [])
        self.assertFalse(self.was_run("q2"))


class ArrivalTest(PipeliningCase):
    """A request seemed to have come when another thread read the one before it."""

    def read_after_a_pause(self, connection):
        """Return when the next request, read 5 s later, seems to have come."""
        connection.read_ahead()
        self.manual_clock.advance(5_000)
        connection.begin_request(1_000)
        return connection.arrived_at

    def test_data_that_another_thread_reads_does_not_wait(self):
        self.assertEqual(self.read_after_a_pause(self.open_connection()), 6_000)

    def test_data_that_another_thread_has_read_does_not_wait(self):
        connection = self.open_connection()
        connection.pipeline.release_reading()
        self.assertEqual(self.read_after_a_pause(connection), 6_000)

    def test_data_that_nobody_reads_waits(self):
        connection = self.open_connection()
        self.caller_end.sendall(make_request("q1"))
        connection.pipeline.release_reading()
        self.assertEqual(self.read_after_a_pause(connection), 1_000)


class EvictionTest(PipeliningCase):
    def test_request_after_the_choice_keeps_its_connection(self):
        """A connection was evicted although a request had begun after the choice."""
        connection = self.open_connection()
        table = ConnectionTable(1, self.manual_clock)
        self.assertTrue(table.admit())
        table.add(connection)
        self.manual_clock.advance(5_000)
        choose = table._choose_victim

        def choose_before_a_request():
            victim = choose()
            if victim is connection:
                connection.begin_request(1_000)
            return victim

        with mock.patch.object(table, "_choose_victim", choose_before_a_request):
            self.assertFalse(table.admit())
        self.assertTrue(connection.pipeline.is_wanted(connection.reading_number))
        self.assertEqual(table.evicted_count, 0)

    def test_request_that_became_whole_keeps_its_connection(self):
        """A stalled request may have run by the time its connection was evicted."""
        connection = self.open_connection()
        connection.begin_request(1_000)
        self.manual_clock.advance(5_000)
        connection.end_reading()
        self.assertFalse(connection.evict_if_quiet())
        self.assertFalse(connection.pipeline.is_caller_gone)

    def test_stalled_connection_ends(self):
        connection = self.open_connection()
        connection.begin_request(1_000)
        self.assertFalse(connection.evict_if_quiet())
        self.manual_clock.advance(5_000)
        self.assertTrue(connection.evict_if_quiet())
        self.assertTrue(connection.pipeline.is_caller_gone)


class CallerLimitsTest(PipeliningCase):
    def test_head_a_byte_at_a_time_ends_at_the_header_timeout(self):
        self.server.get_header_timeout_ms = lambda: 300
        connection = self.connect()
        connection.settimeout(0.02)
        head = make_request("q0", extra="X-Long: " + "x" * 2_000)
        for number in range(len(head)):
            try:
                connection.sendall(head[number : number + 1])
                if connection.recv(1) is not None:
                    break
            except TimeoutError:
                continue
            except OSError:
                break
        self.assertLess(number, len(head) - 1)
        self.assertFalse(self.count_runs())

    def test_body_that_breaks_off_is_not_forwarded(self):
        connection = self.connect()
        connection.sendall(make_request("q0", "/o/x", b"impeller")[:-3])
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(read_answers(connection, 1), [])
        self.assertFalse(self.count_runs())

    def test_body_in_chunks_is_followed_by_the_next_request(self):
        connection = self.connect()
        extra = "Transfer-Encoding: chunked\r\n"
        head = make_request("q0", "/o/x", extra=extra).replace(b"GET", b"POST")
        connection.sendall(head + b"3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n")
        self.assertEqual(read_answers(connection, 1), [(200, "reply to q0")])
        connection.sendall(make_request("q1"))
        self.assertEqual(read_answers(connection, 1), [(200, "reply to q1")])
        bodies = [body for item in self.instances for body in item.bodies if body]
        self.assertEqual(bodies, [b"abc"])

    def test_error_answer_of_an_upstream_keeps_the_connection(self):
        for item in self.instances:
            item.behaviour = Behaviour.ERROR
        connection = self.connect()
        for number in range(2):
            connection.sendall(make_request(f"q{number}", "/o/x", b"x"))
            self.assertEqual(read_answers(connection, 1), [(500, "failed")])


class PipelineTest(GatewayCase):
    def test_answers_keep_their_order(self):
        pipeline = Pipeline()
        first, second = pipeline.begin(), pipeline.begin()
        self.assertFalse(pipeline.wait_turn(second, 1))
        pipeline.finish(first, is_closing=False)
        self.assertTrue(pipeline.wait_turn(second, 1))

    def test_only_the_last_request_closes_the_connection(self):
        pipeline = Pipeline()
        first, second = pipeline.begin(), pipeline.begin()
        self.assertFalse(pipeline.close_after(first))
        self.assertTrue(pipeline.close_after(second))
        self.assertIsNone(pipeline.begin())

    def test_one_thread_at_a_time_reads(self):
        pipeline = Pipeline()
        pipeline.begin()
        self.assertFalse(pipeline.take_reading())
        pipeline.release_reading()
        self.assertTrue(pipeline.take_reading())
        self.assertFalse(pipeline.take_reading())

    def test_nobody_reads_while_too_many_are_in_flight(self):
        pipeline = Pipeline()
        for _ in range(MAX_REQUESTS_AHEAD):
            pipeline.begin()
        pipeline.release_reading()
        self.assertFalse(pipeline.take_reading())
        pipeline.finish(0, is_closing=False)
        self.assertTrue(pipeline.take_reading())
