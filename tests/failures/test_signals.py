import ctypes
import os
import signal
from pathlib import Path

from tests.failures.cases import FleetCase


class StopSignalTest(FleetCase):
    """A stop signal that another thread took, as after a freeze, was never handled."""

    plan = {"proxies": 1}

    def test_signal_that_another_thread_takes_stops_the_proxy(self):
        process = self.fleet.proxies[0].process
        threads = {
            int(path.name) for path in Path(f"/proc/{process.pid}/task").iterdir()
        }
        other = max(threads - {process.pid})
        library = ctypes.CDLL(None, use_errno=True)
        result = library.tgkill(process.pid, other, signal.SIGTERM)
        self.assertEqual(result, 0, os.strerror(ctypes.get_errno()))
        self.assertEqual(process.wait(), 0)
