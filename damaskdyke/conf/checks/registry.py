"""Registries of the checks of one configuration and of the differences of two."""

from collections.abc import Callable, Iterable

from damaskdyke.conf.checks.configuration import Configuration
from damaskdyke.conf.checks.findings import Finding
from damaskdyke.conf.vm import VmSettings
from damaskdyke.core.registry import Registry

ConfigurationCheck = Callable[[Configuration], Iterable[Finding]]
# Compares a configuration with the settings of a VM.
SettingsCheck = Callable[[Configuration, VmSettings], Iterable[Finding]]
# Compares the version in force, the first argument, with the one to be deployed.
DifferenceCheck = Callable[[Configuration, Configuration], Iterable[Finding]]

configuration_checks: Registry[ConfigurationCheck] = Registry("configuration check")
settings_checks: Registry[SettingsCheck] = Registry("settings check")
difference_checks: Registry[DifferenceCheck] = Registry("difference check")
