"""Checks of the workspaces' names and keys.

Keys are secrets, so that messages name the places of keys and never their text.

Load pattern: one pass over 170,000 workspaces and their keys for each check.
"""

from collections.abc import Iterator

from damaskdyke.conf.checks.configuration import Configuration, Field, Placed
from damaskdyke.conf.checks.findings import Finding, Severity, quote
from damaskdyke.conf.checks.registry import configuration_checks
from damaskdyke.core.ids import WorkspaceName
from damaskdyke.workspaces.types import ApiKey, Workspace

# Holders of a shared key that a message names.
MAX_NAMED_HOLDERS = 5


@configuration_checks.register("shared-keys")
def check_shared_keys(configuration: Configuration) -> Iterator[Finding]:
    """Report keys that several workspaces list, so that they belong to none."""
    directory = configuration.rules.directory
    if directory is None or not directory.shared_key_count:
        return
    first_holders: dict[ApiKey, tuple[Placed[Workspace], int]] = {}
    other_holders: dict[ApiKey, list[tuple[Placed[Workspace], int]]] = {}
    for placed in configuration.workspaces:
        for position, key in enumerate(placed.item.keys):
            first, _ = first_holders.setdefault(key, (placed, position))
            if first is not placed:
                other_holders.setdefault(key, []).append((placed, position))
    for key, others in other_holders.items():
        first, position = first_holders[key]
        named = ", ".join(
            f"{quote(holder.item.name)} at "
            + configuration.format_place(Field.WORKSPACE_KEY, holder.index, at)
            for holder, at in others[:MAX_NAMED_HOLDERS]
        )
        if len(others) > MAX_NAMED_HOLDERS:
            named += f" and {len(others) - MAX_NAMED_HOLDERS} more"
        yield Finding(
            "keys.shared-key",
            Severity.ERROR,
            configuration.format_place(Field.WORKSPACE_KEY, first.index, position),
            f"expected a key of workspace {quote(first.item.name)} only, got one that "
            f"is also held by {named}: it belongs to none, and requests with it are "
            "answered 401",
            "Give each workspace a key of its own and withdraw this one.",
        )


@configuration_checks.register("repeated-workspaces")
def check_repeated_workspaces(configuration: Configuration) -> Iterator[Finding]:
    """Report workspaces that are left out because an earlier one has their name."""
    directory = configuration.rules.directory
    if directory is None or not directory.repeated_names:
        return
    first_by_name: dict[WorkspaceName, Placed[Workspace]] = {}
    for placed in configuration.workspaces:
        first = first_by_name.setdefault(placed.item.name, placed)
        if first is not placed:
            place = configuration.format_place(Field.WORKSPACE, first.index)
            yield Finding(
                "keys.repeated-workspace",
                Severity.ERROR,
                configuration.format_place(Field.WORKSPACE_NAME, placed.index),
                f"expected a name of its own, got {quote(placed.item.name)}, which "
                f"{place} has too: this workspace and its keys are left out",
                "Rename it, or merge the keys into the first one.",
            )


@configuration_checks.register("workspaces-without-keys")
def check_workspaces_without_keys(configuration: Configuration) -> Iterator[Finding]:
    """Report workspaces that no caller can act for."""
    for index, workspace in configuration.workspaces:
        if not workspace.keys:
            yield Finding(
                "keys.no-keys",
                Severity.WARNING,
                configuration.format_place(Field.WORKSPACE_KEYS, index),
                f"expected at least one key, got none: no request counts as one of "
                f"workspace {quote(workspace.name)}",
                "Add a key, or remove the workspace.",
            )


@configuration_checks.register("repeated-keys")
def check_repeated_keys(configuration: Configuration) -> Iterator[Finding]:
    """Report workspaces that list a key of theirs more than once."""
    for index, workspace in configuration.workspaces:
        keys = workspace.keys
        if len(keys) > 1 and len(set(keys)) < len(keys):
            yield Finding(
                "keys.repeated-key",
                Severity.NOTE,
                configuration.format_place(Field.WORKSPACE_KEYS, index),
                f"expected each key once, got {len(keys)} keys of which "
                f"{len(set(keys))} differ",
                "Remove the repeated ones.",
            )
