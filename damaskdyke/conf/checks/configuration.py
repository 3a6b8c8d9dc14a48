"""A decoded configuration whose entries keep their places in the document."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, NamedTuple, TypeVar

from damaskdyke.catalogue.types import Route, Rules, Service
from damaskdyke.conf.checks.findings import Finding
from damaskdyke.workspaces.types import Workspace

Item = TypeVar("Item")


class Field(Enum):
    """Fields that findings refer to; the platform's adapter knows their paths."""

    DOCUMENT = auto()
    VERSION = auto()
    ROUTES = auto()
    ROUTE = auto()
    ROUTE_HOST = auto()
    ROUTE_PREFIX = auto()
    ROUTE_TYPE = auto()
    ROUTE_TIMEOUT = auto()
    ROUTE_GOAL = auto()
    ROUTE_PRIORITY = auto()
    ROUTE_ATTEMPTS = auto()
    ROUTE_SERVICE = auto()
    ROUTE_SPLIT = auto()
    ROUTE_PUBLIC = auto()
    SERVICE = auto()
    SERVICE_NAME = auto()
    SERVICE_HEALTH_PATH = auto()
    SERVICE_CONNECTIONS = auto()
    LIMIT_HEADER = auto()
    LIMIT_BODY = auto()
    LIMIT_HEADER_TIMEOUT = auto()
    LIMIT_IDLE_TIMEOUT = auto()
    WORKSPACES = auto()
    WORKSPACE = auto()
    WORKSPACE_NAME = auto()
    WORKSPACE_KEYS = auto()
    WORKSPACE_KEY = auto()
    WORKSPACE_PRIORITY = auto()
    WORKSPACE_RATE = auto()
    WORKSPACE_BURST = auto()


class Placed(NamedTuple, Generic[Item]):
    """An entry and its index in the list of the document that holds it."""

    index: int
    item: Item


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, as the proxy's decoder reads it.

    Parameters
    ----------
    rules : Rules
        What a proxy would use. If it refuses the document, what it would use with the
        invalid parts replaced, so that the other parts can be checked.
    is_refused : bool
        Whether a proxy refuses the whole document.
    routes, services, workspaces : tuple of Placed
        Valid entries in the order of the document, also those that a proxy does not
        use because of an earlier or later one.
    findings : tuple of Finding
        What the decoder refuses or does not use as written.
    paths : Mapping of Field to str
        Path of each field in the document, with ``{}`` in place of each index.
    find_name : callable
        Returns the name of the entry that a path leads into, ``None`` if it has none.
    """

    rules: Rules
    is_refused: bool
    routes: tuple[Placed[Route], ...]
    services: tuple[Placed[Service], ...]
    workspaces: tuple[Placed[Workspace], ...]
    findings: tuple[Finding, ...]
    paths: Mapping[Field, str]
    find_name: Callable[[str], str | None]

    def format_place(self, field: Field, *indexes: int) -> str:
        """Return the path of a field in the document."""
        return self.paths[field].format(*indexes)
