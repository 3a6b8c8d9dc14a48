"""Findings of the checks of a configuration."""

import reprlib
from dataclasses import dataclass
from enum import Enum
from typing import Any, NewType

FindingId = NewType("FindingId", str)


# Part of a value that a message quotes; values may be of any length.
MAX_QUOTED_CHARS = 80

_quoting = reprlib.Repr()
_quoting.maxstring = _quoting.maxother = MAX_QUOTED_CHARS


def quote(value: Any) -> str:
    """Return a value in quotes, shortened, for a message."""
    return _quoting.repr(value)


class Severity(Enum):
    """Weight of a finding, the heaviest first.

    ``ERROR``: a proxy does not use the document or the entry, or it can have no effect.
    ``WARNING``: it is used, but probably not as intended, or callers will notice it.
    ``NOTE``: information.
    """

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


class Version(Enum):
    """Version of the configuration that the place of a finding is in."""

    CHECKED = "checked"
    IN_FORCE = "in-force"


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem of a configuration, or one difference from another.

    Parameters
    ----------
    id : FindingId
        Stable id, such as ``matching.duplicate-route``.
    place : str
        Path in the document.
    message : str
        Statement of what is wrong, with what was expected and what was found.
    hint : str
        Advice, as a sentence.
    version : Version
        Document that ``place`` is a path of.
    """

    id: FindingId
    severity: Severity
    place: str
    message: str
    hint: str
    version: Version = Version.CHECKED
