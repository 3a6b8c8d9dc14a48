"""Load patterns: what callers ask, what upstreams do, what befalls the proxies."""

from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.registry import Registry

ZONES = ("a", "b", "c")


class Failing(Enum):
    """How a faulty upstream fails a request."""

    # An error at once; also a reset, which tells as much.
    ERRORS = "errors"
    # No reply until the deadline.
    MUTE = "mute"
    # A refusal that says that nothing ran.
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request and how many of it come a second over all proxies."""

    name: str
    is_idempotent: bool
    per_second: float
    work_ms: float
    goal_ms: int
    deadline_ms: int
    priority: int
    worth: float


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of some upstreams in a span of time."""

    count: int
    start_ms: int
    end_ms: int
    fail_share: float = 0.0
    slow_factor: float = 1.0
    way: Failing = Failing.ERRORS


@dataclass(frozen=True, slots=True)
class GrayTurns:
    """Upstreams that turn gray by turns, a share of them at any moment."""

    share: float
    mean_ms: int
    fail_share: float


@dataclass(frozen=True, slots=True)
class Shift:
    """Shares of the zones in the callers for a span of time."""

    start_ms: int
    end_ms: int
    shares: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Abuse:
    """Callers that ask again at once after a refusal or a failure."""

    share: float
    repeats: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Proxies that stand still and go on with what they believed before."""

    count: int
    start_ms: int
    end_ms: int


@dataclass(frozen=True)
class Pattern:
    """A load pattern: requests, upstreams, faults and a crest."""

    kinds: tuple[Kind, ...]
    proxies: int = 36
    upstreams: int = 24
    slots: int = 4
    length_ms: int = 12_000
    faults: tuple[Fault, ...] = ()
    crest_factor: float = 1.0
    crest_ms: tuple[int, int] = (0, 0)
    turns: GrayTurns | None = None
    shift: Shift | None = None
    abuse: Abuse | None = None
    pause: Pause | None = None
    # Moment at which every proxy starts anew and knows nothing, with all requests lost.
    restart_ms: int | None = None


LOOKUP = Kind("lookup", True, 49, 150, 800, 1_500, 2, 1.0)
BOOKING = Kind("booking", False, 84, 200, 800, 2_000, 1, 2.0)
patterns: Registry[Pattern] = Registry("load pattern")


def scale(kind: Kind, factor: float) -> Kind:
    """Return a kind that comes more often."""
    return Kind(
        kind.name,
        kind.is_idempotent,
        kind.per_second * factor,
        kind.work_ms,
        kind.goal_ms,
        kind.deadline_ms,
        kind.priority,
        kind.worth,
    )


BOTH = (LOOKUP, BOOKING)
patterns.register("calm")(Pattern(BOTH))
patterns.register("crest")(
    Pattern(
        tuple(scale(kind, 1.9) for kind in BOTH),
        crest_factor=1.8,
        crest_ms=(5_000, 9_000),
    )
)
patterns.register("slow-third")(
    Pattern(
        tuple(scale(kind, 1.5) for kind in BOTH),
        faults=(Fault(8, 4_000, 10_000, slow_factor=12.0),),
    )
)
patterns.register("gray-errors")(
    Pattern(BOTH, faults=(Fault(4, 4_000, 10_000, fail_share=0.6),))
)
patterns.register("gray-half-small")(
    Pattern(
        (Kind("order", False, 27, 110, 400, 1_000, 0, 3.0),),
        upstreams=6,
        faults=(Fault(2, 4_000, 10_000, fail_share=0.5),),
    )
)


# The operators' sites have three upstreams in ten gray at a time, for some 9 s each.
NOISE = GrayTurns(0.3, 9_000, 0.9)
patterns.register("gray-turns")(
    Pattern(
        tuple(scale(kind, 0.8) for kind in BOTH),
        proxies=36,
        length_ms=24_000,
        turns=NOISE,
    )
)
patterns.register("gray-turns-crest")(
    Pattern(
        tuple(scale(kind, 1.4) for kind in BOTH),
        length_ms=24_000,
        turns=NOISE,
        crest_factor=1.8,
        crest_ms=(10_000, 16_000),
    )
)


patterns.register("retry-abuse")(
    Pattern(
        tuple(scale(kind, 2.0) for kind in BOTH),
        crest_factor=1.7,
        crest_ms=(5_000, 9_000),
        abuse=Abuse(0.3, 3),
    )
)
patterns.register("recovery")(
    Pattern(tuple(scale(kind, 2.6) for kind in BOTH), restart_ms=6_000)
)
patterns.register("zone-shift")(
    Pattern(
        tuple(scale(kind, 2.4) for kind in BOTH),
        shift=Shift(5_000, 10_000, (0.1, 0.65, 0.25)),
    )
)
patterns.register("small-at-its-limit")(
    Pattern(
        (Kind("order", False, 150, 110, 400, 1_000, 0, 3.0),),
        upstreams=6,
        shift=Shift(0, 12_000, (0.5, 0.3, 0.2)),
    )
)
patterns.register("paused-proxies")(
    Pattern(tuple(scale(kind, 1.6) for kind in BOTH), pause=Pause(6, 5_000, 9_000))
)
for way in Failing:
    patterns.register(f"gray-{way.value}-half")(
        Pattern(BOTH, faults=(Fault(4, 4_000, 10_000, fail_share=0.5, way=way),))
    )
for size in (12, 117):
    patterns.register(f"crest-{size}")(
        Pattern(
            tuple(scale(kind, 1.9 * size / 36) for kind in BOTH),
            proxies=size,
            upstreams=24 * size // 36,
            crest_factor=1.8,
            crest_ms=(5_000, 9_000),
        )
    )
