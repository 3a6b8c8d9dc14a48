"""Service quality during a peak load above capacity, against baseline policies."""

import json
import random
import re
from dataclasses import dataclass

from damaskdyke.testbed.bench.scenarios import Plot, Result, Series, scenarios
from damaskdyke.testbed.fleet import Fleet, FleetPlan
from damaskdyke.testbed.load import (
    Call,
    OpenLoopLoad,
    Phase,
    Sample,
    compute_percentile_ms,
    plan_arrivals,
)
from damaskdyke.testbed.plans import ServicePlan

PROXIES = 4
UPSTREAMS = 8
SLOTS = 4
WORK_MS = 200
CAPACITY_PER_SECOND = UPSTREAMS * SLOTS * 1000 / WORK_MS
# Rates are in requests per second over all proxies.
BASE_RATE = 30
PEAK_RATE = 300
DEADLINE_MS = 1_500
ORDER_SHARE = 0.05
SEED = 31
# Phases of the load, in this order.
BEFORE = Phase(8, BASE_RATE)
RISE = Phase(2, (BASE_RATE + PEAK_RATE) / 2)
PEAK = Phase(10, PEAK_RATE)
AFTER = Phase(10, BASE_RATE)
PEAK_START_SECONDS = BEFORE.seconds + RISE.seconds
PEAK_END_SECONDS = PEAK_START_SECONDS + PEAK.seconds
# Time after the peak for queues to drain, before the recovery is measured.
RECOVERY_SECONDS = 2.0
THREAD_SETTINGS = "threads = 200\n"
# Policies of a plain load balancer, for comparison.
BASELINE_POLICIES = (
    '[policies]\nbalancing = "random"\nadmission = "fifo"\nejection = "none"\n'
    'hedging = "none"\n'
)
# Limit of the median latency after the peak over that before it.
MAX_RECOVERY_RATIO = 1.5


@dataclass(frozen=True)
class PeakLoadRun:
    """Samples of one run, and counters of its upstreams and proxies.

    Parameters
    ----------
    samples : list of Sample
        Results of the calls.
    most_running : int
        Maximum number of requests that ran at one upstream at the same time.
    first_attempts, extra_attempts : float
        Attempts that the proxies counted: first ones, and retries or hedges.
    """

    samples: list[Sample]
    most_running: int
    first_attempts: float
    extra_attempts: float


def run_peak_load(settings: str) -> PeakLoadRun:
    """Run a new fleet through all phases, with ``settings`` added to its proxies'."""
    service = ServicePlan(
        floor=4, slots=SLOTS, deadline_ms=DEADLINE_MS, order_deadline_ms=DEADLINE_MS
    )
    plan = FleetPlan(
        proxies=PROXIES,
        upstreams=UPSTREAMS,
        services=[service],
        proxy_settings=THREAD_SETTINGS + '[log]\nlevel = "error"\n' + settings,
    )
    rng = random.Random(SEED)
    with Fleet(plan) as fleet:
        arrivals = plan_arrivals([BEFORE, RISE, PEAK, AFTER], SEED)
        tickets = take_tickets(fleet, len(arrivals))

        def make_call(number: int) -> Call:
            proxy = rng.choice(fleet.proxies)
            if number in tickets:
                body = json.dumps({"order": f"crest-{number}"}).encode()
                headers = (("Idempotency-Key", tickets[number]),)
                path = f"/crew-desk/callouts?ms={WORK_MS}"
                return Call("order", proxy.address, "POST", path, body, headers)
            path = f"/crew-desk/pumps/{number}?ms={WORK_MS}"
            return Call("lookup", proxy.address, "GET", path)

        load = OpenLoopLoad(make_call, workers=500)
        samples = load.run(arrivals)
        first, extra = (count_attempts(fleet, kind) for kind in ("first", "extra"))
        running = max(item.read_stats()["most_running"] for item in fleet.upstreams)
    return PeakLoadRun(samples, running, first, extra)


def take_tickets(fleet: Fleet, calls: int) -> dict[int, str]:
    """Issue tickets, before the load starts, for the calls that are orders.

    Return them by the index of the call.
    """
    rng = random.Random(SEED + 1)
    return {
        number: rng.choice(fleet.proxies).take_ticket()
        for number in range(calls)
        if rng.random() < ORDER_SHARE
    }


def count_attempts(fleet: Fleet, kind: str) -> float:
    """Return the number of attempts of one kind in the metrics of all proxies."""
    line = rf'^damaskdyke_attempts_total\{{kind="{kind}".*\}} (\S+)$'
    pattern = re.compile(line, re.M)
    total = 0.0
    for proxy in fleet.proxies:
        text = proxy.call("GET", "/-/metrics").body.decode()
        total += sum(float(value) for value in pattern.findall(text))
    return total


def list_peak_samples(samples: list[Sample]) -> list[Sample]:
    """Return the samples that arrived during the peak."""
    return [
        item
        for item in samples
        if PEAK_START_SECONDS <= item.planned_at < PEAK_END_SECONDS
    ]


def is_in_time(sample: Sample) -> bool:
    """Return whether a successful reply was received within the deadline."""
    return sample.is_good and sample.duration_seconds * 1000 <= DEADLINE_MS


def compute_goodput_share(samples: list[Sample]) -> float:
    """Return the calls of the peak answered in time, as a share of capacity."""
    done = sum(1 for item in list_peak_samples(samples) if is_in_time(item))
    return done / (CAPACITY_PER_SECOND * PEAK.seconds)


def compute_in_time_share(samples: list[Sample], kind: str) -> float:
    """Return the share of the calls of one kind that were answered in time at peak."""
    chosen = [item for item in list_peak_samples(samples) if item.call.kind == kind]
    return sum(1 for item in chosen if is_in_time(item)) / max(1, len(chosen))


def compute_recovery_ratio(samples: list[Sample]) -> float:
    """Return the median latency after the peak divided by that before it.

    The first 2 s are left out as warm-up.
    """
    before = [
        item.duration_seconds
        for item in samples
        if 2 < item.planned_at < BEFORE.seconds
    ]
    start = PEAK_END_SECONDS + RECOVERY_SECONDS
    after = [item.duration_seconds for item in samples if item.planned_at > start]
    return compute_percentile_ms(after, 50) / compute_percentile_ms(before, 50)


def record_run(result: Result, label: str, run: PeakLoadRun) -> None:
    """Record the figures of one run, without limits."""
    result.record(f"{label} goodput share", compute_goodput_share(run.samples))
    for kind in ("order", "lookup"):
        result.record(
            f"{label} {kind}s in time", compute_in_time_share(run.samples, kind)
        )
    result.record(f"{label} median after / before", compute_recovery_ratio(run.samples))


def make_goodput_series(label: str, samples: list[Sample]) -> Series:
    """Return the replies within the deadline, per second of arrival."""
    total = int(PEAK_END_SECONDS + AFTER.seconds)
    counts = [0] * total
    for item in samples:
        if is_in_time(item) and item.planned_at < total:
            counts[int(item.planned_at)] += 1
    return Series(label, [float(second) for second in range(total)], counts)


@scenarios.register("crest")
def measure_peak_load() -> Result:
    """Measure a tenfold load increase that exceeds capacity for ten seconds."""
    result = Result("crest")
    product = run_peak_load("")
    baseline = run_peak_load(BASELINE_POLICIES)
    record_run(result, "product", product)
    record_run(result, "baseline", baseline)
    result.record_at_least(
        "goodput share of capacity", compute_goodput_share(product.samples), 0.9
    )
    refused = [
        item.duration_seconds
        for item in list_peak_samples(product.samples)
        if item.status in (429, 503)
    ]
    result.record("refused at the crest", len(refused))
    if refused:
        result.record_at_most(
            "refused within ms, p95", compute_percentile_ms(refused, 95), 50
        )
    result.record_at_most(
        "median after / before",
        compute_recovery_ratio(product.samples),
        MAX_RECOVERY_RATIO,
    )
    orders, lookups = (
        compute_in_time_share(product.samples, kind) for kind in ("order", "lookup")
    )
    result.record_at_least("orders in time / lookups in time", orders / lookups, 1.0)
    result.record_at_most("most running at an upstream", product.most_running, SLOTS)
    extra = product.extra_attempts / product.first_attempts
    result.record_at_most("retries / first attempts", extra, 0.1)
    plot = Plot("Replies within the deadline", "s", "replies in a second")
    plot.series = [
        make_goodput_series("product", product.samples),
        make_goodput_series("random, FIFO", baseline.samples),
    ]
    result.plots.append(plot)
    return result
