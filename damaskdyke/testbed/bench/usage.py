"""Processor time, memory and peer traffic of a proxy process."""

import os
from dataclasses import dataclass
from pathlib import Path

from damaskdyke.testbed.fleet import FleetProxy

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat in clock ticks, counted from the one after the command name.
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12


@dataclass(frozen=True)
class Usage:
    """Resource usage of a process since its start; memory is the current value."""

    processor_seconds: float
    resident_bytes: int
    peer_bytes: int


def read_processor_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (
        int(text[USER_TIME_FIELD]) + int(text[SYSTEM_TIME_FIELD])
    ) / TICKS_PER_SECOND


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def read_usage(proxy: FleetProxy) -> Usage:
    """Return the resource usage of a proxy; peer bytes count both directions."""
    status = proxy.read_status()
    traffic = status["peer_bytes_sent"] + status["peer_bytes_received"]
    pid = proxy.process.pid
    return Usage(read_processor_seconds(pid), read_resident_bytes(pid), traffic)
