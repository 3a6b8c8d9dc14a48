"""A fleet of separate processes on this machine: platform, upstreams, proxies."""

import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from damaskdyke.testbed.plans import ZONES, ServicePlan, UpstreamPlan, VmPlan
from damaskdyke.testbed.processes import (
    ChildProcess,
    make_address,
    wait_for,
)
from damaskdyke.testbed.relay import Relay

PLATFORM_HOST = "127.0.0.1"
UPSTREAM_HOST = "127.0.0.2"
CALL_SECONDS = 30.0


@dataclass
class FleetPlan:
    """Size and settings of a fleet.

    Parameters
    ----------
    proxies : int
        Number of proxies, spread over the availability zones.
    upstreams : int
        Upstreams of each service.
    services : list of ServicePlan
        Services; the upstreams are filled in.
    proxy_settings : str
        Further TOML for every proxy's file.
    queue : int
        Requests that an upstream lets wait.
    has_relays : bool
        Whether peers reach each proxy through a relay with faults.
    """

    proxies: int = 3
    upstreams: int = 6
    services: list[ServicePlan] = field(default_factory=lambda: [ServicePlan()])
    proxy_settings: str = ""
    queue: int = 8
    has_relays: bool = False


@dataclass(frozen=True)
class Answer:
    """An HTTP answer."""

    status: int
    headers: Any
    body: bytes

    def read_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class HttpClient:
    """HTTP calls to one process of the fleet."""

    def __init__(self, address: str):
        self.address = address
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
    ) -> Answer:
        """Return the answer of the process."""
        response = self._pool.request(
            method,
            f"http://{self.address}{path}",
            body=body,
            headers=headers,
            timeout=timeout,
        )
        return Answer(response.status, response.headers, response.data)


class FleetProcess(HttpClient):
    """A process of the fleet together with its HTTP end."""

    def __init__(self, address: str, process: ChildProcess):
        super().__init__(address)
        self.process = process

    def is_answering(self, path: str) -> bool:
        """Return whether the process answers with success."""
        try:
            return self.call("GET", path, timeout=2).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False


class FleetUpstream(FleetProcess):
    """An upstream stand-in."""

    def __init__(self, plan: UpstreamPlan, service: str, process: ChildProcess):
        super().__init__(plan.address, process)
        self.plan = plan
        self.service = service

    def set_faults(self, **faults: Any) -> None:
        """Switch faults; none given ends them all."""
        self.call("POST", "/control/faults", json.dumps(faults).encode())

    def read_runs(self) -> dict[str, int]:
        """Return how often each order ran here."""
        return self.call("GET", "/control/runs").read_json()

    def read_stats(self) -> dict[str, Any]:
        """Return the counters."""
        return self.call("GET", "/control/stats").read_json()


class FleetProxy(FleetProcess):
    """A proxy of the fleet."""

    def __init__(
        self,
        address: str,
        peer_address: str,
        zone: str,
        process: ChildProcess,
        relay: Relay | None,
    ):
        super().__init__(address, process)
        self.peer_address = peer_address
        self.zone = zone
        self.relay = relay

    def restart(self) -> None:
        """Start a new process with empty memory at the same addresses."""
        self.process.stop()
        self.process.start()

    def read_status(self) -> dict[str, Any]:
        """Return the proxy's report."""
        return self.call("GET", "/-/status").read_json()

    def take_ticket(self) -> str:
        """Return a new ticket whose home is this proxy."""
        answer = self.call("POST", "/-/tickets")
        if answer.status != 201:
            raise RuntimeError(answer.body.decode())
        return answer.headers["Idempotency-Key"]

    def order(self, ticket: str, body: bytes, path: str = "/crew-desk/callouts"):
        """Send an order under a ticket."""
        return self.call("POST", path, body, {"Idempotency-Key": ticket})


class Fleet:
    """Platform, upstreams and proxies as separate processes.

    Parameters
    ----------
    plan : FleetPlan
        What to start.
    """

    def __init__(self, plan: FleetPlan):
        self.plan = plan
        self._directory = tempfile.TemporaryDirectory(prefix="damaskdyke-")
        self._path = Path(self._directory.name)
        self.platform: FleetProcess | None = None
        self.upstreams: list[FleetUpstream] = []
        self.proxies: list[FleetProxy] = []
        self.leaving: set[str] = set()

    def __enter__(self) -> "Fleet":
        try:
            self._start_platform()
            self._start_upstreams()
            self.publish_all()
            self._start_proxies()
            self.wait_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for item in [*self.proxies, *self.upstreams, self.platform]:
            if item is not None:
                item.process.stop()
        for proxy in self.proxies:
            if proxy.relay is not None:
                proxy.relay.__exit__()
        self._directory.cleanup()

    # Start.

    def _make_process(self, name: str, *arguments: str) -> ChildProcess:
        return ChildProcess(name, list(arguments), self._path / f"{name}.log")

    def _start_platform(self) -> None:
        address = make_address(PLATFORM_HOST)
        arguments = ("stand-in", "platform", "--address", address)
        process = self._make_process("platform", *arguments)
        process.start()
        self.platform = FleetProcess(address, process)
        wait_for(lambda: self.platform.is_answering("/control/stats"), "the platform")

    def _start_upstreams(self) -> None:
        for service in self.plan.services:
            for number in range(self.plan.upstreams):
                self.add_upstream(service, number)
        for item in self.upstreams:
            wait_for(lambda item=item: item.is_answering("/health"), "an upstream")

    def add_upstream(self, service: ServicePlan, number: int) -> FleetUpstream:
        """Start one upstream and list it in its service."""
        name = f"{service.name}-{number}"
        zone = ZONES[number % len(ZONES)]
        plan = UpstreamPlan(name, make_address(UPSTREAM_HOST), zone)
        process = self._make_process(
            name,
            "stand-in",
            "upstream",
            "--address",
            plan.address,
            "--name",
            name,
            "--slots",
            str(service.slots),
            "--queue",
            str(self.plan.queue),
        )
        process.start()
        upstream = FleetUpstream(plan, service.name, process)
        self.upstreams.append(upstream)
        service.upstreams.append(plan)
        return upstream

    def _start_proxies(self) -> None:
        for number in range(self.plan.proxies):
            self.add_proxy(number)

    def add_proxy(self, number: int, seeds: list[str] | None = None) -> FleetProxy:
        """Start one proxy."""
        zone = ZONES[number % len(ZONES)]
        host = f"127.0.{10 + number % len(ZONES)}.{1 + number // len(ZONES)}"
        address, peer_address = make_address(host), make_address(host)
        if seeds is None:
            seeds = [item.peer_address for item in self.proxies[:3]]
        listen = ""
        relay = None
        if self.plan.has_relays:
            listen = f'peer_listen = "{make_address(host)}"\n'
            relay = Relay(peer_address, listen.split('"')[1]).__enter__()
        file = self._path / f"proxy-{number}.toml"
        file.write_text(
            f'address = "{address}"\npeer_address = "{peer_address}"\n'
            f'zone = "{zone}"\nplatform = "{self.platform.address}"\n'
            f"seeds = {json.dumps(seeds)}\n{listen}"
            f"{self.plan.proxy_settings}\n"
        )
        process = self._make_process(
            f"proxy-{number}", "proxy", "--settings", str(file)
        )
        process.start()
        proxy = FleetProxy(address, peer_address, zone, process, relay)
        self.proxies.append(proxy)
        return proxy

    def wait_ready(self) -> None:
        """Wait until every proxy is ready and knows all the others."""
        for proxy in self.proxies:
            wait_for(
                lambda proxy=proxy: proxy.is_answering("/-/health"), "a ready proxy"
            )
        wait_for(self._is_complete, "a complete member list")

    def _is_complete(self) -> bool:
        count = len(self.proxies)
        return all(count_alive(proxy.read_status()) >= count for proxy in self.proxies)

    # Operators' tool.

    def publish(self, name: str, text: str) -> int:
        """Publish a branch and return its version."""
        path = f"/control/branches/{name}"
        return self.platform.call("PUT", path, text.encode()).read_json()["version"]

    def publish_all(self) -> None:
        """Publish the branch of every service, and the list of VMs."""
        for service in self.plan.services:
            self.publish(service.name, service.to_toml())
        self.publish_vms()

    def publish_vms(self) -> None:
        """Publish the list of VMs with those that are leaving."""
        rows = []
        for item in self.upstreams:
            state = "leaving" if item.address in self.leaving else "live"
            rows.append(VmPlan(item.address, "upstream", state, item.plan.zone))
        self.publish("vms", "".join(row.to_toml() for row in rows))

    def set_platform(self, mode: str) -> None:
        """Switch the platform's behaviour."""
        self.platform.call("POST", f"/control/mode/{mode}")

    def count_platform_reads(self) -> int:
        """Return how many reads the platform has counted."""
        return self.platform.call("GET", "/control/stats").read_json()["reads"]

    # Observation.

    def count_runs(self) -> dict[str, int]:
        """Return how often each order ran, over all upstreams."""
        total: dict[str, int] = {}
        for item in self.upstreams:
            if not item.process.is_alive():
                continue
            for order, count in item.read_runs().items():
                total[order] = total.get(order, 0) + count
        return total


def count_alive(status: dict[str, Any]) -> int:
    """Return the living members in a proxy's report."""
    return sum(1 for item in status["members"] if item["state"] == "alive")
