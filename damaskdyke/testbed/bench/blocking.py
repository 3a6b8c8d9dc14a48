"""Head-of-line blocking of short lookups by long work, and hedging of stragglers."""

import random

from damaskdyke.testbed.bench.scenarios import (
    Plot,
    Result,
    Series,
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
from damaskdyke.testbed.plans import ServicePlan

PROXIES = 4
UPSTREAMS = 8
SLOTS = 4
LONG_SLOTS = 3
# Arrival rates are in requests per second over all proxies.
SHORT_RATE = 40
SHORT_MS = 10
LONG_MS = 2_000
# Share of all slots that long work occupies on average.
LONG_SHARE = 0.6
LONG_RATE = LONG_SHARE * UPSTREAMS * SLOTS * 1000 / LONG_MS
RUN_SECONDS = 20
SEED = 41
# Enough proxy threads for all requests in flight.
THREAD_SETTINGS = "threads = 120\n"
LOG_SETTINGS = '[log]\nlevel = "error"\n'
# Policies of a plain load balancer, for comparison.
BASELINE_POLICIES = (
    '[policies]\nbalancing = "random"\nadmission = "fifo"\nejection = "none"\n'
)
# One request in a hundred takes 400 ms longer.
STRAGGLER_FAULTS = {"straggler_share": 0.01, "straggler_ms": 400}
STRAGGLER_RATE = 80
STRAGGLER_SECONDS = 40


def run_mixed_load(settings: str, long_slots: int, short_rate: float, long_rate: float):
    """Run short lookups and long work on a new fleet and return the samples.

    Rates are in requests per second; ``settings`` are added to those of the proxies.
    """
    service = ServicePlan(floor=4, slots=SLOTS, long_slots=long_slots)
    plan = FleetPlan(
        proxies=PROXIES,
        upstreams=UPSTREAMS,
        services=[service],
        proxy_settings=THREAD_SETTINGS + LOG_SETTINGS + settings,
    )
    rng = random.Random(SEED)
    rate = short_rate + long_rate
    with Fleet(plan) as fleet:

        def make_call(number: int) -> Call:
            address = rng.choice(fleet.proxies).address
            if rng.random() * rate < short_rate:
                path = f"/crew-desk/pumps/{number}?ms={SHORT_MS}"
                return Call("short", address, "GET", path)
            path = f"/crew-desk/records/{number}?ms={LONG_MS}"
            return Call("long", address, "GET", path)

        load = OpenLoopLoad(make_call, workers=150, timeout=70)
        return load.run(plan_arrivals([Phase(RUN_SECONDS, rate)], SEED))


def compute_short_p99_ms(samples: list[Sample]) -> float:
    """Return the 99th percentile of the successful short lookups in milliseconds.

    The first 3 s are left out as warm-up.
    """
    durations = [
        item.duration_seconds
        for item in samples
        if item.call.kind == "short" and item.is_good and item.planned_at > 3
    ]
    return compute_percentile_ms(durations, 99)


def count_completed_long(samples: list[Sample]) -> int:
    """Count the long requests that succeeded by one service time after the run."""
    end_seconds = RUN_SECONDS + LONG_MS / 1000
    return sum(
        1
        for item in samples
        if item.call.kind == "long"
        and item.is_good
        and item.planned_at + item.duration_seconds <= end_seconds
    )


@scenarios.register("blocking")
def measure_blocking() -> Result:
    """Measure short lookups and long work together, and each alone."""
    result = Result("blocking")
    alone = run_mixed_load("", LONG_SLOTS, SHORT_RATE, 0)
    long_only = run_mixed_load("", LONG_SLOTS, 0, LONG_RATE)
    mixed = run_mixed_load("", LONG_SLOTS, SHORT_RATE, LONG_RATE)
    baseline = run_mixed_load(BASELINE_POLICIES, 0, SHORT_RATE, LONG_RATE)
    result.record("short alone p99 ms", compute_short_p99_ms(alone))
    result.record("short beside long p99 ms", compute_short_p99_ms(mixed))
    result.record("baseline short beside long p99 ms", compute_short_p99_ms(baseline))
    result.record_at_most(
        "short p99 beside long / alone",
        compute_short_p99_ms(mixed) / compute_short_p99_ms(alone),
        2,
    )
    done = count_completed_long(mixed) / max(1, count_completed_long(long_only))
    result.record_at_least("long work done beside short / alone", done, 0.9)
    failed = sum(1 for item in mixed if not item.is_good)
    result.record_at_most("failed requests", failed, 0)
    plot = Plot("Short lookups beside long work", "percentile", "ms", is_log=True)
    plot.series = [
        make_short_percentiles("short alone", alone),
        make_short_percentiles("beside long work", mixed),
        make_short_percentiles("baseline beside long work", baseline),
    ]
    result.plots.append(plot)
    return result


def make_short_percentiles(label: str, samples: list[Sample]) -> Series:
    """Return the percentile curve of the short lookups."""
    durations = [item.duration_seconds for item in samples if item.call.kind == "short"]
    return make_percentile_series(label, durations)


def run_stragglers(hedging: str) -> tuple[list[Sample], int]:
    """Run lookups with stragglers under a hedging policy.

    Return the samples and the number of requests that the upstreams served.
    """
    plan = FleetPlan(
        proxies=PROXIES,
        upstreams=UPSTREAMS,
        services=[ServicePlan(floor=4, hedge=True, has_probe=False)],
        proxy_settings=LOG_SETTINGS
        + f'[policies]\nhedging = "{hedging}"\nejection = "none"\n',
    )
    rng = random.Random(SEED)
    with Fleet(plan) as fleet:
        for item in fleet.upstreams:
            item.set_faults(**STRAGGLER_FAULTS)

        def make_call(number: int) -> Call:
            address = rng.choice(fleet.proxies).address
            path = f"/crew-desk/pumps/{number}?ms={SHORT_MS}"
            return Call("short", address, "GET", path)

        load = OpenLoopLoad(make_call, workers=64)
        phases = [Phase(STRAGGLER_SECONDS, STRAGGLER_RATE)]
        samples = load.run(plan_arrivals(phases, SEED))
        served = sum(item.read_stats()["served"] for item in fleet.upstreams)
    return samples, served


@scenarios.register("stragglers")
def measure_stragglers() -> Result:
    """Compare lookups without and with hedging where one in a hundred straggles."""
    result = Result("stragglers")
    unhedged, unhedged_served = run_stragglers("none")
    hedged, hedged_served = run_stragglers("budgeted")
    p99_9_ms = [
        compute_percentile_ms([item.duration_seconds for item in samples], 99.9)
        for samples in (unhedged, hedged)
    ]
    failed = sum(1 for item in [*unhedged, *hedged] if not item.is_good)
    result.record_at_most("failed requests", failed, 0)
    result.record("without hedge p99.9 ms", p99_9_ms[0])
    result.record("with hedge p99.9 ms", p99_9_ms[1])
    result.record_at_least("p99.9 without / with hedge", p99_9_ms[0] / p99_9_ms[1], 3)
    extra = hedged_served / len(hedged) - unhedged_served / len(unhedged)
    result.record_at_most("extra upstream load", extra, 0.05)
    return result
