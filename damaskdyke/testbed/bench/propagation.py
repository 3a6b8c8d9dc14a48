"""Propagation time of settings changes, and the idle cost of control traffic."""

import re
import time

from damaskdyke.testbed.bench.events import LOG_FIELD, parse_timestamp
from damaskdyke.testbed.bench.scenarios import Plot, Result, Series, scenarios
from damaskdyke.testbed.bench.usage import read_usage
from damaskdyke.testbed.fleet import Fleet, FleetPlan, FleetProxy

FLEET_SIZES = (3, 12, 40)
# Published at each size of the fleet.
CHANGE_COUNT = 8
CHANGE_INTERVAL_SECONDS = 1.5
IDLE_SECONDS = 15
# Limit for a change to reach every proxy.
LIMIT_SECONDS = 5.0
ACCEPTED_EVENT = re.compile(r"event=branch-accepted")


def read_acceptance_time(proxy: FleetProxy, version: int) -> float | None:
    """Return when a proxy accepted a version of the branch, or a newer one.

    The time is in seconds since the epoch; ``None`` if the log does not show it.
    """
    for line in proxy.process.read_log().splitlines():
        if not ACCEPTED_EVENT.search(line):
            continue
        values = dict(LOG_FIELD.findall(line))
        is_branch = values["branch"] == "crew-desk"
        if is_branch and int(values["version"]) >= version:
            return parse_timestamp(values["at"])
    return None


def publish_changes(fleet: Fleet) -> dict[int, float]:
    """Publish changes and return the time at which each version was published.

    Times are in seconds since the epoch. Returns ``LIMIT_SECONDS`` after the last one,
    so that it can reach every proxy.
    """
    published = {}
    service = fleet.plan.services[0]
    for number in range(CHANGE_COUNT):
        service.deadline_ms = 1_000 + number
        published_at = time.time()
        published[fleet.publish(service.name, service.to_toml())] = published_at
        time.sleep(CHANGE_INTERVAL_SECONDS)
    time.sleep(LIMIT_SECONDS)
    return published


def compute_propagation_delays(
    fleet: Fleet, published: dict[int, float]
) -> list[float]:
    """Return the seconds until the last proxy accepted each change.

    Infinity stands for a change that some proxy has not accepted.
    """
    delays = []
    for version, published_at in published.items():
        accepted = [read_acceptance_time(proxy, version) for proxy in fleet.proxies]
        if None in accepted:
            delays.append(float("inf"))
        else:
            delays.append(max(accepted) - published_at)
    return delays


@scenarios.register("propagation")
def measure_propagation() -> Result:
    """Measure propagation and idle cost at several fleet sizes."""
    result = Result("propagation")
    worst_delays, idle_reads, control_traffic, processor_percents = [], [], [], []
    for size in FLEET_SIZES:
        with Fleet(FleetPlan(proxies=size, upstreams=2)) as fleet:
            time.sleep(3)
            before = [read_usage(proxy) for proxy in fleet.proxies]
            idle_before = fleet.count_platform_reads()
            time.sleep(IDLE_SECONDS)
            idle_reads_per_second = (
                fleet.count_platform_reads() - idle_before
            ) / IDLE_SECONDS
            after = [read_usage(proxy) for proxy in fleet.proxies]
            changing = fleet.count_platform_reads()
            delays = compute_propagation_delays(fleet, publish_changes(fleet))
            per_change = (fleet.count_platform_reads() - changing) / CHANGE_COUNT
        pairs = list(zip(before, after, strict=True))
        bytes_rate = sum(b.peer_bytes - a.peer_bytes for a, b in pairs)
        seconds = sum(b.processor_seconds - a.processor_seconds for a, b in pairs)
        result.record(f"{size} proxies: worst change s", max(delays))
        result.record(f"{size} proxies: platform reads/s idle", idle_reads_per_second)
        result.record(f"{size} proxies: platform reads per change", per_change)
        scale = IDLE_SECONDS * size
        result.record(f"{size} proxies: control KB/s each", bytes_rate / scale / 1000)
        result.record(f"{size} proxies: control % of a core", seconds / scale * 100)
        memory = max(item.resident_bytes for item in after) / 1e6
        result.record(f"{size} proxies: memory MB", memory)
        worst_delays.append(max(delays))
        idle_reads.append(idle_reads_per_second)
        control_traffic.append(bytes_rate / scale / 1000)
        processor_percents.append(seconds / scale * 100)
    result.record_at_most(
        "40 proxies: change everywhere s", worst_delays[-1], LIMIT_SECONDS
    )
    result.record_at_most("40 proxies: control KB/s", control_traffic[-1], 9)
    result.record_at_most(
        "40 proxies: control % of a core", processor_percents[-1], 1.8
    )
    plot = Plot("Idle cost of control", "proxies", "KB/s, % of a core, reads/s")
    sizes = [float(size) for size in FLEET_SIZES]
    plot.series = [
        Series("KB/s each", sizes, control_traffic),
        Series("% of a core each", sizes, processor_percents),
        Series("platform reads/s", sizes, idle_reads),
    ]
    result.plots.append(plot)
    return result
