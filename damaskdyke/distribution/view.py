"""Immutable view of the settings in force, with the route table."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from damaskdyke.conf.tree import (
    VM_BRANCH,
    Branch,
    Rule,
    Service,
    Upstream,
    Vm,
    VmState,
)
from damaskdyke.core.ids import Address, ServiceName, UpstreamId, WorkspaceName


@dataclass(frozen=True)
class Workspace:
    """A workspace and the number of requests that it may have in flight."""

    name: WorkspaceName
    in_flight: int


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream together with its service."""

    service: Service
    upstream: Upstream


class View:
    """Settings of all branches, indexed by route, service, upstream and workspace.

    If two branches define the same service name, route prefix or workspace, the branch
    whose name sorts first wins on every proxy, whatever the order of arrival.

    Parameters
    ----------
    branches : iterable of Branch
        The branches in force.
    """

    def __init__(self, branches: Iterable[Branch] = ()):
        self.services: dict[ServiceName, Service] = {}
        self.vms: tuple[Vm, ...] = ()
        self._routes: dict[str, ServiceName] = {}
        self._workspaces: dict[WorkspaceName, Branch] = {}
        self.branches = tuple(sorted(branches, key=lambda branch: branch.name))
        for branch in self.branches:
            self._add_branch(branch)
        self.leaving: frozenset[Address] = frozenset(
            vm.address for vm in self.vms if vm.state is VmState.LEAVING
        )

    def _add_branch(self, branch: Branch) -> None:
        if branch.name == VM_BRANCH:
            self.vms = branch.vms
        for service in branch.services:
            self.services.setdefault(service.name, service)
        for route in branch.routes:
            self._routes.setdefault(route.prefix, route.service)
        for name in branch.workspaces:
            self._workspaces.setdefault(name, branch)

    def find_service(self, path: str) -> Service | None:
        """Return the service of the longest route prefix that matches a path.

        A prefix that ends with a slash matches every path that begins with it. Any
        other prefix matches only the path equal to it.
        """
        end = len(path)
        while end > 0:
            name = self._routes.get(path[:end])
            if name is not None:
                return self.services.get(name)
            end = path.rfind("/", 0, end - 1) + 1
        return None

    @cached_property
    def _upstreams(self) -> dict[UpstreamId, ListedUpstream]:
        return {
            upstream.id: ListedUpstream(service, upstream)
            for service in self.services.values()
            for upstream in service.upstreams
        }

    def find_upstream(self, upstream: UpstreamId) -> ListedUpstream | None:
        """Return an upstream with its service, or ``None`` if no branch lists it."""
        return self._upstreams.get(upstream)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return a workspace with its limit, or ``None`` if no branch lists it."""
        branch = self._workspaces.get(WorkspaceName(name))
        if branch is None:
            return None
        return Workspace(WorkspaceName(name), branch.workspace_in_flight)


def find_rule(service: Service, method: str, path: str) -> Rule | None:
    """Return the first rule of a service that applies to a request, if any."""
    for rule in service.rules:
        if rule.covers(method, path):
            return rule
    return None
