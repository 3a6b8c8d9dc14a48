"""Finds every problem of a configuration, and its place, with the proxy's decoder.

The decoder stops at the first invalid field of an entry. To find the others too, each
field is put into a valid example in place of the example's, and the decoder is applied
to that. So there is no second opinion about what is valid, and the proxy does not pay
for the search.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from damaskdyke.platform.documents import EntryKind
from damaskdyke.platform.expectations import Path
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.types import Workspace

# Stands for the value of a field that the document lacks.
MISSING = object()


@dataclass(frozen=True, slots=True)
class LeftOut:
    """An entry that the decoder left out."""

    index: int
    item: Any
    error: Exception


@dataclass(frozen=True, slots=True)
class Problem:
    """A value that the decoder refuses.

    Parameters
    ----------
    value : Any
        The value, ``MISSING`` if the field is missing.
    error : Exception
        What the decoder raised.
    """

    path: Path
    value: Any
    error: Exception


class CollectedProblems:
    """Collects what a proxy would log about a configuration."""

    def __init__(self) -> None:
        self.left_out: dict[EntryKind, list[LeftOut]] = {kind: [] for kind in EntryKind}
        self.unknown_types: list[tuple[dict, str]] = []
        # All workspaces, if some have the same name or the same key.
        self.ambiguous: list[Workspace] | None = None

    def report_left_out(
        self, kind: EntryKind, index: int, item: Any, error: Exception
    ) -> None:
        """Collect an entry that is left out."""
        left_out = LeftOut(index, item, error.with_traceback(None))
        self.left_out[kind].append(left_out)

    def report_unknown_type(self, item: dict, name: str) -> None:
        """Collect a route with a type that this version does not know."""
        self.unknown_types.append((item, name))

    def report_ambiguous(
        self, directory: Directory, workspaces: list[Workspace]
    ) -> None:
        """Keep all workspaces, as the directory does not."""
        self.ambiguous = workspaces


def find_problems(
    value: Any, example: Any, decode: Callable[[Any], Any], path: Path = ()
) -> list[Problem]:
    """Return the problems of a value, none if the decoder accepts it.

    Parameters
    ----------
    example : Any
        Valid value of the same kind; a list has one element.
    decode : callable
        Raises an error for an invalid value.
    path : Path
        Path of the value in the document.
    """
    try:
        decode(value)
        return []
    except Exception as error:
        # A traceback would keep the frames, and so the values, alive.
        failure = error.with_traceback(None)
    found: list[Problem] = []
    if isinstance(value, dict) and isinstance(example, dict):
        for name, valid in example.items():
            rest = {key: item for key, item in example.items() if key != name}
            inner = (*path, name)
            if name in value:
                decode_field = partial(decode_in_object, decode, rest, name)
                found += find_problems(value[name], valid, decode_field, inner)
            else:
                missing = find_problems(rest, None, decode, inner)
                found += [Problem(inner, MISSING, item.error) for item in missing]
    elif isinstance(value, list) and isinstance(example, list) and example:
        decode_element = partial(decode_in_list, decode, example)
        for index, item in enumerate(value):
            found += find_problems(item, example[0], decode_element, (*path, index))
    return found or [Problem(path, value, failure)]


def decode_in_object(
    decode: Callable[[Any], Any], rest: dict, name: str, value: Any
) -> None:
    """Decode a valid object with one field of another value."""
    decode({**rest, name: value})


def decode_in_list(decode: Callable[[Any], Any], valid: list, value: Any) -> None:
    """Decode a valid list with one more element."""
    decode([value, *valid])
