"""Rate limits that upstreams state in their replies.

Load pattern: an upstream in need names the requests per second that it accepts from all
proxies together, for seconds, while others of its service do the same or not.
"""

import re
from dataclasses import dataclass

from damaskdyke.core.ids import UpstreamId

# A decimal number; the digits bound the work on a damaged reply.
LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)


@dataclass(slots=True)
class RateLimit:
    """Rate limit that one incarnation of an upstream states.

    Parameters
    ----------
    incarnation : int
        Incarnation that stated it.
    per_second : float
        Requests per second that it accepts from the whole fleet.
    sends : int
        Sends to it by this proxy since the limit is known.
    """

    incarnation: int
    per_second: float
    sends: int = 0


class RateLimitTable:
    """Rate limits in force, by upstream."""

    def __init__(self):
        self._limits: dict[UpstreamId, RateLimit] = {}
        # Sends to upstreams that stated a limit before.
        self.limited_sends = 0

    def __len__(self) -> int:
        return len(self._limits)

    def find(self, upstream: UpstreamId, incarnation: int) -> RateLimit | None:
        """Return the limit of an incarnation, ``None`` if it states none."""
        limit = self._limits.get(upstream)
        if limit is None or limit.incarnation != incarnation:
            return None
        return limit

    def update(
        self, upstream: UpstreamId, incarnation: int, per_second: float | None
    ) -> RateLimit | None:
        """Store what the last reply stated, and return the limit before it.

        ``None`` for ``per_second`` means a reply without a limit.
        """
        previous = self.find(upstream, incarnation)
        if per_second is None:
            self._limits.pop(upstream, None)
        elif previous is None:
            self._limits[upstream] = RateLimit(incarnation, per_second)
        else:
            self._limits[upstream] = RateLimit(incarnation, per_second, previous.sends)
        return previous

    def record_send(self, upstream: UpstreamId, incarnation: int) -> None:
        """Count a send of this proxy if the upstream states a limit."""
        limit = self.find(upstream, incarnation)
        if limit is not None:
            limit.sends += 1
            self.limited_sends += 1

    def retain(self, kept: set[UpstreamId]) -> None:
        """Remove the limits of all upstreams but those in ``kept``."""
        for upstream in [name for name in self._limits if name not in kept]:
            del self._limits[upstream]


def parse_rate_limit(text: str) -> float:
    """Return a stated limit in requests per second.

    Raises
    ------
    ValueError
        If the text is no decimal number of zero or more.
    """
    if not LIMIT_PATTERN.fullmatch(text.strip()):
        raise ValueError(f"not a decimal number: {text[:40]!r}")
    return float(text)
