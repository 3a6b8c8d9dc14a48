"""Runs the registered checks of a configuration."""

from damaskdyke.conf.checks import (  # noqa: F401
    differences,
    keys,
    limits,
    matching,
)
from damaskdyke.conf.checks.configuration import Configuration
from damaskdyke.conf.checks.findings import Finding, Severity
from damaskdyke.conf.checks.registry import (
    configuration_checks,
    difference_checks,
    settings_checks,
)
from damaskdyke.conf.vm import VmSettings

SEVERITIES = list(Severity)


def run_checks(
    configuration: Configuration,
    in_force: Configuration | None = None,
    settings: VmSettings | None = None,
) -> list[Finding]:
    """Return the findings, the most severe first.

    Parameters
    ----------
    in_force : Configuration or None
        Version to compare with. Differences are left out if a proxy refuses either
        version as a whole, as they would have no effect.
    settings : VmSettings or None
        Settings of a VM to compare with.
    """
    findings = list(configuration.findings)
    for _, check in configuration_checks:
        findings += check(configuration)
    if settings is not None:
        for _, check in settings_checks:
            findings += check(configuration, settings)
    if in_force is not None and can_compare(in_force, configuration):
        for _, check in difference_checks:
            findings += check(in_force, configuration)
    return sorted(findings, key=lambda item: SEVERITIES.index(item.severity))


def can_compare(in_force: Configuration, configuration: Configuration) -> bool:
    """Return whether proxies accept both versions, so that they can be compared."""
    return not in_force.is_refused and not configuration.is_refused
