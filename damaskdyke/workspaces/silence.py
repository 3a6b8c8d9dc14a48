"""What is assumed of a zone whose load reports do not arrive.

Load pattern: a hot workspace in a zone whose hub has failed. Proxies that took the
silence for a zone that sends nothing would admit everything.
"""

from dataclasses import dataclass

from damaskdyke.core.clock import MILLIS_PER_SECOND, Millis


@dataclass(frozen=True, slots=True)
class ZoneContactState:
    """Whether the load reports of a proxy's zone arrive.

    Parameters
    ----------
    silent_since : Millis or None
        Since when they do not, ``None`` if they do.
    is_isolated : bool
        Whether the proxy seems to be cut off from its zone. The others need longer to
        notice that, and use its part of the zone's share until then.
    """

    silent_since: Millis | None = None
    is_isolated: bool = False


IN_CONTACT = ZoneContactState()


@dataclass(slots=True)
class Assumption:
    """Sends of the peers of one workspace that are assumed while no report arrives.

    The peers are assumed to go on as before, and to become busier with this proxy.

    Parameters
    ----------
    since : Millis
        Time of the last report before the silence.
    per_second : float
        Rate of the peers' sends before the silence.
    per_own_send : float
        Sends of the peers for each own one before the silence.
    charged : float
        Tokens that were taken for assumed sends, less those reported since, also of
        earlier silences.
    own_sends : int
        Own sends during the silence.
    assumed : float
        Sends that are assumed for this silence.
    """

    since: Millis
    per_second: float
    per_own_send: float
    charged: float = 0.0
    own_sends: int = 0
    assumed: float = 0.0

    def extend(self, now: Millis, longest_ms: int) -> float:
        """Extend the silence to a time and return the tokens that this costs.

        Parameters
        ----------
        now : Millis
            Present time.
        longest_ms : int
            Time of a silence after which no further sends are assumed.
        """
        silent_ms = min(now - self.since, longest_ms)
        assumed = max(
            self.per_second * silent_ms / MILLIS_PER_SECOND,
            self.per_own_send * self.own_sends,
        )
        added = max(0.0, assumed - self.assumed)
        self.assumed += added
        self.charged += added
        return added

    def settle(self, count: int) -> float:
        """Return the tokens that reported sends cost which were not assumed before."""
        covered = min(self.charged, count)
        self.charged -= covered
        return count - covered
