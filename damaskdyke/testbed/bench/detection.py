"""Time to detect failing upstreams, and healthy ones ejected by mistake."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from damaskdyke.testbed.bench.events import StateChange, read_all_changes
from damaskdyke.testbed.bench.scenarios import Plot, Result, Series, scenarios
from damaskdyke.testbed.fleet import Fleet, FleetPlan, FleetUpstream
from damaskdyke.testbed.load import Call, OpenLoad, Phase, plan_arrivals
from damaskdyke.testbed.plans import ServicePlan

PROXIES = 36
UPSTREAMS = 24
FLOOR = 16
LOW_RATE = 20
HIGH_RATE = 200
WORK_MS = 10
SEED = 23
WARM_SECONDS = 6
FAULT_SECONDS = 8
RECOVERY_SECONDS = 12
QUIET_SECONDS = 20
LOW_LIMIT_SECONDS = 2.0
HIGH_LIMIT_SECONDS = 1.0
RECOVERY_LIMIT_SECONDS = 10.0
NEVER_SECONDS = 99.0
OUT_STATES = ("avoided", "demoted", "ejected")
ACCUSED_STATES = ("demoted", "ejected")
QUIET_LOG = '[log]\nlevel = "info"\n'
BASELINE = '[policies]\nejection = "consecutive"\n'

UPSTREAM_FAULTS = {
    "slow 10 times": {"slow_factor": 10},
    "wrong answers": {"wrong": True},
    "short answers": {"short": True},
    "silent": {"silent": True},
    "fails 20%": {"error_share": 0.2},
}
FLAPPING = {"error_share": 1.0, "flap_ms": 2_000}
BASELINE_FAULTS = ("slow 10 times", "silent", "fails 20%")


@dataclass(frozen=True)
class Detection:
    """What one fault led to.

    Parameters
    ----------
    seconds : float
        Until the upstream was out of rotation on every proxy.
    recovery : float
        From the end of the fault until it was back on every proxy.
    mistakes : int
        State changes that accuse another upstream.
    """

    seconds: float
    recovery: float
    mistakes: int


class Background:
    """Lookups at a steady rate for as long as the context lasts."""

    def __init__(self, fleet: Fleet, rate: float, seconds: float, seed: int):
        dice = random.Random(seed)
        proxies = fleet.proxies

        def make_call(number: int) -> Call:
            path = f"/crew-desk/pumps/{number}?ms={WORK_MS}"
            return Call("lookup", dice.choice(proxies).address, "GET", path)

        self._load = OpenLoad(make_call, workers=48)
        arrivals = plan_arrivals([Phase(seconds, rate)], seed)
        self._thread = threading.Thread(target=self._load.run, args=(arrivals,))

    def __enter__(self) -> "Background":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.join()


def measure_fault(
    fleet: Fleet, rate: float, faults: dict, victim: FleetUpstream, seed: int
) -> Detection:
    """Switch a fault on under load and off again, and read the proxies' logs."""
    seconds = WARM_SECONDS + FAULT_SECONDS + RECOVERY_SECONDS
    with Background(fleet, rate, seconds, seed):
        time.sleep(WARM_SECONDS)
        begun = time.time()
        victim.set_faults(**faults)
        time.sleep(FAULT_SECONDS)
        ended = time.time()
        victim.set_faults()
        time.sleep(RECOVERY_SECONDS)
    changes = read_all_changes(fleet, begun)
    return judge_changes(fleet, changes, victim.plan.id, begun, ended)


def judge_changes(
    fleet: Fleet, changes: list[StateChange], victim: str, begun: float, ended: float
) -> Detection:
    """Return the detection that the changes show."""
    out: dict[str, float] = {}
    back: dict[str, float] = {}
    mistakes = 0
    for change in changes:
        if change.upstream != victim:
            mistakes += change.after in ACCUSED_STATES
        elif change.after in OUT_STATES:
            out.setdefault(change.proxy, change.at)
            back.pop(change.proxy, None)
        else:
            back[change.proxy] = change.at
    is_out = len(out) == len(fleet.proxies)
    is_back = set(out) <= set(back)
    return Detection(
        seconds=max(out.values()) - begun if is_out else NEVER_SECONDS,
        recovery=max([*back.values(), ended]) - ended if is_back else NEVER_SECONDS,
        mistakes=mistakes,
    )


def count_mistakes(
    fleet: Fleet, rate: float, seconds: float, switch: Callable[[], None], seed: int
) -> int:
    """Count accusations during a time in which no upstream is at fault."""
    begun = time.time()
    with Background(fleet, rate, seconds, seed):
        time.sleep(WARM_SECONDS)
        switch()
    for item in fleet.upstreams:
        item.set_faults()
    changes = read_all_changes(fleet, begun)
    return sum(1 for change in changes if change.after in ACCUSED_STATES)


def make_fleet(settings: str) -> Fleet:
    """Return the fleet of the scenario."""
    service = ServicePlan(floor=FLOOR, slots=4)
    return Fleet(
        FleetPlan(
            proxies=PROXIES,
            upstreams=UPSTREAMS,
            services=[service],
            proxy_settings=QUIET_LOG + settings,
        )
    )


def set_all(fleet: Fleet, **faults) -> None:
    """Switch the same faults on at every upstream."""
    for item in fleet.upstreams:
        item.set_faults(**faults)


def measure_product(result: Result) -> dict[str, float]:
    """Measure the product's policy and return the times at the low rate."""
    times = {}
    mistakes = 0
    with make_fleet("") as fleet:
        for number, (name, faults) in enumerate(UPSTREAM_FAULTS.items()):
            victim = fleet.upstreams[number]
            found = measure_fault(fleet, LOW_RATE, faults, victim, SEED + number)
            times[name] = found.seconds
            mistakes += found.mistakes
            label = f"{name}, {LOW_RATE}/s"
            result.bound(f"{label}: detected s", found.seconds, LOW_LIMIT_SECONDS)
            result.bound(f"{label}: back s", found.recovery, RECOVERY_LIMIT_SECONDS)
        for number, name in enumerate(("slow 10 times", "fails 20%")):
            victim = fleet.upstreams[10 + number]
            faults = UPSTREAM_FAULTS[name]
            found = measure_fault(fleet, HIGH_RATE, faults, victim, SEED + 50 + number)
            mistakes += found.mistakes
            label = f"{name}, {HIGH_RATE}/s: detected s"
            result.bound(label, found.seconds, HIGH_LIMIT_SECONDS)
        found = measure_fault(fleet, LOW_RATE, FLAPPING, fleet.upstreams[13], SEED + 60)
        result.bound("flapping: detected s", found.seconds, LOW_LIMIT_SECONDS)
        mistakes += found.mistakes
        result.bound("mistakes beside a real fault", mistakes, 0)
        measure_no_fault(fleet, result)
    return times


def measure_no_fault(fleet: Fleet, result: Result) -> None:
    """Measure mistakes where paths or demand are at fault, or nothing is."""
    zone_prefix = "127.0.10."
    uplink = fleet.proxies[4].address.split(":")[0]
    cases = {
        "quiet run": lambda: None,
        "slow from one zone": lambda: fleet.upstreams[15].set_faults(
            extra_ms=150, only_from=zone_prefix
        ),
        "one proxy's uplink": lambda: set_all(fleet, error_share=1.0, only_from=uplink),
        "all slow at once": lambda: set_all(fleet, slow_factor=10),
    }
    for number, (name, switch) in enumerate(cases.items()):
        mistakes = count_mistakes(
            fleet, LOW_RATE, QUIET_SECONDS, switch, SEED + 70 + number
        )
        result.bound(f"{name}: mistakes", mistakes, 0)
        time.sleep(RECOVERY_SECONDS)


@scenarios.register("detection")
def measure_detection() -> Result:
    """Measure the product, and a proxy alone with consecutive errors."""
    result = Result("detection")
    product = measure_product(result)
    baseline = {}
    with make_fleet(BASELINE) as fleet:
        for number, name in enumerate(BASELINE_FAULTS):
            victim = fleet.upstreams[number]
            faults = UPSTREAM_FAULTS[name]
            found = measure_fault(fleet, LOW_RATE, faults, victim, SEED + number)
            baseline[name] = min(found.seconds, FAULT_SECONDS)
            result.note(f"baseline alone, {name}: detected s", found.seconds)
            # A baseline that never detects counts as detecting at the fault's end.
            ratio = baseline[name] / product[name]
            result.bound_below(f"{name}: times quicker than alone", ratio, 5)
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
