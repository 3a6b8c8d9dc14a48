"""Command that checks a configuration of the platform's store before it is deployed."""

import contextlib
import gc
import json
from argparse import ArgumentParser, Namespace
from collections import Counter
from collections.abc import Iterator
from enum import IntEnum
from pathlib import Path

from damaskdyke.conf.checks.configuration import Configuration
from damaskdyke.conf.checks.findings import Finding, Severity, Version, quote
from damaskdyke.conf.checks.runner import can_compare, run_checks
from damaskdyke.conf.vm import VmSettings, VmSettingsError
from damaskdyke.core.management.base import BaseCommand, CommandError
from damaskdyke.platform.configuration import (
    UnreadableConfiguration,
    read_configuration,
)
from damaskdyke.platform.machine import load_vm_settings

EPILOG = (
    "Exit codes: 0 nothing or only notes, 1 errors, 2 only warnings, 3 a file cannot "
    "be read or the arguments are wrong."
)


class CheckCode(IntEnum):
    """Exit codes of the command, which tell the heaviest finding."""

    PASSED = 0
    ERRORS = 1
    WARNINGS = 2
    UNREADABLE = 3


class Command(BaseCommand):
    """Report every problem of a configuration, and differences from another."""

    help = "Check a configuration of the platform's store, without the network."
    usage_code = CheckCode.UNREADABLE

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the files and the format."""
        parser.epilog = EPILOG
        parser.add_argument(
            "file", type=Path, metavar="FILE", help="JSON document as the store has it"
        )
        parser.add_argument(
            "--against",
            type=Path,
            metavar="FILE",
            help="version in force; explain the differences and their effects",
        )
        parser.add_argument(
            "--settings",
            type=Path,
            metavar="FILE",
            help="settings file of a VM; check the limits against its memory and the "
            "retry budget",
        )
        parser.add_argument("--json", action="store_true", help="print one JSON object")

    def handle(self, options: Namespace) -> CheckCode:
        """Check the file, print the findings and return the code of the heaviest."""
        with pause_garbage_collection():
            return self.check(options)

    def check(self, options: Namespace) -> CheckCode:
        """Check the files that the options name."""
        configuration = load_configuration(options.file)
        in_force = load_in_force(options.against) if options.against else None
        settings = load_settings(options.settings) if options.settings else None
        findings = run_checks(configuration, in_force, settings)
        skipped = list_skipped(configuration, in_force, settings)
        counts = Counter(finding.severity for finding in findings)
        files = {Version.CHECKED: (options.file, configuration)}
        if in_force is not None:
            files[Version.IN_FORCE] = (options.against, in_force)
        rows = [make_row(finding, *files[finding.version]) for finding in findings]
        if options.json:
            print_json(rows, counts, skipped)
        else:
            print_text(rows, counts, skipped)
        if counts[Severity.ERROR]:
            return CheckCode.ERRORS
        return CheckCode.WARNINGS if counts[Severity.WARNING] else CheckCode.PASSED


@contextlib.contextmanager
def pause_garbage_collection() -> Iterator[None]:
    """Keep the collector from scanning the entries, of which none becomes garbage.

    At 170,000 workspaces its scans took up to a third of the processor time.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def load_configuration(path: Path) -> Configuration:
    """Return the configuration in a file.

    Raises
    ------
    CommandError
        If the file cannot be read or is not JSON.
    """
    try:
        return read_configuration(path.read_bytes())
    except OSError as error:
        message = f"{path}: {error.strerror}"
        if path.is_dir():
            message += ". Use `damaskdyke check DIRECTORY` for a settings tree."
        raise CommandError(message, CheckCode.UNREADABLE) from None
    except UnreadableConfiguration as error:
        raise CommandError(f"{path}: {error}", CheckCode.UNREADABLE) from None


def load_in_force(path: Path) -> Configuration:
    """Return the configuration to compare with.

    Raises
    ------
    CommandError
        If the file cannot be read, or proxies refuse the document.
    """
    configuration = load_configuration(path)
    if configuration.is_refused:
        message = f"{path}: proxies refuse this document, so it cannot be in force. "
        message += "Check it by itself for the reasons."
        raise CommandError(message, CheckCode.UNREADABLE)
    return configuration


def load_settings(path: Path) -> VmSettings:
    """Return the settings of a VM.

    Raises
    ------
    CommandError
        If the file cannot be read or has errors, bounds included: others would be in
        force, and limits be checked against these.
    """
    try:
        settings = load_vm_settings(path)
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CommandError(message, CheckCode.UNREADABLE) from None
    except VmSettingsError as error:
        raise CommandError(str(error), CheckCode.UNREADABLE) from None
    if settings.warnings:
        message = "; ".join(str(item) for item in settings.warnings)
        raise CommandError(message, CheckCode.UNREADABLE)
    return settings


def list_skipped(
    configuration: Configuration,
    in_force: Configuration | None,
    settings: VmSettings | None,
) -> list[str]:
    """Return sentences that name what was not checked, and why."""
    skipped = []
    if settings is None:
        skipped.append(
            "attempts against the retry budget and the body limit against the memory, "
            "without --settings"
        )
    if in_force is None:
        skipped.append("differences from the version in force, without --against")
    elif not can_compare(in_force, configuration):
        skipped.append(
            "differences from the version in force, as proxies refuse the document and "
            "keep that version"
        )
    return skipped


def make_row(
    finding: Finding, file: Path, configuration: Configuration
) -> dict[str, str | None]:
    """Return a finding as it is printed, with the file and the name of its entry."""
    return {
        "id": finding.id,
        "severity": finding.severity.value,
        "file": str(file),
        "place": finding.place,
        "entry": configuration.find_name(finding.place),
        "message": finding.message,
        "hint": finding.hint,
    }


def print_text(
    rows: list[dict[str, str | None]], counts: Counter[Severity], skipped: list[str]
) -> None:
    """Print one line a finding, what was not checked, and the counts."""
    for row in rows:
        entry = "" if row["entry"] is None else f" ({quote(row['entry'])})"
        print(
            f"{row['file']}: {row['place']}{entry}: {row['severity']} ({row['id']}): "
            f"{row['message']}. {row['hint']}"
        )
    for text in skipped:
        print(f"not checked: {text}")
    print(", ".join(f"{item.value}s: {counts[item]}" for item in Severity))


def print_json(
    rows: list[dict[str, str | None]], counts: Counter[Severity], skipped: list[str]
) -> None:
    """Print the same as one JSON object."""
    report = {
        "counts": {item.value: counts[item] for item in Severity},
        "skipped": skipped,
        "findings": rows,
    }
    print(json.dumps(report, indent=2))
