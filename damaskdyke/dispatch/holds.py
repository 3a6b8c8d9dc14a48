"""Upstreams that asked this proxy, in a reply, to send nothing for now or ever again.

Load pattern: a planned shutdown or a short overload of an upstream, which the upstream
announces in its replies before its entry in the store or the fault estimates show it.
"""

import re
from dataclasses import dataclass

from damaskdyke.catalogue.types import Instance, InstanceState
from damaskdyke.core.clock import MILLIS_PER_SECOND, Millis
from damaskdyke.core.ids import UpstreamId

# Seconds, whole or with a fraction; the digits bound the work on a damaged reply.
PAUSE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)
# A longer pause is shortened to this, so that a damaged reply cannot take an upstream
# out of service for good.
MAX_PAUSE_MS = 30_000


@dataclass(slots=True)
class Hold:
    """Request of one incarnation of an upstream to be left alone.

    Parameters
    ----------
    incarnation : int
        Incarnation that asked for it; another one is not bound by it.
    is_leaving : bool
        Whether it said that it leaves, which it does not take back.
    paused_until : Millis
        End of the pause that it asked for.
    """

    incarnation: int
    is_leaving: bool = False
    paused_until: Millis = Millis(0)


class HoldTable:
    """Holds by upstream, as far as the replies to this proxy stated them."""

    def __init__(self):
        self._holds: dict[UpstreamId, Hold] = {}

    def mark_leaving(self, upstream: UpstreamId, incarnation: int) -> bool:
        """Record that an upstream leaves; return whether that is new."""
        hold = self._get(upstream, incarnation)
        is_new = not hold.is_leaving
        hold.is_leaving = True
        return is_new

    def pause(self, upstream: UpstreamId, incarnation: int, until: Millis) -> None:
        """Record that an upstream wants nothing before a moment.

        A later request does not shorten an earlier one, which other replies on their
        way may have overtaken.
        """
        hold = self._get(upstream, incarnation)
        hold.paused_until = max(hold.paused_until, until)

    def may_send(self, upstream: UpstreamId, incarnation: int, now: Millis) -> bool:
        """Return whether requests may be sent to an upstream now."""
        hold = self._holds.get(upstream)
        if hold is None or hold.incarnation != incarnation:
            return True
        return not hold.is_leaving and hold.paused_until <= now

    def get_pause_ms(self, instances: tuple[Instance, ...], now: Millis) -> int:
        """Return the time in ms until the first of several upstreams ends its pause.

        It is 0 if any of those that are ready may be sent to now, or none will be.
        """
        pauses = []
        for instance in instances:
            if instance.state is not InstanceState.READY:
                continue
            if self.may_send(instance.id, instance.incarnation, now):
                return 0
            hold = self._holds[instance.id]
            if not hold.is_leaving:
                pauses.append(hold.paused_until - now)
        return min(pauses, default=0)

    def retain(self, kept: set[UpstreamId]) -> None:
        """Remove the holds of all upstreams but those in ``kept``."""
        for upstream in [name for name in self._holds if name not in kept]:
            del self._holds[upstream]

    def _get(self, upstream: UpstreamId, incarnation: int) -> Hold:
        hold = self._holds.get(upstream)
        if hold is None or hold.incarnation < incarnation:
            hold = self._holds[upstream] = Hold(incarnation)
        # A late reply of an earlier incarnation changes nothing that is kept.
        return hold if hold.incarnation == incarnation else Hold(incarnation)


def parse_pause_ms(text: str) -> int:
    """Return the pause in ms that a reply asks for, at most `MAX_PAUSE_MS`.

    Raises
    ------
    ValueError
        If the text is not a number of seconds. A date is not understood either: the
        clocks of upstream and proxy may differ.
    """
    if not PAUSE_PATTERN.fullmatch(text.strip()):
        raise ValueError(f"not a number of seconds: {text[:40]!r}")
    return min(round(float(text) * MILLIS_PER_SECOND), MAX_PAUSE_MS)
