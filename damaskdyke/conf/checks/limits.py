"""Checks for limits that contradict each other or the settings of a VM.

Load pattern: one pass over 17,000 routes or 170,000 workspaces for each check.
"""

import math
from collections.abc import Iterator

from damaskdyke.conf.checks.configuration import Configuration, Field
from damaskdyke.conf.checks.findings import Finding, Severity, quote
from damaskdyke.conf.checks.registry import configuration_checks, settings_checks
from damaskdyke.conf.vm import FleetBounds, VmSettings
from damaskdyke.core.clock import Clock
from damaskdyke.dispatch.budgets import USABLE_SHARE
from damaskdyke.gateway.forwarding import CALLER_MARGIN_MS, MIN_SEND_TIME_MS
from damaskdyke.gateway.memory import MemoryBudget, compute_budget_bytes

# No request is sent to an upstream with a time-out up to this.
MAX_UNUSABLE_TIMEOUT_MS = CALLER_MARGIN_MS + MIN_SEND_TIME_MS
# Seconds that a workspace at its quota waits at most for a full burst. Above, the rate
# is probably given in another unit, such as requests per minute.
MAX_BURST_SECONDS = 20


@configuration_checks.register("time-outs")
def check_timeouts(configuration: Configuration) -> Iterator[Finding]:
    """Report routes whose requests cannot be sent in time, or miss their goal."""
    for index, route in configuration.routes:
        if route.timeout_ms <= MAX_UNUSABLE_TIMEOUT_MS:
            yield Finding(
                "limits.timeout-too-short",
                Severity.ERROR,
                configuration.format_place(Field.ROUTE_TIMEOUT, index),
                f"expected a time-out above {MAX_UNUSABLE_TIMEOUT_MS} ms, got "
                f"{route.timeout_ms} ms: no request is sent to an upstream",
                "Give the time in which a request must be answered.",
            )
        elif route.timeout_ms < route.goal_ms:
            yield Finding(
                "limits.timeout-below-goal",
                Severity.WARNING,
                configuration.format_place(Field.ROUTE_TIMEOUT, index),
                f"expected a time-out of at least the goal of {route.goal_ms} ms, got "
                f"{route.timeout_ms} ms: slower replies never arrive",
                "Raise the time-out or lower the goal.",
            )


@configuration_checks.register("attempts")
def check_attempts(configuration: Configuration) -> Iterator[Finding]:
    """Report numbers of attempts that have no effect."""
    for index, route in configuration.routes:
        place = configuration.format_place(Field.ROUTE_ATTEMPTS, index)
        if route.attempts < 1:
            yield Finding(
                "limits.no-attempts",
                Severity.WARNING,
                place,
                f"expected at least 1 attempt, got {route.attempts}: one is made "
                "nevertheless",
                "Set it to 1.",
            )
        elif route.attempts > 1 and not route.is_idempotent:
            yield Finding(
                "limits.order-attempts",
                Severity.WARNING,
                place,
                f"expected 1 attempt on a route that is not idempotent, got "
                f"{route.attempts}: a request that may have run is never sent again",
                "Set it to 1, or correct the type of the route.",
            )


@configuration_checks.register("connections")
def check_connections(configuration: Configuration) -> Iterator[Finding]:
    """Report services whose upstreams accept no connection."""
    for index, service in configuration.services:
        if not service.connections:
            yield Finding(
                "limits.zero-connections",
                Severity.ERROR,
                configuration.format_place(Field.SERVICE_CONNECTIONS, index),
                "expected at least 1 connection, got 0: no request reaches the service",
                "Give the connections that one upstream accepts from all proxies.",
            )


@configuration_checks.register("quotas")
def check_quotas(configuration: Configuration) -> Iterator[Finding]:
    """Report quotas whose burst does not fit their rate."""
    for index, workspace in configuration.workspaces:
        rate, burst = workspace.rate_per_second, workspace.burst
        if burst and not rate:
            yield Finding(
                "limits.burst-without-rate",
                Severity.WARNING,
                configuration.format_place(Field.WORKSPACE_RATE, index),
                f"expected a rate above 0 beside a burst of {burst:g}, got none or 0: "
                f"workspace {quote(workspace.name)} has no quota at all",
                "Give a rate, or remove the burst.",
            )
        elif rate * MAX_BURST_SECONDS < burst:
            yield Finding(
                "limits.rate-below-burst",
                Severity.WARNING,
                configuration.format_place(Field.WORKSPACE_RATE, index),
                f"expected a rate of at least {burst / MAX_BURST_SECONDS:g} a second "
                f"(a twentieth of the burst of {burst:g}), got {rate:g}: a used burst "
                f"returns only after {burst / rate:.0f} s",
                "Check the unit of the rate, which is requests per second.",
            )


@settings_checks.register("retry-budget")
def check_retry_budget(
    configuration: Configuration, settings: VmSettings
) -> Iterator[Finding]:
    """Report attempts that the fleet's retry budget does not allow."""
    bounds = settings.bounds
    extra_sends = compute_lone_extra_sends(bounds)
    is_empty = not bounds.retry_ratio and not bounds.retry_slack
    for index, route in configuration.routes:
        if not route.is_idempotent or route.attempts - 1 <= extra_sends:
            continue
        place = configuration.format_place(Field.ROUTE_ATTEMPTS, index)
        if is_empty:
            yield Finding(
                "limits.no-retry-budget",
                Severity.WARNING,
                place,
                f"expected 1 attempt, as the settings have no retry budget, got "
                f"{route.attempts}: nothing is sent again",
                "Set it to 1, or give the fleet a retry budget.",
            )
            continue
        yield Finding(
            "limits.small-retry-budget",
            Severity.NOTE,
            place,
            f"expected at most {extra_sends + 1} attempts for a service with one "
            f"request in a window of {bounds.retry_window_ms} ms, got "
            f"{route.attempts}: the retry budget (ratio {bounds.retry_ratio:g}, slack "
            f"{bounds.retry_slack:g}) allows more only with more requests",
            "Raise the slack of the retry budget if the service gets few requests.",
        )


def compute_lone_extra_sends(bounds: FleetBounds) -> int:
    """Return how often the only request of a window may be sent again."""
    allowance = bounds.retry_ratio + bounds.retry_slack
    return math.floor(USABLE_SHARE * allowance)


@settings_checks.register("body-memory")
def check_body_memory(
    configuration: Configuration, settings: VmSettings
) -> Iterator[Finding]:
    """Report a limit on bodies that the memory of the VM cannot hold."""
    budget = MemoryBudget(compute_budget_bytes(settings.memory_mb), Clock())
    usable_bytes = budget.get_max_body_bytes()
    body_bytes = configuration.rules.limits.body_bytes
    if body_bytes > usable_bytes:
        yield Finding(
            "limits.body-over-memory",
            Severity.WARNING,
            configuration.format_place(Field.LIMIT_BODY),
            f"expected at most {usable_bytes} bytes, the largest body that a VM with "
            f"{settings.memory_mb} MB can hold, got {body_bytes}: larger bodies are "
            "refused for lack of memory",
            "Lower the limit or give the proxies more memory.",
        )
