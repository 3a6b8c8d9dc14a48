"""Attributes whose changes are reported, with the effect of each on requests.

Load pattern: all entries of two versions, of which few differ.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from damaskdyke.conf.checks.configuration import Configuration, Field, Item, Placed
from damaskdyke.conf.checks.findings import Finding, FindingId, Severity, quote

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
