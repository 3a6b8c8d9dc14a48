"""Parses branches from TOML and reports all errors of a branch together."""

import tomllib
from collections.abc import Iterator
from typing import Any

from marshmallow import ValidationError

from damaskdyke.conf.schemas import BranchSchema, build_branch
from damaskdyke.conf.tree import Branch
from damaskdyke.core.checks import CheckMessage, branch_checks, tree_checks
from damaskdyke.core.checks import branches as _branches  # noqa: F401
from damaskdyke.core.checks import trees as _trees  # noqa: F401
from damaskdyke.core.errors import ErrorKind, ProxyError

# Largest value that the platform stores.
MAX_BRANCH_BYTES = 1_000_000

# Marshmallow reports errors in ``fields.Dict`` under an extra level, "key" or "value",
# that the settings do not have. It follows ``services.NAME``, at the depth below.
MARSHMALLOW_DICT_LEVELS = ("key", "value")
SERVICE_NAME_DEPTH = 2


class SettingsError(ProxyError):
    """A branch or settings file has errors.

    Parameters
    ----------
    messages : list of CheckMessage
        Every error found.
    """

    def __init__(self, messages: list[CheckMessage]):
        super().__init__(
            ErrorKind.SETTINGS_INVALID, "; ".join(str(item) for item in messages)
        )
        self.messages = messages


def parse_branch(name: str, text: bytes) -> Branch:
    """Return the typed branch for its published text.

    Raises
    ------
    SettingsError
        If the branch has errors; carries all errors of the first stage that finds
        any: TOML syntax, schema, branch checks.
    """
    data = parse_toml(name, text)
    try:
        loaded = BranchSchema().load(data)
    except ValidationError as error:
        messages = list(flatten_errors(name, error.messages))
        raise SettingsError(messages) from None
    branch = build_branch(name, loaded)
    messages = [item for _, check in branch_checks for item in check(branch)]
    if messages:
        raise SettingsError(messages)
    return branch


def parse_toml(name: str, text: bytes) -> dict[str, Any]:
    """Return the TOML table in ``text``.

    Raises
    ------
    SettingsError
        If the text is over the platform's limit or is not TOML.
    """
    if len(text) > MAX_BRANCH_BYTES:
        problem = f"{len(text)} bytes are over the limit of {MAX_BRANCH_BYTES}"
        hint = "Split the branch."
        raise SettingsError([CheckMessage("tree.E001", name, "*", problem, hint)])
    try:
        return tomllib.loads(text.decode("utf-8"))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        hint = "Correct the syntax."
        message = CheckMessage("tree.E002", name, "*", f"not TOML: {error}", hint)
        raise SettingsError([message]) from None


def flatten_errors(
    branch: str, errors: Any, path: tuple[str, ...] = ()
) -> Iterator[CheckMessage]:
    """Yield one message for each error in marshmallow's nested report."""
    if isinstance(errors, dict):
        for key, inner in errors.items():
            is_dict_level = (
                len(path) == SERVICE_NAME_DEPTH and key in MARSHMALLOW_DICT_LEVELS
            )
            inner_path = path if is_dict_level else (*path, str(key))
            yield from flatten_errors(branch, inner, inner_path)
        return
    texts = errors if isinstance(errors, list) else [errors]
    for text in texts:
        yield make_schema_message(branch, ".".join(path), str(text))


def make_schema_message(branch: str, key: str, text: str) -> CheckMessage:
    """Return the message for one of marshmallow's error texts, with id and hint."""
    if text == "Unknown field.":
        hint = "Remove the key or correct its spelling."
        return CheckMessage("tree.E003", branch, key, "unknown key", hint)
    if text.startswith("Missing data"):
        hint = "Add the key."
        return CheckMessage("tree.E004", branch, key, "required key is missing", hint)
    hint = "See docs/reference/settings.md for the type and range."
    return CheckMessage("tree.E005", branch, key, text.rstrip("."), hint)


def check_tree(branches: tuple[Branch, ...]) -> list[CheckMessage]:
    """Return the errors between branches, such as a service defined twice."""
    return [item for _, check in tree_checks for item in check(branches)]
