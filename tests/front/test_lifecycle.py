import contextlib
import unittest

from damaskdyke.front.lifecycle import DRAIN_POLL_INTERVAL_MS, Lifecycle
from tests.kernels import make_kernel


class BusyClock:
    """Lets a request begin before the one before it ends, whenever a proxy waits."""

    def __init__(self, clock, lifecycle, is_endless):
        self._advance = clock.advance
        self._lifecycle = lifecycle
        self._is_endless = is_endless
        self._current = self.begin()

    def begin(self):
        request = contextlib.ExitStack()
        request.enter_context(self._lifecycle.track_request())
        return request

    def sleep(self, duration):
        self._advance(duration)
        if not self._is_endless:
            previous, self._current = self._current, self.begin()
            previous.close()


class DrainTest(unittest.TestCase):
    def drain(self, is_endless):
        """Return how long a drain takes in ms."""
        kernel = make_kernel()
        lifecycle = kernel.get(Lifecycle)
        busy = BusyClock(kernel.clock, lifecycle, is_endless)
        kernel.clock.sleep = busy.sleep
        started_at = kernel.clock.now()
        lifecycle.drain()
        return kernel.clock.now() - started_at

    def test_callers_that_go_on_sending_do_not_delay_the_stop(self):
        timing = make_kernel().settings.timing
        limit_ms = timing.drain_notice_ms + 4 * DRAIN_POLL_INTERVAL_MS
        self.assertLessEqual(self.drain(is_endless=False), limit_ms)

    def test_request_in_flight_is_waited_for_up_to_the_drain_limit(self):
        timing = make_kernel().settings.timing
        self.assertGreaterEqual(self.drain(is_endless=True), timing.drain_limit_ms)
