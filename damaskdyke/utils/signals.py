"""Signals of the process, for the main thread to wait for."""

import queue
import signal
from types import FrameType

# Python runs signal handlers in the main thread only. The system may deliver a signal
# to another thread, for instance right after a freeze; the main thread then learns of
# it when it wakes up.
MAX_WAIT_SECONDS = 1.0


class SignalQueue:
    """Queue of the signals that the process receives, until it ends.

    Its handler may interrupt the thread that waits; one that sets a `threading.Event`
    could block on the lock which that thread holds.

    Parameters
    ----------
    *numbers : signal.Signals
        Signals to queue.
    """

    def __init__(self, *numbers: signal.Signals):
        self._received: queue.SimpleQueue[signal.Signals] = queue.SimpleQueue()
        for number in numbers:
            signal.signal(number, self._receive)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        self._received.put(signal.Signals(number))

    def poll(self) -> signal.Signals | None:
        """Return the next signal, ``None`` if none came within `MAX_WAIT_SECONDS`."""
        try:
            return self._received.get(timeout=MAX_WAIT_SECONDS)
        except queue.Empty:
            return None

    def wait(self) -> signal.Signals:
        """Return the next signal, however long it takes."""
        while (number := self.poll()) is None:
            pass
        return number
