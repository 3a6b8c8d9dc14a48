"""Reports on a proxy for operators, as data that can be written as JSON."""

from typing import Any

from damaskdyke import __version__
from damaskdyke.conf.tree import Rule, Service
from damaskdyke.core.kernel import Kernel
from damaskdyke.distribution.component import Settings
from damaskdyke.distribution.view import find_rule
from damaskdyke.front.lifecycle import Lifecycle
from damaskdyke.health.component import Health
from damaskdyke.limits.component import Limits
from damaskdyke.membership.component import Membership
from damaskdyke.orders.component import Orders
from damaskdyke.routing.balancing import Balancer
from damaskdyke.upstreams.component import Upstreams

Report = dict[str, Any]


class Reporter:
    """Builds the reports of one proxy.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    """

    def __init__(self, kernel: Kernel):
        self._kernel = kernel
        self._settings = kernel.get(Settings)
        self._membership = kernel.get(Membership)
        self._lifecycle = kernel.get(Lifecycle)
        self._health = kernel.get(Health)
        self._orders = kernel.get(Orders)
        self._balancer = kernel.get(Balancer)
        self._upstreams = kernel.get(Upstreams)
        self._limits = kernel.get(Limits)

    def describe_proxy(self) -> Report:
        """Return the state of the proxy, its members, branches and services."""
        settings = self._kernel.settings
        return {
            "address": settings.address,
            "peer_address": settings.peer_address,
            "zone": settings.zone,
            "boot": self._kernel.boot,
            "version": __version__,
            "phase": self._lifecycle.get_phase().value,
            "in_flight": self._lifecycle.count_in_flight(),
            "tree": self._settings.store.tree_hash.hex(),
            "platform_reads": self._settings.platform_reads,
            "peer_bytes_sent": self._membership.pool.traffic.sent,
            "peer_bytes_received": self._membership.pool.traffic.received,
            "tickets": self._orders.ledger.count(),
            "members": self._describe_members(),
            "branches": self._describe_branches(),
            "services": self._describe_services(),
        }

    def _describe_members(self) -> list[Report]:
        return [
            {
                "address": record.address,
                "zone": record.zone,
                "state": record.state.name.lower(),
            }
            for record in self._membership.table.all()
        ]

    def _describe_branches(self) -> list[Report]:
        return [
            {
                "name": item.newest.version.name,
                "version": item.newest.version.number,
                "in_force": item.good.version.number if item.good else 0,
                "error": item.error,
            }
            for item in self._settings.store.list_stored()
        ]

    def _describe_services(self) -> list[Report]:
        view = self._settings.view
        return [self._describe_service(service) for service in view.services.values()]

    def _describe_service(self, service: Service) -> Report:
        return {
            "name": service.name,
            "branch": service.branch,
            "floor": service.floor,
            "slow_ms": self._health.get_latency(service).slow_ms,
            "upstreams": self._describe_upstreams(service),
        }

    def _describe_upstreams(self, service: Service) -> list[Report]:
        leaving = self._settings.view.leaving
        return [
            {
                "id": item.upstream.id,
                "address": item.upstream.address,
                "zone": item.upstream.zone,
                "state": item.state.value,
                "leaving": item.upstream.address in leaving,
                "in_flight": self._balancer.in_flight.get(item.upstream.id),
                "connections": self._upstreams.count_connections(item.upstream.address),
            }
            for item in self._health.list_upstream_health(service)
        ]

    def explain(self, method: str, path: str) -> Report:
        """Return how a request would be routed, and by which settings; send nothing."""
        service = self._settings.view.find_service(path)
        if service is None:
            return {"method": method, "path": path, "decision": "unknown-route"}
        rule = find_rule(service, method, path)
        if rule is None:
            return {
                "method": method,
                "path": path,
                "service": service.name,
                "decision": "no-rule",
            }
        return {
            "method": method,
            "path": path,
            "branch": service.branch,
            "service": service.name,
            "decision": "order" if rule.is_order else "lookup",
            "phase": self._lifecycle.get_phase().value,
            "rule": describe_rule(rule),
            "limits": self._describe_limits(service),
            "upstreams": self._describe_upstreams(service),
        }

    def _describe_limits(self, service: Service) -> Report:
        return {
            "slots": service.slots,
            "long_slots": service.long_slots,
            "floor": service.floor,
            "retry_percent": service.retry_percent,
            "ejectable": sorted(self._health.list_ejectable(service)),
        }


def describe_rule(rule: Rule) -> Report:
    """Return a rule as data that can be written as JSON."""
    return {
        "id": rule.id,
        "methods": sorted(rule.methods),
        "path": rule.path,
        "repeatability": rule.repeatability.value,
        "work": rule.work.value,
        "deadline_ms": rule.deadline_ms,
        "attempts": rule.attempts,
        "hedge": rule.hedge,
        "max_body_bytes": rule.max_body_bytes,
    }
