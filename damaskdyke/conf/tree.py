"""Typed contents of the published settings tree."""

from dataclasses import dataclass, field
from enum import Enum

from damaskdyke.core.ids import (
    Address,
    BranchName,
    RuleId,
    ServiceName,
    UpstreamId,
    WorkspaceName,
    ZoneName,
)

# Branch with the platform's list of VMs, which lags behind the real state.
VM_BRANCH = BranchName("vms")


class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WorkClass(Enum):
    """Class of a request by its expected duration at the upstream."""

    SHORT = "short"
    LONG = "long"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(Enum):
    """Kind of process that runs on a VM of the platform's list."""

    PROXY = "proxy"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One process that executes requests of a service, at ``IP:port``."""

    id: UpstreamId
    address: Address
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class Rule:
    """Handling of the requests with certain methods and a path prefix.

    Parameters
    ----------
    id : RuleId
        Name of the rule, unique in its service.
    methods : frozenset of str
        HTTP methods that the rule applies to.
    path : str
        Path prefix that the rule applies to.
    repeatability : Repeatability
        Whether the requests are idempotent.
    work : WorkClass
        Expected duration of the requests.
    deadline_ms : int
        Time limit for a whole request in milliseconds.
    attempts : int
        Largest number of attempts, the first included.
    hedge : bool
        Whether lookups may be hedged.
    max_body_bytes : int
        Largest accepted body of a request in bytes.
    """

    id: RuleId
    methods: frozenset[str]
    path: str
    repeatability: Repeatability
    work: WorkClass
    deadline_ms: int
    attempts: int
    hedge: bool
    max_body_bytes: int

    def covers(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a request by its method and path."""
        return method in self.methods and path.startswith(self.path)

    @property
    def is_order(self) -> bool:
        """Return whether requests under the rule need a ticket."""
        return self.repeatability is Repeatability.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A named pool of upstreams and the rules for its requests.

    Parameters
    ----------
    floor : int
        Healthy upstreams that outlier ejection must leave in rotation.
    slots : int
        Requests that one upstream executes at a time.
    long_slots : int
        Slots of one upstream that long work may occupy.
    connections : int
        Connections that one upstream accepts from the whole fleet.
    retry_percent : int
        Retry budget: retries and hedges per hundred first attempts.
    refusal_statuses : frozenset of int
        HTTP statuses that mean that the upstream did not start the request.
    probe_path : str
        Path of an idempotent lookup for probe requests; empty for none.
    slow_ms : int
        Duration in milliseconds above which a short lookup counts against its
        upstream; zero derives it from the service's own traffic.
    """

    name: ServiceName
    branch: BranchName
    floor: int
    slots: int
    long_slots: int
    connections: int
    retry_percent: int
    refusal_statuses: frozenset[int]
    probe_path: str
    slow_ms: int
    upstreams: tuple[Upstream, ...]
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Route:
    """Path prefix whose requests are routed to a service.

    Without a slash at its end it matches only the path equal to it.
    """

    prefix: str
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Vm:
    """One row of the platform's list of VMs."""

    address: Address
    role: VmRole
    state: VmState
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class Branch:
    """Settings that one team publishes together, or the list of VMs.

    Parameters
    ----------
    workspace_in_flight : int
        Requests that each of the branch's workspaces may have in flight; zero for no
        limit.
    """

    name: BranchName
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    workspaces: tuple[WorkspaceName, ...] = ()
    workspace_in_flight: int = 0
    vms: tuple[Vm, ...] = field(default=())
