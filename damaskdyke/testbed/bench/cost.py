"""Latency that a proxy adds, against direct calls of the same run."""

import random

from damaskdyke.testbed.bench.scenarios import (
    Plot,
    Result,
    make_percentile_series,
    scenarios,
)
from damaskdyke.testbed.fleet import Fleet, FleetPlan
from damaskdyke.testbed.load import (
    Call,
    OpenLoopLoad,
    Phase,
    Sample,
    compute_percentile_ms,
    plan_arrivals,
)

PROXIES = 3
# Requests per second, for each proxy and for all direct calls.
RATE_PER_PROXY = 67
DIRECT_RATE = 67
RUN_SECONDS = 20
SEED = 11
WORK_MS = 5
REPLY_BYTES = {"1KB": 1_000, "100KB": 100_000}
PERCENTILES = (50, 90, 95, 99)
MAX_ADDED_P99_MS = 1.8


def run_load(fleet: Fleet, size: int) -> list[Sample]:
    """Send direct and proxied calls in random order; return the samples.

    ``size`` is the length of the replies in bytes. A warm-up of 2 s comes first.
    """
    rng = random.Random(SEED)
    rate = PROXIES * RATE_PER_PROXY + DIRECT_RATE

    def make_call(number: int) -> Call:
        path = f"/crew-desk/pumps/{number}?ms={WORK_MS}&size={size}"
        if rng.random() * rate < DIRECT_RATE:
            upstream = rng.choice(fleet.upstreams)
            return Call("direct", upstream.address, "GET", path)
        proxy = rng.choice(fleet.proxies)
        return Call("proxied", proxy.address, "GET", path)

    load = OpenLoopLoad(make_call, workers=32)
    return load.run(plan_arrivals([Phase(2, rate), Phase(RUN_SECONDS, rate)], SEED))


def list_durations(samples: list[Sample], kind: str) -> list[float]:
    """Return the durations in seconds of the successful calls of one kind.

    The first 2 s are left out as warm-up.
    """
    return [
        item.duration_seconds
        for item in samples
        if item.call.kind == kind and item.is_good and item.planned_at > 2
    ]


@scenarios.register("cost")
def measure_cost() -> Result:
    """Measure the added latency at several reply sizes and percentiles."""
    result = Result("cost")
    plot = Plot("Latency, 1 KB replies", "percentile", "ms")
    with Fleet(FleetPlan(proxies=PROXIES, upstreams=6)) as fleet:
        for label, size in REPLY_BYTES.items():
            samples = run_load(fleet, size)
            failed = sum(1 for item in samples if not item.is_good)
            result.record_at_most(f"{label} failed requests", failed, 0)
            for percent in PERCENTILES:
                direct, proxied = (
                    compute_percentile_ms(list_durations(samples, kind), percent)
                    for kind in ("direct", "proxied")
                )
                result.record(f"{label} direct p{percent} ms", direct)
                result.record(f"{label} proxied p{percent} ms", proxied)
                added = proxied - direct
                if label == "1KB" and percent == 99:
                    result.record_at_most("1KB added p99 ms", added, MAX_ADDED_P99_MS)
                else:
                    result.record(f"{label} added p{percent} ms", added)
            if label == "1KB":
                plot.series = [
                    make_percentile_series(kind, list_durations(samples, kind))
                    for kind in ("direct", "proxied")
                ]
    result.plots.append(plot)
    return result
