"""Services, upstreams and VMs of a test fleet, and the TOML settings made of them."""

from dataclasses import dataclass, field

ZONES = ("suva", "lautoka", "labasa")

# Templates of the rules of a service: lookups, long work and orders.
LOOKUP_RULE = """
[[services.{name}.rules]]
id = "lookup"
methods = ["GET", "HEAD"]
path = "/{name}/pumps/"
repeatability = "idempotent"
deadline_ms = {deadline_ms}
attempts = 3
hedge = {hedge}
"""

LONG_RULE = """
[[services.{name}.rules]]
id = "record"
methods = ["GET"]
path = "/{name}/records/"
repeatability = "idempotent"
work = "long"
deadline_ms = 60000
attempts = 2
"""

ORDER_RULE = """
[[services.{name}.rules]]
id = "order"
methods = ["POST"]
path = "/{name}/callouts"
repeatability = "non-idempotent"
deadline_ms = {order_deadline_ms}
attempts = 3
max_body_bytes = 26214400
"""


@dataclass(frozen=True)
class UpstreamPlan:
    """Upstream as a service lists it."""

    id: str
    address: str
    zone: str


@dataclass
class ServicePlan:
    """Service of a test fleet and its settings.

    Fields of the same name as a key of the settings have its meaning. ``has_probe``
    adds a probe path, whose requests take ``probe_ms`` of service time.
    """

    name: str = "crew-desk"
    floor: int = 1
    slots: int = 4
    long_slots: int = 2
    slow_ms: int = 0
    hedge: bool = False
    deadline_ms: int = 2_000
    order_deadline_ms: int = 3_000
    retry_percent: int = 10
    has_probe: bool = True
    probe_ms: int = 10
    upstreams: list[UpstreamPlan] = field(default_factory=list)

    def to_toml(self) -> str:
        """Return the settings branch of a team that owns only this service."""
        name = self.name
        lines = [
            f"[services.{name}]",
            f"floor = {self.floor}",
            f"slots = {self.slots}",
            f"long_slots = {self.long_slots}",
            f"slow_ms = {self.slow_ms}",
            f"retry_percent = {self.retry_percent}",
            "refusal_statuses = [503]",
        ]
        if self.has_probe:
            path = f"/{name}/pumps/probe?ms={self.probe_ms}"
            lines.append(f'probe_path = "{path}"')
        lines.append("upstreams = [")
        for item in self.upstreams:
            row = f'id = "{item.id}", address = "{item.address}", zone = "{item.zone}"'
            lines.append(f"  {{ {row} }},")
        lines.append("]")
        text = "\n".join(lines)
        text += LOOKUP_RULE.format(
            name=name, deadline_ms=self.deadline_ms, hedge=str(self.hedge).lower()
        )
        text += LONG_RULE.format(name=name)
        text += ORDER_RULE.format(name=name, order_deadline_ms=self.order_deadline_ms)
        return text + f'\n[[routes]]\nprefix = "/{name}/"\nservice = "{name}"\n'


@dataclass(frozen=True)
class VmPlan:
    """Row of the platform's list of VMs."""

    address: str
    role: str
    state: str
    zone: str

    def to_toml(self) -> str:
        """Return the row as a TOML table of the array ``vms``."""
        return (
            f'[[vms]]\naddress = "{self.address}"\nrole = "{self.role}"\n'
            f'state = "{self.state}"\nzone = "{self.zone}"\n'
        )
