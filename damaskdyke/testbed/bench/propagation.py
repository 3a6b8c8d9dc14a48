"""Time until a change is in force everywhere, and the platform's reads."""

import re
import time

from damaskdyke.testbed.bench.events import PAIR, read_moment
from damaskdyke.testbed.bench.scenarios import Plot, Result, Series, scenarios
from damaskdyke.testbed.bench.usage import read_usage
from damaskdyke.testbed.fleet import Fleet, FleetPlan, FleetProxy

SIZES = (3, 12, 40)
CHANGES = 8
PAUSE_SECONDS = 1.5
IDLE_SECONDS = 15
LIMIT_SECONDS = 5.0
ACCEPTED = re.compile(r"event=branch-accepted")


def find_acceptance(proxy: FleetProxy, version: int) -> float | None:
    """Return when a proxy accepted a version of the service's branch."""
    for line in proxy.process.read_log().splitlines():
        if not ACCEPTED.search(line):
            continue
        values = dict(PAIR.findall(line))
        is_branch = values["branch"] == "crew-desk"
        if is_branch and int(values["version"]) >= version:
            return read_moment(values["at"])
    return None


def publish_changes(fleet: Fleet) -> dict[int, float]:
    """Publish changes and return when each version was published."""
    published = {}
    service = fleet.plan.services[0]
    for number in range(CHANGES):
        service.deadline_ms = 1_000 + number
        moment = time.time()
        published[fleet.publish(service.name, service.to_toml())] = moment
        time.sleep(PAUSE_SECONDS)
    time.sleep(LIMIT_SECONDS)
    return published


def find_delays(fleet: Fleet, published: dict[int, float]) -> list[float]:
    """Return for each change the time until the last proxy had it."""
    delays = []
    for version, moment in published.items():
        accepted = [find_acceptance(proxy, version) for proxy in fleet.proxies]
        if None in accepted:
            delays.append(float("inf"))
        else:
            delays.append(max(accepted) - moment)
    return delays


@scenarios.register("propagation")
def measure_propagation() -> Result:
    """Measure changes and idle cost at several sizes of the fleet."""
    result = Result("propagation")
    worst, reads, traffic, processor = [], [], [], []
    for size in SIZES:
        with Fleet(FleetPlan(proxies=size, upstreams=2)) as fleet:
            time.sleep(3)
            before = [read_usage(proxy) for proxy in fleet.proxies]
            idle_before = fleet.count_platform_reads()
            time.sleep(IDLE_SECONDS)
            idle = (fleet.count_platform_reads() - idle_before) / IDLE_SECONDS
            after = [read_usage(proxy) for proxy in fleet.proxies]
            changing = fleet.count_platform_reads()
            delays = find_delays(fleet, publish_changes(fleet))
            per_change = (fleet.count_platform_reads() - changing) / CHANGES
        pairs = list(zip(before, after, strict=True))
        bytes_rate = sum(b.peer_bytes - a.peer_bytes for a, b in pairs)
        seconds = sum(b.processor - a.processor for a, b in pairs)
        result.note(f"{size} proxies: worst change s", max(delays))
        result.note(f"{size} proxies: platform reads/s idle", idle)
        result.note(f"{size} proxies: platform reads per change", per_change)
        scale = IDLE_SECONDS * size
        result.note(f"{size} proxies: control KB/s each", bytes_rate / scale / 1000)
        result.note(f"{size} proxies: control % of a core", seconds / scale * 100)
        memory = max(item.memory for item in after) / 1e6
        result.note(f"{size} proxies: memory MB", memory)
        worst.append(max(delays))
        reads.append(idle)
        traffic.append(bytes_rate / scale / 1000)
        processor.append(seconds / scale * 100)
    result.bound("40 proxies: change everywhere s", worst[-1], LIMIT_SECONDS)
    result.bound("40 proxies: control KB/s", traffic[-1], 9)
    result.bound("40 proxies: control % of a core", processor[-1], 1.8)
    plot = Plot("Idle cost of control", "proxies", "KB/s, % of a core, reads/s")
    sizes = [float(size) for size in SIZES]
    plot.series = [
        Series("KB/s each", sizes, traffic),
        Series("% of a core each", sizes, processor),
        Series("platform reads/s", sizes, reads),
    ]
    result.plots.append(plot)
    return result
