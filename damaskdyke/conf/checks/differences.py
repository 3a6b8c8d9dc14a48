"""Differences from the version in force, and what they do to requests.

A difference that callers may notice is a warning, another one a note.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from damaskdyke.catalogue.types import Route
from damaskdyke.conf.checks.configuration import Configuration, Field, Item, Placed
from damaskdyke.conf.checks.findings import Finding, FindingId, Severity, Version, quote
from damaskdyke.conf.checks.registry import difference_checks
from damaskdyke.core.ids import WorkspaceName
from damaskdyke.workspaces.types import ApiKey, Workspace

Routes = dict[tuple[str, str], Placed[Route]]

# Time-out of a route without one, the longest wait of the operating system.
NO_TIMEOUT_MS = 2**31 - 1
HINT_INTENDED = "Deploy it only if this is intended."


@dataclass(frozen=True, slots=True)
class Comparison:
    """How a change of one attribute of an entry is reported.

    Parameters
    ----------
    attribute : str
        Name of the attribute of the typed entry.
    title : str
        Name of the attribute in messages.
    field : Field
        Its field in the document.
    explain : callable
        Returns the severity and the effect of a change, from the old value and the new.
    format_value : callable
        Returns a value as text.
    """

    id: FindingId
    attribute: str
    title: str
    field: Field
    explain: Callable[[Any, Any], tuple[Severity, str]]
    format_value: Callable[[Any], str] = str


def compare_attributes(
    comparisons: tuple[Comparison, ...],
    subject: str,
    old: Any,
    placed: Placed[Item],
    configuration: Configuration,
) -> Iterator[Finding]:
    """Yield a finding for each attribute in which a new entry differs from the old."""
    for comparison in comparisons:
        before = getattr(old, comparison.attribute)
        after = getattr(placed.item, comparison.attribute)
        if before == after:
            continue
        severity, effect = comparison.explain(before, after)
        yield Finding(
            comparison.id,
            severity,
            configuration.format_place(comparison.field, placed.index),
            f"{subject}: {comparison.title} changes from "
            f"{comparison.format_value(before)} to {comparison.format_value(after)}: "
            f"{effect}",
            HINT_INTENDED,
        )


def expect_fall(is_fall: bool, worse: str, better: str) -> tuple[Severity, str]:
    """Return a warning with the worse effect for a fall, else a note."""
    return (Severity.WARNING, worse) if is_fall else (Severity.NOTE, better)


def explain_timeout(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another time-out."""
    return expect_fall(
        new < old, "slower requests are answered 504", "slower requests are awaited"
    )


def explain_goal(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another goal."""
    return Severity.NOTE, "replies are worth less to callers after another time"


def explain_priority(old: int | None, new: int | None) -> tuple[Severity, str]:
    """Return the effect of another priority, of which 0 is the most urgent."""
    if old is None or new is None:
        text = "where slots are scarce, requests rank by "
        return Severity.WARNING, text + (
            "their routes alone" if new is None else "the workspace before the route"
        )
    return expect_fall(
        new > old,
        "where slots are scarce, requests are served later than before",
        "where slots are scarce, requests are served earlier than before",
    )


def explain_attempts(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another number of attempts."""
    return expect_fall(
        new < old,
        "more requests fail together with one upstream",
        "failed requests are sent again more often",
    )


def explain_idempotence(old: bool, new: bool) -> tuple[Severity, str]:
    """Return the effect of another type."""
    if new:
        return Severity.WARNING, "a request may run more than once"
    return Severity.WARNING, "a request that may have run is not sent again"


def explain_public(old: bool, new: bool) -> tuple[Severity, str]:
    """Return the effect of a route that becomes public, or is no longer."""
    return expect_fall(
        not new,
        "requests without a key are answered 401 if workspaces are listed",
        "requests need no key and count towards no quota",
    )


def explain_health_path(old: str, new: str) -> tuple[Severity, str]:
    """Return the effect of another path of the health check."""
    return Severity.NOTE, "upstreams must answer health checks there"


def explain_connections(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another number of connections."""
    return expect_fall(
        new < old,
        "proxies open fewer connections to each upstream",
        "proxies open more connections to each upstream",
    )


def explain_rate(old: float, new: float) -> tuple[Severity, str]:
    """Return the effect of another rate of a quota, of which 0 sets no limit."""
    if not new:
        return Severity.NOTE, "its requests are no longer limited"
    return expect_fall(
        not old or new < old,
        "requests over the quota are answered 429",
        "fewer requests are answered 429",
    )


def explain_burst(old: float, new: float) -> tuple[Severity, str]:
    """Return the effect of another burst of a quota."""
    return expect_fall(
        new < old,
        "fewer requests at once are admitted beyond the rate",
        "more requests at once are admitted beyond the rate",
    )


def explain_bytes(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another limit on a size."""
    return expect_fall(
        new < old, "larger requests are refused", "larger requests are accepted"
    )


def explain_wait(old: int, new: int) -> tuple[Severity, str]:
    """Return the effect of another limit on the wait for a caller."""
    return expect_fall(
        new < old,
        "connections of slow or idle callers are closed earlier",
        "connections of slow or idle callers are kept longer",
    )


def format_millis(value: int) -> str:
    """Return a duration as text."""
    return "none" if value == NO_TIMEOUT_MS else f"{value} ms"


def format_rate(value: float) -> str:
    """Return a rate as text."""
    return f"{value:g} a second" if value else "none"


def format_type(is_idempotent: bool) -> str:
    """Return the type of a route as text."""
    return "idempotent" if is_idempotent else "not idempotent"


ROUTE_COMPARISONS = (
    Comparison(
        "differences.route-type",
        "is_idempotent",
        "type",
        Field.ROUTE_TYPE,
        explain_idempotence,
        format_type,
    ),
    Comparison(
        "differences.route-timeout",
        "timeout_ms",
        "time-out",
        Field.ROUTE_TIMEOUT,
        explain_timeout,
        format_millis,
    ),
    Comparison(
        "differences.route-goal",
        "goal_ms",
        "goal",
        Field.ROUTE_GOAL,
        explain_goal,
        format_millis,
    ),
    Comparison(
        "differences.route-priority",
        "priority",
        "priority",
        Field.ROUTE_PRIORITY,
        explain_priority,
    ),
    Comparison(
        "differences.route-attempts",
        "attempts",
        "number of attempts",
        Field.ROUTE_ATTEMPTS,
        explain_attempts,
    ),
    Comparison(
        "differences.route-public",
        "is_public",
        "public",
        Field.ROUTE_PUBLIC,
        explain_public,
    ),
)
# The number of attempts has no effect on requests that are not idempotent.
ORDER_COMPARISONS = tuple(
    item for item in ROUTE_COMPARISONS if item.attribute != "attempts"
)
SERVICE_COMPARISONS = (
    Comparison(
        "differences.service-health-path",
        "health_path",
        "path of the health check",
        Field.SERVICE_HEALTH_PATH,
        explain_health_path,
        quote,
    ),
    Comparison(
        "differences.service-connections",
        "connections",
        "connections of an upstream",
        Field.SERVICE_CONNECTIONS,
        explain_connections,
    ),
)
WORKSPACE_COMPARISONS = (
    Comparison(
        "differences.quota-rate",
        "rate_per_second",
        "rate",
        Field.WORKSPACE_RATE,
        explain_rate,
        format_rate,
    ),
    Comparison(
        "differences.quota-burst",
        "burst",
        "burst",
        Field.WORKSPACE_BURST,
        explain_burst,
        "{:g}".format,
    ),
    Comparison(
        "differences.workspace-priority",
        "priority",
        "priority",
        Field.WORKSPACE_PRIORITY,
        explain_priority,
    ),
)
LIMIT_COMPARISONS = (
    Comparison(
        "differences.limit-header",
        "header_bytes",
        "largest size of headers",
        Field.LIMIT_HEADER,
        explain_bytes,
    ),
    Comparison(
        "differences.limit-body",
        "body_bytes",
        "largest size of a body",
        Field.LIMIT_BODY,
        explain_bytes,
    ),
    Comparison(
        "differences.limit-header-timeout",
        "header_timeout_ms",
        "wait for the rest of a request",
        Field.LIMIT_HEADER_TIMEOUT,
        explain_wait,
        format_millis,
    ),
    Comparison(
        "differences.limit-idle-timeout",
        "idle_timeout_ms",
        "time of an idle connection",
        Field.LIMIT_IDLE_TIMEOUT,
        explain_wait,
        format_millis,
    ),
)


@difference_checks.register("version")
def compare_versions(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report a version number that does not rise although the content differs."""
    if new.rules.version > old.rules.version or have_same_content(old, new):
        return
    yield Finding(
        "differences.version",
        Severity.ERROR,
        new.format_place(Field.VERSION),
        f"expected a version above {old.rules.version}, the one in force, got "
        f"{new.rules.version}: proxies ignore the document",
        f"Set it to {old.rules.version + 1} or more.",
    )


def have_same_content(old: Configuration, new: Configuration) -> bool:
    """Return whether two versions differ at most in their numbers."""
    return (
        old.rules.routes == new.rules.routes
        and old.rules.services == new.rules.services
        and old.rules.limits == new.rules.limits
        and (old.rules.directory is None) == (new.rules.directory is None)
        and old.workspaces == new.workspaces
    )


@difference_checks.register("routes")
def compare_routes(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report routes that are dropped, added, or handle their requests otherwise."""
    old_routes, new_routes = index_routes(old), index_routes(new)
    for target, placed in old_routes.items():
        if target not in new_routes:
            yield explain_dropped(placed, new_routes, old)
    for target, placed in new_routes.items():
        known = old_routes.get(target)
        if known is None:
            yield explain_added(placed, old_routes, new)
            continue
        subject = f"requests for {format_target(placed.item)}"
        if known.item.shares != placed.item.shares:
            yield explain_moved(subject, known.item, placed, new)
        is_order = not known.item.is_idempotent and not placed.item.is_idempotent
        comparisons = ORDER_COMPARISONS if is_order else ROUTE_COMPARISONS
        yield from compare_attributes(comparisons, subject, known.item, placed, new)


def index_routes(configuration: Configuration) -> Routes:
    """Return the routes that get requests, by host and prefix."""
    routes: Routes = {}
    for placed in configuration.routes:
        routes.setdefault((placed.item.host, placed.item.prefix), placed)
    return routes


def find_parent(route: Route, routes: Routes) -> Route | None:
    """Return the route with the next shorter prefix, which is in force without it.

    Prefixes end with a slash, so that each shorter one ends at a slash of this one.
    """
    prefix = route.prefix
    while len(prefix) > 1:
        prefix = prefix[: prefix.rindex("/", 0, -1) + 1]
        found = routes.get((route.host, prefix))
        if found is not None:
            return found.item
    return None


def format_target(route: Route) -> str:
    """Return the host and the prefix of a route."""
    return quote(route.host + route.prefix)


def format_shares(route: Route) -> str:
    """Return the services of a route, with their weights if there are several."""
    if len(route.shares) == 1:
        return f"service {quote(route.shares[0].service)}"
    parts = [
        f"{quote(share.service)} (weight {share.weight})" for share in route.shares
    ]
    return "services " + ", ".join(parts)


def list_used_services(route: Route) -> set[str]:
    """Return the services that get requests of a route."""
    return {share.service for share in route.shares if share.weight}


def explain_dropped(
    placed: Placed[Route], new_routes: Routes, old: Configuration
) -> Finding:
    """Return the finding for a route that the new version lacks."""
    route = placed.item
    parent = find_parent(route, new_routes)
    if parent is None:
        effect = "they are answered 404"
    else:
        effect = f"they go to route {quote(parent.name)} and {format_shares(parent)}"
    return Finding(
        "differences.route-dropped",
        Severity.WARNING,
        old.format_place(Field.ROUTE, placed.index),
        f"requests for {format_target(route)} lose their route {quote(route.name)} to "
        f"{format_shares(route)}: {effect}",
        HINT_INTENDED,
        Version.IN_FORCE,
    )


def explain_added(
    placed: Placed[Route], old_routes: Routes, new: Configuration
) -> Finding:
    """Return the finding for a route that the version in force lacks."""
    route = placed.item
    parent = find_parent(route, old_routes)
    severity = Severity.NOTE
    if parent is None:
        effect = "they were answered 404"
    else:
        effect = f"they went to route {quote(parent.name)} and {format_shares(parent)}"
        if list_used_services(parent) != list_used_services(route):
            severity = Severity.WARNING
    return Finding(
        "differences.route-added",
        severity,
        new.format_place(Field.ROUTE, placed.index),
        f"requests for {format_target(route)} get route {quote(route.name)} to "
        f"{format_shares(route)}: {effect}",
        HINT_INTENDED,
    )


def explain_moved(
    subject: str, old: Route, placed: Placed[Route], new: Configuration
) -> Finding:
    """Return the finding for a route whose services or weights differ."""
    field = Field.ROUTE_SERVICE if len(placed.item.shares) == 1 else Field.ROUTE_SPLIT
    is_moved = list_used_services(old) != list_used_services(placed.item)
    return Finding(
        "differences.route-moved" if is_moved else "differences.route-weights",
        Severity.WARNING if is_moved else Severity.NOTE,
        new.format_place(field, placed.index),
        f"{subject} went to {format_shares(old)} and go to "
        f"{format_shares(placed.item)}",
        HINT_INTENDED,
    )


@difference_checks.register("services")
def compare_services(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report services whose upstreams are used otherwise."""
    for placed in new.services:
        name = placed.item.name
        known = old.rules.services.get(name)
        if known is not None and placed.item == new.rules.services[name]:
            yield from compare_attributes(
                SERVICE_COMPARISONS, f"service {quote(name)}", known, placed, new
            )


@difference_checks.register("limits")
def compare_limits(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report other limits on the requests and connections of callers."""
    placed = Placed(0, new.rules.limits)
    yield from compare_attributes(
        LIMIT_COMPARISONS, "callers", old.rules.limits, placed, new
    )


@difference_checks.register("key-requirement")
def compare_key_requirement(
    old: Configuration, new: Configuration
) -> Iterator[Finding]:
    """Report that callers need keys from now on, or no longer."""
    needed_keys = old.rules.directory is not None
    needs_keys = new.rules.directory is not None
    if needed_keys == needs_keys:
        return
    if needs_keys:
        effect = "requests without a key are answered 401 on routes that are not public"
    else:
        effect = "every request is served without a key and without a quota"
    yield Finding(
        "differences.key-requirement",
        Severity.WARNING,
        new.format_place(Field.WORKSPACES if needs_keys else Field.DOCUMENT),
        f"callers needed {'keys' if needed_keys else 'no keys'} and need "
        f"{'keys' if needs_keys else 'none'}: {effect}",
        HINT_INTENDED,
    )


@difference_checks.register("keys")
def compare_keys(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report workspaces that lose keys or callers that change their workspace."""
    if old.rules.directory is None or new.rules.directory is None:
        return
    new_indexes = index_workspaces(new)
    is_unshared = have_no_shared_keys(old, new)
    for placed in list_in_force(old):
        name = placed.item.name
        known = new.rules.directory.find(name)
        if is_unshared and known is not None and known.keys == placed.item.keys:
            continue
        revoked, moved = find_lost_keys(placed.item, old, new)
        index = new_indexes.get(name)
        if index is None:
            yield Finding(
                "differences.workspace-dropped",
                Severity.WARNING,
                old.format_place(Field.WORKSPACE, placed.index),
                f"workspace {quote(name)} is dropped with its keys; revoked keys: "
                f"{revoked}, and requests with these are answered 401",
                HINT_INTENDED,
                Version.IN_FORCE,
            )
        elif revoked:
            yield Finding(
                "differences.keys-revoked",
                Severity.WARNING,
                new.format_place(Field.WORKSPACE_KEYS, index),
                f"workspace {quote(name)} loses keys; revoked keys: {revoked}, and "
                "requests with these are answered 401",
                HINT_INTENDED,
            )
        for holder, count in moved.items():
            yield Finding(
                "differences.keys-moved",
                Severity.WARNING,
                new.format_place(Field.WORKSPACE_KEYS, new_indexes[holder]),
                f"workspace {quote(holder)} takes keys of workspace {quote(name)}; "
                f"moved keys: {count}, and requests with these count as those of "
                f"{quote(holder)}, with its quota and priority",
                HINT_INTENDED,
            )


def have_no_shared_keys(old: Configuration, new: Configuration) -> bool:
    """Return whether in both versions each key belongs to the one that lists it.

    Workspaces that did not change then have the same keys, and need no search.
    """
    directories = old.rules.directory, new.rules.directory
    return not any(directory.shared_key_count for directory in directories)


def find_lost_keys(
    workspace: Workspace, old: Configuration, new: Configuration
) -> tuple[int, dict[WorkspaceName, int]]:
    """Return how many keys of a workspace are revoked, and how many go to others."""
    revoked = 0
    moved: dict[WorkspaceName, int] = {}
    for key in set(workspace.keys):
        if find_holder(old, key) != workspace.name:
            continue
        holder = find_holder(new, key)
        if holder is None:
            revoked += 1
        elif holder != workspace.name:
            moved[holder] = moved.get(holder, 0) + 1
    return revoked, dict(sorted(moved.items()))


def find_holder(configuration: Configuration, key: ApiKey) -> WorkspaceName | None:
    """Return the name of the workspace that a key belongs to."""
    workspace = configuration.rules.directory.find_by_key(key)
    return None if workspace is None else workspace.name


def list_in_force(configuration: Configuration) -> list[Placed[Workspace]]:
    """Return the workspaces without those that repeat the name of an earlier one."""
    find = configuration.rules.directory.find
    return [item for item in configuration.workspaces if find(item[1].name) is item[1]]


def index_workspaces(configuration: Configuration) -> dict[WorkspaceName, int]:
    """Return the indexes of the workspaces in force by name."""
    return {placed.item.name: placed.index for placed in list_in_force(configuration)}


@difference_checks.register("workspaces")
def compare_workspaces(old: Configuration, new: Configuration) -> Iterator[Finding]:
    """Report added workspaces, and other quotas and priorities."""
    if old.rules.directory is None or new.rules.directory is None:
        return
    is_unshared = have_no_shared_keys(old, new)
    for placed in list_in_force(new):
        name = placed.item.name
        known = old.rules.directory.find(name)
        if is_unshared and known == placed.item:
            continue
        if known is None:
            yield Finding(
                "differences.workspace-added",
                Severity.NOTE,
                new.format_place(Field.WORKSPACE, placed.index),
                f"workspace {quote(name)} is added; its keys: {len(placed.item.keys)}, "
                "and requests with new ones were answered 401",
                HINT_INTENDED,
            )
            continue
        yield from compare_attributes(
            WORKSPACE_COMPARISONS, f"workspace {quote(name)}", known, placed, new
        )
        count = sum(
            find_holder(new, key) == name and find_holder(old, key) is None
            for key in set(placed.item.keys)
        )
        if count:
            yield Finding(
                "differences.keys-added",
                Severity.NOTE,
                new.format_place(Field.WORKSPACE_KEYS, placed.index),
                f"workspace {quote(name)} gets keys; new keys: {count}, and requests "
                "with these were answered 401",
                HINT_INTENDED,
            )
