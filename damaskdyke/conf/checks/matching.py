"""Checks for entries that no request can reach, or that lead nowhere.

Load pattern: one pass over 17,000 routes for each check.
"""

import re
from collections.abc import Iterator

from damaskdyke.catalogue.types import Route
from damaskdyke.conf.checks.configuration import Configuration, Field, Placed
from damaskdyke.conf.checks.findings import Finding, Severity, quote
from damaskdyke.conf.checks.registry import configuration_checks
from damaskdyke.core.ids import ServiceName

# Characters of the path of a request; the query begins at a question mark.
PATH = re.compile(r"[!-~]*")
NOT_IN_PATH = "?#"
# The port is cut from the host of a request before it is compared.
HOST_WITH_PORT = re.compile(r".*:\d*")
HOST = re.compile(r"[!-~]+")


@configuration_checks.register("routes-present")
def check_routes_present(configuration: Configuration) -> Iterator[Finding]:
    """Report a configuration that proxies accept although it has no usable route."""
    if not configuration.rules.routes and not configuration.is_refused:
        yield Finding(
            "matching.no-routes",
            Severity.WARNING,
            configuration.format_place(Field.ROUTES),
            "expected at least one usable route, got none: every request is answered "
            "404",
            "Add the routes.",
        )


@configuration_checks.register("duplicate-routes")
def check_duplicate_routes(configuration: Configuration) -> Iterator[Finding]:
    """Report routes whose requests all go to an earlier route.

    Of the prefixes of a host that match, the longest is used, so that only a route with
    the same host and prefix can shadow another.
    """
    first_by_target: dict[tuple[str, str], Placed[Route]] = {}
    for placed in configuration.routes:
        target = (placed.item.host, placed.item.prefix)
        first = first_by_target.setdefault(target, placed)
        if first is not placed:
            place = configuration.format_place(Field.ROUTE, first.index)
            yield Finding(
                "matching.duplicate-route",
                Severity.ERROR,
                configuration.format_place(Field.ROUTE_PREFIX, placed.index),
                f"expected a prefix of its own, got {quote(placed.item.prefix)} of "
                f"host {quote(placed.item.host)}, whose requests all go to {place} "
                f"({quote(first.item.name)})",
                "Remove one of the two routes or change its prefix.",
            )


@configuration_checks.register("matchable-routes")
def check_matchable_routes(configuration: Configuration) -> Iterator[Finding]:
    """Report hosts and prefixes that no request can have."""
    for index, route in configuration.routes:
        if not is_path(route.prefix):
            yield Finding(
                "matching.prefix",
                Severity.ERROR,
                configuration.format_place(Field.ROUTE_PREFIX, index),
                f"expected a path without query, spaces and other characters than "
                f"ASCII, got {quote(route.prefix)}, which no request has",
                "Write the path as callers send it, percent-encoded where needed.",
            )
        if not is_host(route.host):
            yield Finding(
                "matching.host",
                Severity.ERROR,
                configuration.format_place(Field.ROUTE_HOST, index),
                f"expected a host name without port, got {quote(route.host)}, which no "
                "request has",
                "Write only the name; it applies to every port.",
            )


def is_path(prefix: str) -> bool:
    """Return whether the path of a request can begin with a prefix."""
    if any(mark in prefix for mark in NOT_IN_PATH):
        return False
    return PATH.fullmatch(prefix) is not None


def is_host(host: str) -> bool:
    """Return whether a request can have a host, after its port has been cut.

    One without the header has an empty host.
    """
    if not host:
        return True
    if not HOST.fullmatch(host) or "/" in host:
        return False
    # An IPv6 address in brackets has colons of its own.
    return host.endswith("]") or not HOST_WITH_PORT.fullmatch(host)


@configuration_checks.register("zero-weights")
def check_zero_weights(configuration: Configuration) -> Iterator[Finding]:
    """Report services that a split names and gives no requests."""
    for index, route in configuration.routes:
        for share in route.shares:
            if not share.weight:
                yield Finding(
                    "matching.zero-weight",
                    Severity.NOTE,
                    configuration.format_place(Field.ROUTE_SPLIT, index),
                    f"service {quote(share.service)} has weight 0 of "
                    f"{sum(item.weight for item in route.shares)} and gets no requests "
                    "of this route",
                    "Remove it from the split unless it is to get requests again.",
                )


@configuration_checks.register("repeated-services")
def check_repeated_services(configuration: Configuration) -> Iterator[Finding]:
    """Report services that a later one of the same name replaces."""
    last_by_name = {placed.item.name: placed for placed in configuration.services}
    for placed in configuration.services:
        last = last_by_name[placed.item.name]
        if last is not placed:
            place = configuration.format_place(Field.SERVICE, last.index)
            yield Finding(
                "matching.repeated-service",
                Severity.ERROR,
                configuration.format_place(Field.SERVICE_NAME, placed.index),
                f"expected a name of its own, got {quote(placed.item.name)}, which "
                f"{place} defines again and replaces",
                "Remove one of the two or rename it.",
            )


@configuration_checks.register("unused-services")
def check_unused_services(configuration: Configuration) -> Iterator[Finding]:
    """Report services that no route leads to."""
    used: set[ServiceName] = {
        share.service for route in configuration.rules.routes for share in route.shares
    }
    for index, service in configuration.services:
        if service.name not in used:
            yield Finding(
                "matching.unused-service",
                Severity.NOTE,
                configuration.format_place(Field.SERVICE, index),
                f"no usable route leads to service {quote(service.name)}",
                "Remove the service, or add a route if one is missing.",
            )
