"""Types of workspaces and their keys."""

from dataclasses import dataclass
from typing import NewType

from damaskdyke.core.ids import WorkspaceName

ApiKey = NewType("ApiKey", str)


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the operators, whose callers present one of its keys.

    Parameters
    ----------
    keys : tuple of ApiKey
        Keys that its callers may present.
    priority : int or None
        Rank among workspaces, which goes before the rank of a route; 0 is the most
        urgent, ``None`` if the workspace has none of its own.
    rate_per_second, burst : float
        Quota over the whole fleet: requests per second, and requests beyond that rate
        at once. A rate of 0 sets no limit.
    """

    name: WorkspaceName
    keys: tuple[ApiKey, ...]
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0
