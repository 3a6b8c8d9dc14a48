"""Differences from the version in force, and what they do to requests.

A difference that callers may notice is a warning, another one a note.

Load pattern: 17,000 routes and 170,000 workspaces, of which few differ. Workspaces that
are equal in both versions are passed over without a look at their keys.
"""

from collections.abc import Iterator, Sequence

from damaskdyke.catalogue.types import Route
from damaskdyke.conf.checks.comparisons import (
    HINT_INTENDED,
    LIMIT_COMPARISONS,
    ORDER_COMPARISONS,
    ROUTE_COMPARISONS,
    SERVICE_COMPARISONS,
    WORKSPACE_COMPARISONS,
    compare_attributes,
)
from damaskdyke.conf.checks.configuration import Configuration, Field, Placed
from damaskdyke.conf.checks.findings import Finding, Severity, Version, quote
from damaskdyke.conf.checks.registry import difference_checks
from damaskdyke.core.ids import WorkspaceName
from damaskdyke.workspaces.types import ApiKey, Workspace

Routes = dict[tuple[str, str], Placed[Route]]


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


def list_in_force(configuration: Configuration) -> Sequence[Placed[Workspace]]:
    """Return the workspaces without those that repeat the name of an earlier one."""
    directory = configuration.rules.directory
    if not directory.repeated_names:
        return configuration.workspaces
    return [
        placed
        for placed in configuration.workspaces
        if directory.find(placed.item.name) is placed.item
    ]


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
