"""Time to detect faulty upstreams, and false positives among healthy ones."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from damaskdyke.testbed.bench.events import StateChange, read_all_changes
from damaskdyke.testbed.bench.scenarios import Plot, Result, Series, scenarios
from damaskdyke.testbed.fleet import Fleet, FleetPlan, FleetUpstream
from damaskdyke.testbed.load import Call, OpenLoopLoad, Phase, plan_arrivals
from damaskdyke.testbed.plans import ServicePlan

PROXIES = 36
UPSTREAMS = 24
FLOOR = 16
# Rates are in requests per second over all proxies.
LOW_RATE = 20
HIGH_RATE = 200
WORK_MS = 10
SEED = 23
WARMUP_SECONDS = 6
FAULT_SECONDS = 8
RECOVERY_SECONDS = 12
NO_FAULT_SECONDS = 20
LOW_RATE_LIMIT_SECONDS = 2.0
HIGH_RATE_LIMIT_SECONDS = 1.0
RECOVERY_LIMIT_SECONDS = 10.0
# Figure reported if a fault or its end was not detected on every proxy.
NOT_DETECTED_SECONDS = 99.0
# States in which an upstream is out of rotation.
OUT_STATES = ("avoided", "demoted", "ejected")
# States that blame the upstream itself, not a path or the load.
FAULTY_STATES = ("demoted", "ejected")
# State changes are logged at this level.
LOG_SETTINGS = '[log]\nlevel = "info"\n'
# Outlier ejection by consecutive errors, each proxy on its own.
BASELINE_POLICIES = '[policies]\nejection = "consecutive"\n'

UPSTREAM_FAULTS = {
    "slow 10 times": {"slow_factor": 10},
    "wrong answers": {"wrong": True},
    "short answers": {"short": True},
    "silent": {"silent": True},
    "fails 20%": {"error_share": 0.2},
}
FLAPPING_FAULTS = {"error_share": 1.0, "flap_ms": 2_000}
# Faults that the baseline is measured with.
BASELINE_FAULTS = ("slow 10 times", "silent", "fails 20%")


@dataclass(frozen=True)
class Detection:
    """Reaction of the fleet to one fault.

    Parameters
    ----------
    detection_seconds : float
        From the start of the fault until the upstream was out of rotation on every
        proxy.
    recovery_seconds : float
        From the end of the fault until it was back on every proxy.
    false_positives : int
        State changes to a faulty state of other upstreams.
    """

    detection_seconds: float
    recovery_seconds: float
    false_positives: int


class BackgroundLoad:
    """Context manager that sends lookups at a steady rate and waits for their end."""

    def __init__(self, fleet: Fleet, rate: float, seconds: float, seed: int):
        rng = random.Random(seed)
        proxies = fleet.proxies

        def make_call(number: int) -> Call:
            path = f"/crew-desk/pumps/{number}?ms={WORK_MS}"
            return Call("lookup", rng.choice(proxies).address, "GET", path)

        self._load = OpenLoopLoad(make_call, workers=48)
        arrivals = plan_arrivals([Phase(seconds, rate)], seed)
        self._thread = threading.Thread(target=self._load.run, args=(arrivals,))

    def __enter__(self) -> "BackgroundLoad":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.join()


def measure_fault(
    fleet: Fleet, rate: float, faults: dict, faulty_upstream: FleetUpstream, seed: int
) -> Detection:
    """Inject a fault under load, clear it, and evaluate the logs of the proxies."""
    seconds = WARMUP_SECONDS + FAULT_SECONDS + RECOVERY_SECONDS
    with BackgroundLoad(fleet, rate, seconds, seed):
        time.sleep(WARMUP_SECONDS)
        started_at = time.time()
        faulty_upstream.set_faults(**faults)
        time.sleep(FAULT_SECONDS)
        ended_at = time.time()
        faulty_upstream.set_faults()
        time.sleep(RECOVERY_SECONDS)
    changes = read_all_changes(fleet, started_at)
    return compute_detection(
        fleet, changes, faulty_upstream.plan.id, started_at, ended_at
    )


def compute_detection(
    fleet: Fleet,
    changes: list[StateChange],
    faulty_upstream: str,
    started_at: float,
    ended_at: float,
) -> Detection:
    """Compute detection and recovery times from state changes in the logs.

    The start and end of the fault are in seconds since the epoch.
    """
    out_at: dict[str, float] = {}
    back_at: dict[str, float] = {}
    false_positives = 0
    for change in changes:
        if change.upstream != faulty_upstream:
            false_positives += change.after in FAULTY_STATES
        elif change.after in OUT_STATES:
            out_at.setdefault(change.proxy, change.at)
            back_at.pop(change.proxy, None)
        else:
            back_at[change.proxy] = change.at
    is_out = len(out_at) == len(fleet.proxies)
    is_back = set(out_at) <= set(back_at)
    return Detection(
        detection_seconds=max(out_at.values()) - started_at
        if is_out
        else NOT_DETECTED_SECONDS,
        recovery_seconds=max([*back_at.values(), ended_at]) - ended_at
        if is_back
        else NOT_DETECTED_SECONDS,
        false_positives=false_positives,
    )


def count_false_positives(
    fleet: Fleet,
    rate: float,
    seconds: float,
    switch_faults: Callable[[], None],
    seed: int,
) -> int:
    """Count changes to a faulty state while no upstream is faulty.

    ``switch_faults`` injects faults of paths or load after the warm-up; all faults are
    cleared after ``seconds`` of load.
    """
    started_at = time.time()
    with BackgroundLoad(fleet, rate, seconds, seed):
        time.sleep(WARMUP_SECONDS)
        switch_faults()
    for item in fleet.upstreams:
        item.set_faults()
    changes = read_all_changes(fleet, started_at)
    return sum(1 for change in changes if change.after in FAULTY_STATES)


def make_fleet(settings: str) -> Fleet:
    """Return the fleet of the scenario, not yet started, with added settings."""
    service = ServicePlan(floor=FLOOR, slots=4)
    return Fleet(
        FleetPlan(
            proxies=PROXIES,
            upstreams=UPSTREAMS,
            services=[service],
            proxy_settings=LOG_SETTINGS + settings,
        )
    )


def set_all_faults(fleet: Fleet, **faults) -> None:
    """Inject the same faults at every upstream."""
    for item in fleet.upstreams:
        item.set_faults(**faults)


def measure_product(result: Result) -> dict[str, float]:
    """Measure the default policies and return the detection times at the low rate.

    The times are in seconds, by the name of the fault.
    """
    times = {}
    false_positives = 0
    with make_fleet("") as fleet:
        for number, (name, faults) in enumerate(UPSTREAM_FAULTS.items()):
            faulty_upstream = fleet.upstreams[number]
            detection = measure_fault(
                fleet, LOW_RATE, faults, faulty_upstream, SEED + number
            )
            times[name] = detection.detection_seconds
            false_positives += detection.false_positives
            label = f"{name}, {LOW_RATE}/s"
            result.record_at_most(
                f"{label}: detected s",
                detection.detection_seconds,
                LOW_RATE_LIMIT_SECONDS,
            )
            result.record_at_most(
                f"{label}: back s", detection.recovery_seconds, RECOVERY_LIMIT_SECONDS
            )
        for number, name in enumerate(("slow 10 times", "fails 20%")):
            faulty_upstream = fleet.upstreams[10 + number]
            faults = UPSTREAM_FAULTS[name]
            detection = measure_fault(
                fleet, HIGH_RATE, faults, faulty_upstream, SEED + 50 + number
            )
            false_positives += detection.false_positives
            label = f"{name}, {HIGH_RATE}/s: detected s"
            result.record_at_most(
                label, detection.detection_seconds, HIGH_RATE_LIMIT_SECONDS
            )
        detection = measure_fault(
            fleet, LOW_RATE, FLAPPING_FAULTS, fleet.upstreams[13], SEED + 60
        )
        result.record_at_most(
            "flapping: detected s", detection.detection_seconds, LOW_RATE_LIMIT_SECONDS
        )
        false_positives += detection.false_positives
        result.record_at_most("mistakes beside a real fault", false_positives, 0)
        measure_false_positives(fleet, result)
    return times


def measure_false_positives(fleet: Fleet, result: Result) -> None:
    """Count false positives where a path, the load or nothing is at fault."""
    zone_prefix = "127.0.10."
    uplink = fleet.proxies[4].address.split(":")[0]
    cases = {
        "quiet run": lambda: None,
        "slow from one zone": lambda: fleet.upstreams[15].set_faults(
            extra_ms=150, only_from=zone_prefix
        ),
        "one proxy's uplink": lambda: set_all_faults(
            fleet, error_share=1.0, only_from=uplink
        ),
        "all slow at once": lambda: set_all_faults(fleet, slow_factor=10),
    }
    for number, (name, switch_faults) in enumerate(cases.items()):
        false_positives = count_false_positives(
            fleet, LOW_RATE, NO_FAULT_SECONDS, switch_faults, SEED + 70 + number
        )
        result.record_at_most(f"{name}: mistakes", false_positives, 0)
        time.sleep(RECOVERY_SECONDS)


@scenarios.register("detection")
def measure_detection() -> Result:
    """Measure the default policies against ejection by consecutive errors alone."""
    result = Result("detection")
    product = measure_product(result)
    baseline = {}
    with make_fleet(BASELINE_POLICIES) as fleet:
        for number, name in enumerate(BASELINE_FAULTS):
            faulty_upstream = fleet.upstreams[number]
            faults = UPSTREAM_FAULTS[name]
            detection = measure_fault(
                fleet, LOW_RATE, faults, faulty_upstream, SEED + number
            )
            baseline[name] = min(detection.detection_seconds, FAULT_SECONDS)
            result.record(
                f"baseline alone, {name}: detected s", detection.detection_seconds
            )
            # A baseline that misses the fault counts as detecting it at its end.
            ratio = baseline[name] / product[name]
            result.record_at_least(f"{name}: times quicker than alone", ratio, 5)
    plot = Plot("Time to detect at the low rate", "fault number", "s")
    names = list(product)
    plot.series = [
        Series("product", list(range(len(names))), list(product.values())),
        Series(
            "alone, at least",
            [names.index(name) for name in baseline],
            list(baseline.values()),
        ),
    ]
    result.plots.append(plot)
    return result
