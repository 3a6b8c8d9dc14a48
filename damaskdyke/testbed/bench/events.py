"""Reads state changes of upstreams from the logs of proxies."""

import calendar
import re
import time
from dataclasses import dataclass

from damaskdyke.testbed.fleet import Fleet, FleetProxy

# ``key=value`` in a log line; quoted values have escaped quotes.
LOG_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
MILLIS_PER_SECOND = 1000


@dataclass(frozen=True)
class StateChange:
    """State change of an upstream, as one proxy logged it.

    Parameters
    ----------
    proxy : str
        Address of the proxy.
    at : float
        Seconds since the epoch.
    upstream : str
        Id of the upstream.
    after : str
        New state.
    reason : str
        Reason for the change.
    """

    proxy: str
    at: float
    upstream: str
    after: str
    reason: str


def parse_timestamp(text: str) -> float:
    """Return the seconds since the epoch of a log line's UTC timestamp."""
    whole, _, millis = text.rstrip("Z").partition(".")
    seconds = calendar.timegm(time.strptime(whole, "%Y-%m-%dT%H:%M:%S"))
    return seconds + int(millis or 0) / MILLIS_PER_SECOND


def read_changes(proxy: FleetProxy) -> list[StateChange]:
    """Return the state changes in one proxy's log."""
    changes = []
    for line in proxy.process.read_log().splitlines():
        if "event=upstream-state" not in line:
            continue
        values = dict(LOG_FIELD.findall(line))
        changes.append(
            StateChange(
                proxy.address,
                parse_timestamp(values["at"]),
                values["upstream"],
                values["after"],
                values["reason"],
            )
        )
    return changes


def read_all_changes(fleet: Fleet, since: float) -> list[StateChange]:
    """Return the changes at all proxies since a time in seconds since the epoch."""
    return [
        change
        for proxy in fleet.proxies
        for change in read_changes(proxy)
        if change.at >= since
    ]
