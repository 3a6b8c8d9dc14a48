"""Whether this proxy is in contact with its availability zone, by its load reports.

Load pattern: a zone of dozens of proxies that count each other's sends, and a hub that
relays the reports. A hub that has ended, is frozen or overloaded, or cannot be reached
relays nothing, and a proxy that is cut off hears nothing. Without a check both look
like a zone that sends nothing. The hub relays a report to the proxy that made it too,
which confirms the way in both directions at no cost.
"""

from collections import deque

from damaskdyke.core.clock import Millis
from damaskdyke.workspaces.silence import ZoneContactState

# Time in which the hub has relayed a report back. It waits for further reports for 40
# ms, and a VM may be slow to handle them.
RELAY_TIMEOUT_MS = 250
# The same while other reports of the hub arrive, so that only this proxy's are missing.
OWN_RELAY_TIMEOUT_MS = 1_000
# Time without a report of the zone, while own ones are not relayed, that is a silence.
SILENCE_MS = 150
# The same where proxies report to each other directly. Without requests they send a
# heartbeat each second.
DIRECT_SILENCE_MS = 1_200
# Time for which a hub that did not relay is left out; it doubles each time.
MIN_AVOIDANCE_MS = 1_000
MAX_AVOIDANCE_MS = 8_000
# Silence after which a proxy whose reports are not relayed counts as isolated. Within
# it the others notice the same of a hub that has failed, and report to all directly.
ISOLATION_MS = 400
# The same where proxies report to each other directly: two heartbeats may be lost.
DIRECT_ISOLATION_MS = 2_200
# Reports that are remembered until they come back.
MAX_UNCONFIRMED = 256


class ZoneContact:
    """Tracks reports that the hub has to relay, and what is heard. Not thread-safe.

    Parameters
    ----------
    started_at : Millis
        Start of the process.
    """

    def __init__(self, started_at: Millis):
        self._heard_at = started_at
        self._message_at = started_at
        self._hub: str | None = None
        # Datagrams that the hub has not relayed back yet, the oldest first: the time of
        # the newest report in each, and when it was sent.
        self._unconfirmed: deque[tuple[Millis, Millis]] = deque(maxlen=MAX_UNCONFIRMED)
        # Hub that is left out, until when and for how long.
        self._avoided: str | None = None
        self._avoided_until = Millis(0)
        self._avoidance_ms = MIN_AVOIDANCE_MS
        # Whether the hub that was used last relays nothing back.
        self._is_failing = False

    def record_heard(self, now: Millis) -> None:
        """Record that a report of another proxy of the zone arrived."""
        self._heard_at = now

    def record_message(self, now: Millis) -> None:
        """Record that any datagram of another proxy of the zone arrived."""
        self._message_at = now

    def record_sent(self, hub: str, reported_at: Millis, now: Millis) -> None:
        """Record that reports were given to the hub, and the time of the newest one."""
        if hub != self._hub:
            self._hub = hub
            self._unconfirmed.clear()
            self._is_failing = False
        self._unconfirmed.append((reported_at, now))

    def record_relayed(self, reported_at: Millis) -> None:
        """Record that a report of this proxy came back from the hub."""
        while self._unconfirmed and self._unconfirmed[0][0] <= reported_at:
            self._unconfirmed.popleft()
        self._is_failing = False
        if self._avoided == self._hub:
            self._avoided = None
            self._avoidance_ms = MIN_AVOIDANCE_MS

    def may_use(self, hub: str, now: Millis) -> bool:
        """Return whether reports may go to a hub: not while it fails to relay them."""
        if hub == self._avoided and now < self._avoided_until:
            return False
        if hub != self._hub or not self._is_overdue(now):
            return True
        self._is_failing = True
        if hub == self._avoided:
            self._avoidance_ms = min(2 * self._avoidance_ms, MAX_AVOIDANCE_MS)
        else:
            self._avoided, self._avoidance_ms = hub, MIN_AVOIDANCE_MS
        self._avoided_until = Millis(now + self._avoidance_ms)
        self._unconfirmed.clear()
        return False

    def get_state(self, has_hub: bool, now: Millis) -> ZoneContactState:
        """Return both of what `find_silence` and `is_isolated` return."""
        silent_since = self.find_silence(has_hub, now)
        return ZoneContactState(
            silent_since, silent_since is not None and self.is_isolated(has_hub, now)
        )

    def find_silence(self, has_hub: bool, now: Millis) -> Millis | None:
        """Return since when no report of the zone arrives, ``None`` if they do.

        A zone that has nothing to report is not silent: the hub relays the reports of
        this proxy, and heartbeats arrive.

        Parameters
        ----------
        has_hub : bool
            Whether the reports of the zone go through a hub.
        now : Millis
            Present time.
        """
        if not has_hub:
            heard_at = max(self._heard_at, self._message_at)
            return heard_at if now - heard_at >= DIRECT_SILENCE_MS else None
        if now - max(self._heard_at, self._message_at) >= ISOLATION_MS:
            return self._heard_at
        is_silent = now - self._heard_at >= SILENCE_MS
        return self._heard_at if is_silent and self.is_unrelayed(now) else None

    def is_unrelayed(self, now: Millis) -> bool:
        """Return whether reports of this proxy were sent, and the hub relays none."""
        return self._is_failing or self._has_waited(SILENCE_MS, now)

    def is_isolated(self, has_hub: bool, now: Millis) -> bool:
        """Return whether this proxy seems to be cut off from its zone.

        Parameters
        ----------
        has_hub : bool
            Whether the reports of the zone go through a hub.
        now : Millis
            Present time.
        """
        silence_ms = now - max(self._heard_at, self._message_at)
        if not has_hub:
            return silence_ms >= DIRECT_ISOLATION_MS
        if self._is_failing or self._is_overdue(now):
            return silence_ms >= ISOLATION_MS
        return silence_ms >= DIRECT_SILENCE_MS

    def _is_overdue(self, now: Millis) -> bool:
        if self._has_waited(OWN_RELAY_TIMEOUT_MS, now):
            return True
        is_silent = now - self._heard_at >= RELAY_TIMEOUT_MS
        return is_silent and self._has_waited(RELAY_TIMEOUT_MS, now)

    def _has_waited(self, duration_ms: int, now: Millis) -> bool:
        """Return whether a report has not been relayed back for some time."""
        return bool(self._unconfirmed) and now - self._unconfirmed[0][1] >= duration_ms
