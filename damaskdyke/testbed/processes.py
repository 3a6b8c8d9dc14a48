"""Processes of a test fleet."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

STOP_SECONDS = 15
START_SECONDS = 30
POLL_SECONDS = 0.02


def find_free_port(host: str) -> int:
    """Return a TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def make_address(host: str) -> str:
    """Return ``host`` with a free port."""
    return f"{host}:{find_free_port(host)}"


class ChildProcess:
    """One process of a fleet.

    Parameters
    ----------
    name : str
        Name for messages and the log file.
    arguments : list of str
        Arguments of the command line.
    log : Path
        File for the process's standard error.
    """

    def __init__(self, name: str, arguments: list[str], log: Path):
        self.name = name
        self.log = log
        self._arguments = arguments
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as sink:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "damaskdyke", *self._arguments],
                stdout=sink,
                stderr=sink,
                stdin=subprocess.DEVNULL,
                env=dict(os.environ, PYTHONUNBUFFERED="1"),
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process lives."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        self._process.wait(STOP_SECONDS)

    def terminate(self) -> None:
        """Ask the process to stop; do not wait."""
        self.send(signal.SIGTERM)

    def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the end and return the exit code."""
        return self._process.wait(seconds)

    def stop(self) -> None:
        """Stop the process, by force if it does not follow."""
        if self._process is None or self._process.poll() is not None:
            return
        self.send(signal.SIGCONT)
        self.kill()

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self.log.read_text(errors="replace")


def wait_for(condition, what: str, seconds: float = START_SECONDS) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold in time; the time only bounds a hanging test.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"waited in vain for {what}")
