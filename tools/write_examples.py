"""Generates the example settings of both deployments at their present sizes."""

from dataclasses import dataclass
from pathlib import Path

from damaskdyke.testbed.plans import ServicePlan, UpstreamPlan, VmPlan

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
# In each deployment.
PROXIES = 40


@dataclass(frozen=True)
class Example:
    """Example deployment.

    Parameters
    ----------
    name : str
        Directory of its settings, below ``examples``.
    zones : tuple of str
        Availability zones.
    services : tuple of (str, int, int)
        Name, number of upstreams and ``floor`` of each service.
    connections : int
        Maximum number of connections that an upstream accepts.
    network : str
        First two octets of its IP addresses.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[tuple[str, int, int], ...]
    connections: int
    network: str


DEPLOYMENTS = (
    Example(
        "viti",
        ("suva", "lautoka", "labasa"),
        (("crew-desk", 24, 16), ("parts-store", 6, 4)),
        330,
        "10.10",
    ),
    Example(
        "muscat",
        ("a", "b", "c"),
        (("atelier-desk", 28, 18), ("rush-line", 6, 4)),
        390,
        "10.20",
    ),
)


def write_example(example: Example) -> None:
    """Write the settings branches and the VM list of one deployment."""
    directory = EXAMPLES / example.name
    directory.mkdir(parents=True, exist_ok=True)
    rows = []
    for number, (name, size, floor) in enumerate(example.services):
        plan = ServicePlan(name=name, floor=floor, hedge=True)
        for index in range(size):
            zone = example.zones[index % len(example.zones)]
            address = f"{example.network}.{number + 1}.{index + 1}:8080"
            plan.upstreams.append(UpstreamPlan(f"{name}-{index + 1}", address, zone))
            rows.append(VmPlan(address, "upstream", "live", zone))
        text = plan.to_toml()
        limit = f"slots = 4\nconnections = {example.connections}\n"
        text = text.replace("slots = 4\n", limit, 1)
        (directory / f"{name}.toml").write_text(text)
    for index in range(PROXIES):
        zone = example.zones[index % len(example.zones)]
        address = f"{example.network}.9.{index + 1}:9090"
        rows.append(VmPlan(address, "proxy", "live", zone))
    (directory / "vms.toml").write_text("".join(row.to_toml() for row in rows))


if __name__ == "__main__":
    for deployment in DEPLOYMENTS:
        write_example(deployment)
