"""Connections of callers: reading with a time limit, requests ahead, departures."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable

from cheroot.errors import MaxSizeExceeded
from cheroot.makefile import MakeFile
from cheroot.server import (
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    SizeCheckWrapper,
)

from damaskdyke.core.clock import Clock, Millis
from damaskdyke.gateway.memory import MAX_WAIT_MS
from damaskdyke.gateway.memory_holds import (
    STALL_MS,
    MemoryHold,
    MemoryKind,
    MemoryRefused,
)
from damaskdyke.gateway.pipeline import Pipeline
from damaskdyke.utils.heads import (
    HeadChecker,
    HeadFault,
    HeadRefused,
    find_request_line_fault,
)
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.polling import is_hung_up, is_readable
from damaskdyke.utils.sockets import TimedSocketIO

logger = logging.getLogger("damaskdyke.gateway")

# A departure that no data on the connection shows is looked for this often.
DEPARTURE_CHECK_MS = 200
# Bytes of a request beyond its head and body: the library's read-ahead, and the framing
# of a body in chunks.
FRAMING_BYTES = 1_048_576
# Largest part of a body that is written at once.
WRITE_BYTES = 64 * 1024
# Answer where the head of a request is not read, so that its id is not known.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
BAD_HEAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# Lines of a head whose objects count as part of the connection, further lines for which
# memory is taken at once, and the memory of each: 2,300 lines took 0.5 MB.
FREE_HEAD_LINES = 100
HEAD_STEP_LINES = 128
HEAD_LINE_BYTES = 512


class CallerDisconnected(Exception):
    """The caller closed its connection before its request was answered."""


class CallerWatch:
    """Tells whether the caller of one request is still there.

    Parameters
    ----------
    connection : socket.socket
        The caller's connection.
    read_ahead : callable
        Lets another thread read what the caller sends meanwhile.
    has_unread_data : callable
        Returns whether data of the next request was read from the connection already.
    is_wanted : callable
        Returns whether an answer can still reach the caller, as far as other threads
        of the connection know.
    wait_turn : callable
        Waits a number of ms until all earlier requests are answered; returns whether
        they are.
    """

    def __init__(
        self,
        connection: socket.socket,
        read_ahead: Callable[[], object] = lambda: None,
        has_unread_data: Callable[[], bool] = lambda: False,
        is_wanted: Callable[[], bool] = lambda: True,
        wait_turn: Callable[[int], bool] = lambda timeout_ms: True,
    ):
        self._socket = connection
        self._read_ahead = read_ahead
        self._has_unread_data = has_unread_data
        self._is_wanted = is_wanted
        self._wait_turn = wait_turn
        # Whether the connection becomes readable only when the caller closes it.
        self._is_polled = True
        self._may_read_ahead = False

    @property
    def sockets(self) -> list[socket.socket]:
        """Return the sockets to poll besides those of the upstreams."""
        return [self._socket] if self._is_polled else []

    def limit_wait(self, wait_ms: float) -> float:
        """Return a time to wait after which :meth:`check` must be called."""
        return wait_ms if self._is_polled else min(wait_ms, DEPARTURE_CHECK_MS)

    def allow_reading_ahead(self) -> None:
        """Let the requests behind this one be handled at the same time."""
        self._may_read_ahead = True
        if self._has_unread_data():
            self._is_polled = False
            self._read_ahead()

    def check(self) -> None:
        """Raise :class:`CallerDisconnected` if the caller closed its connection.

        A caller that has sent its next request is from then on watched without
        polling, as its unread data would end each poll at once.
        """
        if not self._is_wanted():
            raise CallerDisconnected
        if not self._is_polled:
            if is_hung_up(self._socket):
                raise CallerDisconnected
            return
        if not is_readable(self._socket):
            return
        # Another thread may read the data meanwhile, so that none is asked for here.
        if is_hung_up(self._socket):
            raise CallerDisconnected
        self._is_polled = False
        if self._may_read_ahead:
            self._read_ahead()

    def wait_for_answers_ahead(self, deadline: int, clock: Clock) -> None:
        """Wait until all earlier requests of the connection are answered.

        Raises
        ------
        CallerDisconnected
            If the caller closed its connection, or an answer ahead closes it.
        TimeoutError
            If the deadline has passed.
        """
        while not self._wait_turn(DEPARTURE_CHECK_MS):
            self.check()
            if clock.now() >= deadline:
                raise TimeoutError
        if not self._is_wanted():
            raise CallerDisconnected


class RequestLineReader:
    """Reader that keeps the last line, of which the library strips both ends.

    Parameters
    ----------
    wrapped : SizeCheckWrapper
        The library's reader.
    """

    def __init__(self, wrapped: SizeCheckWrapper):
        self.wrapped = wrapped
        self.line = b""

    def readline(self) -> bytes:
        """Return the next line."""
        self.line = self.wrapped.readline()
        return self.line


class HeadReader:
    """Reader of a head's lines, in place of the library's, which limits only bytes.

    Parameters
    ----------
    wrapped : SizeCheckWrapper
        The library's reader.
    checker : HeadChecker
        Checks each line.
    take_memory : callable
        Called for every ``HEAD_STEP_LINES`` lines after the first ones; may raise.
    """

    def __init__(
        self,
        wrapped: SizeCheckWrapper,
        checker: HeadChecker,
        take_memory: Callable[[], None],
    ):
        self._checker = checker
        self._rfile = wrapped.rfile
        # Without a limit in the configuration, that of the framing applies.
        self._bytes_left = (wrapped.maxlen or FRAMING_BYTES) - wrapped.bytes_read
        self._take_memory = take_memory
        self._lines_left = FREE_HEAD_LINES

    def readline(self) -> bytes:
        """Return the next line.

        Raises
        ------
        MaxSizeExceeded
            If the head is over the byte limit.
        HeadRefused
            If the line is ambiguous or invalid.
        """
        if not self._lines_left:
            self._take_memory()
            self._lines_left = HEAD_STEP_LINES
        self._lines_left -= 1
        line = self._rfile.readline(self._bytes_left + 1)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise MaxSizeExceeded
        self._checker.check_line(line)
        return line


class CallerRequestHandler(HTTPRequest):
    """A request with its place in the connection's order and its time of arrival."""

    def __init__(self, server, conn: "CallerConnection"):
        super().__init__(server, conn)
        # Memory of the request; `None` until its head or its body needs some.
        self.hold: MemoryHold | None = None
        self.number = conn.reading_number
        self.arrived_at = conn.arrived_at
        self._has_answer = False
        self._expects_continue = False

    def header_reader(self, rfile, headers: dict[bytes, bytes]) -> None:
        """Read the header; the library would answer an expectation out of turn.

        A header of many lines takes memory from the budget.

        Raises
        ------
        HeadRefused
            If it is ambiguous or invalid.
        """
        checker = HeadChecker()
        reader = HeadReader(rfile, checker, self._take_head_memory)
        HeaderReader()(reader, headers)
        checker.check_framing(self.response_protocol == "HTTP/1.1")
        expectation = headers.pop(b"Expect", b"")
        self._expects_continue = expectation.lower() == b"100-continue"

    def read_request_line(self) -> bool:
        """Read the request line; refuse one that others may read differently."""
        reader = RequestLineReader(self.rfile)
        self.rfile = reader
        try:
            is_valid = super().read_request_line()
        finally:
            self.rfile = reader.wrapped
        if not is_valid:
            return False
        fault = find_request_line_fault(reader.line)
        if fault is not None:
            self._refuse_head(fault)
            return False
        return True

    def read_request_headers(self) -> bool:
        """Read the header; refuse one that is ambiguous or finds no memory."""
        is_valid = False
        try:
            is_valid = super().read_request_headers()
        except HeadRefused as error:
            self._refuse_head(error.fault)
        except MemoryRefused as error:
            log_event(
                logger,
                "refused",
                logging.WARNING,
                reason=error.reason.value,
                part="head",
                **error.inputs,
            )
            self._refuse(REFUSAL)
        finally:
            if not is_valid and self.hold is not None:
                self.hold.close()
        return is_valid

    def _take_head_memory(self) -> None:
        """Take memory for further lines of the head."""
        if self.server.memory is None:
            return
        if self.hold is None:
            self.hold = self.server.memory.open(MemoryKind.BODY)
        self.hold.take(HEAD_STEP_LINES * HEAD_LINE_BYTES, MAX_WAIT_MS)

    def _refuse_head(self, fault: HeadFault) -> None:
        """Answer 400 to a head; what follows it is not read."""
        log_event(logger, "head-refused", logging.WARNING, reason=fault.value)
        self._refuse(BAD_HEAD)

    def _refuse(self, answer: bytes) -> None:
        """Write an answer as the last one; what follows the request is not read."""
        self._has_answer = True
        self.close_connection = True
        if self.wait_turn():
            self.conn.pipeline.close_after(self.number)
            self.conn.wfile.write(answer)

    def send_continue(self) -> None:
        """Ask for the body if the caller waits for that."""
        if self._expects_continue and self.wait_turn():
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def parse_request(self) -> None:
        """Read the head; one that ends before it begins is a departure."""
        super().parse_request()
        if not self.ready and not self._has_answer:
            self.conn.pipeline.mark_caller_gone()

    def simple_response(self, status, msg="") -> None:
        """Write an error of the library in its turn, as the last answer."""
        self._has_answer = True
        self.close_connection = True
        if self.wait_turn():
            self.conn.pipeline.close_after(self.number)
            super().simple_response(status, msg)

    def wait_turn(self) -> bool:
        """Wait for the answers ahead; return whether this one can reach the caller."""
        pipeline = self.conn.pipeline
        while not pipeline.wait_turn(self.number, DEPARTURE_CHECK_MS):
            if is_hung_up(self.conn.socket):
                pipeline.mark_caller_gone()
        return pipeline.is_wanted(self.number)

    def make_watch(self) -> CallerWatch:
        """Return the watch over the caller while this request is handled."""
        connection = self.conn
        return CallerWatch(
            connection.socket,
            connection.read_ahead,
            connection.has_unread_data,
            lambda: connection.pipeline.is_wanted(self.number),
            lambda timeout_ms: connection.pipeline.wait_turn(self.number, timeout_ms),
        )


class CallerConnection(HTTPConnection):
    """A caller's connection, on which several requests may be in flight."""

    RequestHandlerClass = CallerRequestHandler

    def __init__(self, server, sock: socket.socket, clock: Clock):
        self._clock = clock
        self._raw_reader = TimedSocketIO(sock, clock)
        super().__init__(server, sock, self._make_file)
        self.pipeline = Pipeline()
        # Number and time of arrival of the request that is being read.
        self.reading_number = 0
        self.arrived_at = Millis(0)
        # Since when data of the next request is known to wait, ``None`` if it is not.
        self._unread_since: Millis | None = None
        self._lock = threading.Lock()
        self._threads = 1
        self.start_reader: Callable[[CallerConnection], object] = lambda _: None
        # Counts a reader if there may be one more, and one that was not started.
        self.may_start_reader: Callable[[], bool] = lambda: True
        self.on_reader_refused: Callable[[], object] = lambda: None
        self.on_close: Callable[[CallerConnection], object] = lambda _: None
        # Whether the last answer was written, and the caller has yet to close.
        self._is_closing = False
        # Since when the caller has sent no whole request, ``None`` while one is
        # handled; and whether part of one is there.
        self.quiet_since: Millis | None = clock.now()
        self.has_partial_request = False
        # Memory of the body that is being read, and of the reply being written.
        self.reading_hold: MemoryHold | None = None
        self.writing_hold: MemoryHold | None = None

    def _make_file(self, sock: socket.socket, mode: str, buffer_size: int):
        made = MakeFile(sock, mode, buffer_size)
        if "r" in mode:
            # The library offers no other way to replace the raw reader.
            made._raw = self._raw_reader
        return made

    def begin_request(self, read_timeout_ms: int) -> int | None:
        """Return the number of the next request; it must be read in a time limit."""
        now = self._clock.now()
        self.arrived_at = now if self._unread_since is None else self._unread_since
        self._unread_since = None
        with self._lock:
            self.quiet_since = now
            self.has_partial_request = True
        self.limit_read(read_timeout_ms)
        number = self.pipeline.begin()
        if number is not None:
            self.reading_number = number
        return number

    def limit_read(
        self, timeout_ms: int, check: Callable[[], None] | None = None
    ) -> None:
        """Set the time limit for the part of a request that is read next.

        ``check`` is called while bytes are awaited and may raise to end the read.
        """
        max_bytes = self.server.max_request_header_size
        max_bytes += self.server.max_request_body_size + FRAMING_BYTES
        self._raw_reader.start_message(timeout_ms, max_bytes, check)

    def read_into(self, buffer: memoryview) -> int:
        """Read what has arrived, at least a byte; return its size, 0 at the end."""
        if not self.rfile.has_data():
            return self._raw_reader.readinto(buffer)
        data = self.rfile.read1(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def write_in_pieces(self, data: bytes | memoryview) -> None:
        """Write a body without a second copy of it, which the library would make."""
        with memoryview(data) as view:
            start = 0
            while start < len(view):
                with view[start : start + WRITE_BYTES] as piece:
                    count = self.socket.send(piece)
                start += count
                if self.writing_hold is not None:
                    self.writing_hold.record_progress(count)

    def await_request(self) -> None:
        """Record that no request is there."""
        with self._lock:
            self.quiet_since = self._clock.now()
            self.has_partial_request = False

    def get_quiet_ms(self, now: Millis) -> int:
        """Return for how long the caller has kept the connection without progress.

        It is 0 while a request is handled.
        """
        writing, reading, since = (
            self.writing_hold,
            self.reading_hold,
            self.quiet_since,
        )
        if writing is not None:
            return writing.get_stalled_ms(now)
        if self.pipeline.count_in_flight() > self.has_partial_request:
            return 0
        if reading is not None:
            return reading.get_stalled_ms(now)
        return 0 if since is None else now - since

    def has_request(self) -> bool:
        """Return whether a request, or a part of one, is there."""
        if self._is_closing:
            # Its last answer may still be on its way.
            return True
        return self.quiet_since is None or self.has_partial_request

    def evict_if_quiet(self) -> bool:
        """End the connection if it is idle or stalled; return whether it ends.

        The lock keeps a request from beginning, or becoming whole, after the check.
        """
        with self._lock:
            quiet_ms = self.get_quiet_ms(self._clock.now())
            if not quiet_ms or (self.has_request() and quiet_ms < STALL_MS):
                return False
            self.evict()
        return True

    def evict(self) -> None:
        """End the connection; requests that are not passed on yet never are."""
        self.pipeline.mark_caller_gone()
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def end_reading(self) -> None:
        """Give the reading role up, as the present request was read whole."""
        with self._lock:
            self.quiet_since = None
            self.has_partial_request = False
        if self.rfile.has_data():
            self._unread_since = self._clock.now()
        self.pipeline.release_reading()

    def has_unread_data(self) -> bool:
        """Return whether data of the next request was read already."""
        return self.rfile.has_data()

    def read_ahead(self) -> None:
        """Let another thread read the next request, unless one does or none may.

        During a drain the caller is to send it elsewhere.
        """
        has_role = not self.server.is_draining and self._take_reading_ahead()
        if self._unread_since is None and self._has_unread_request(has_role):
            self._unread_since = self._clock.now()
        if not has_role:
            return
        with self._lock:
            self._threads += 1
        self.start_reader(self)

    def _take_reading_ahead(self) -> bool:
        """Take the reading role for another thread, if there may be one more."""
        if not self.may_start_reader():
            return False
        if self.pipeline.take_reading():
            return True
        self.on_reader_refused()
        return False

    def _has_unread_request(self, has_role: bool) -> bool:
        """Return whether data waits that no other thread is reading."""
        if has_role:
            return self.rfile.has_data() or is_readable(self.socket)
        return not self.pipeline.is_read

    def leave(self) -> None:
        """End one thread's work on the connection; the last one closes it.

        The caller may not have received the last answer yet, and may go on sending.
        """
        with self._lock:
            self._threads -= 1
            if self._threads:
                return
            self.quiet_since = self._clock.now()
            self.has_partial_request = False
            self._is_closing = True
        if self.pipeline.is_caller_gone:
            self._finish()
        else:
            self.server.closer.close(self.socket, self._finish)

    def _finish(self) -> None:
        try:
            self.close()
        finally:
            self.on_close(self)
