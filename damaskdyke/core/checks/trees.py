"""Checks that compare the branches of a settings tree."""

from collections.abc import Iterator

from damaskdyke.conf.tree import Branch
from damaskdyke.core.checks.messages import CheckMessage
from damaskdyke.core.checks.registry import tree_checks

Branches = tuple[Branch, ...]


@tree_checks.register("unique-services")
def check_unique_services(branches: Branches) -> Iterator[CheckMessage]:
    """Report service names that more than one branch defines."""
    owners: dict[str, str] = {}
    for branch in branches:
        for service in branch.services:
            owner = owners.setdefault(service.name, branch.name)
            if owner != branch.name:
                yield CheckMessage(
                    "tree.E021",
                    branch.name,
                    f"services.{service.name}",
                    f"branch {owner!r} defines the same service",
                    "Rename one of them.",
                )


@tree_checks.register("unique-routes")
def check_unique_routes(branches: Branches) -> Iterator[CheckMessage]:
    """Report route prefixes that occur more than once."""
    owners: dict[str, str] = {}
    for branch in branches:
        for route in branch.routes:
            if route.prefix in owners:
                yield CheckMessage(
                    "tree.E022",
                    branch.name,
                    f"routes.{route.prefix}",
                    f"branch {owners[route.prefix]!r} has the same prefix",
                    "Use another prefix.",
                )
            owners.setdefault(route.prefix, branch.name)


@tree_checks.register("known-services")
def check_known_services(branches: Branches) -> Iterator[CheckMessage]:
    """Report routes to services that no branch defines."""
    known = {service.name for branch in branches for service in branch.services}
    for branch in branches:
        for route in branch.routes:
            if route.service not in known:
                yield CheckMessage(
                    "tree.E023",
                    branch.name,
                    f"routes.{route.prefix}",
                    f"no branch defines the service {route.service!r}",
                    "Define the service or remove the route.",
                )
