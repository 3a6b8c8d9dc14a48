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

# Branch that carries the platform's lagging list of VMs.
VM_BRANCH = BranchName("vms")


class Repeatability(Enum):
    """Whether a request may be sent to upstreams more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class WorkClass(Enum):
    """Expected duration of a request at its upstream."""

    SHORT = "short"
    LONG = "long"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(Enum):
    """What runs on a VM of the platform's list."""

    PROXY = "proxy"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Upstream:
    """One process that carries out requests of a service."""

    id: UpstreamId
    address: Address
    zone: ZoneName


@dataclass(frozen=True, slots=True)
class Rule:
    """How requests with one method and path prefix are treated.

    Durations are in milliseconds and sizes in bytes.
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
        """Return whether the rule applies to a request."""
        return method in self.methods and path.startswith(self.path)

    @property
    def is_order(self) -> bool:
        """Return whether requests under the rule need a ticket."""
        return self.repeatability is Repeatability.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of upstreams and the rules for their requests.

    Parameters
    ----------
    floor : int
        Healthy upstreams that ejection must leave in rotation.
    slots : int
        Requests that one upstream carries out at a time.
    long_slots : int
        Slots of one upstream that long work may hold.
    connections : int
        Connections that one upstream accepts from the whole fleet.
    retry_percent : int
        Retries and hedges allowed for each hundred first attempts.
    refusal_statuses : frozenset of int
        Statuses by which an upstream says that it did not start a request.
    probe_path : str
        Path of an idempotent lookup that trial requests use, or empty.
    slow_ms : int
        Duration of a short lookup above which it counts as bad evidence; zero
        derives it from the service's own traffic.
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
    """Path prefix that leads to a service."""

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
    """All settings of one team, or the list of VMs."""

    name: BranchName
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    workspaces: tuple[WorkspaceName, ...] = ()
    workspace_in_flight: int = 0
    vms: tuple[Vm, ...] = field(default=())
