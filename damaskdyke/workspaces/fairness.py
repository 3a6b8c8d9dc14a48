"""Fair shares of a service among workspaces, and the rank of their requests.

Load pattern: one workspace sends a multiple of its usual rate to a service with too few
slots. Served by arrival, it would get nearly all slots, and the small workspaces would
be refused as often as it is. The zone's recent use of the service shows every proxy
which workspaces ask for little, also where few of their requests arrive here.
"""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import WorkspaceName

# Half-life of the use of a service. A workspace that calms down is served like others
# after a few seconds; shorter, and a gap between two requests of a small workspace
# would hide its use.
USE_HALF_LIFE_MS = 4_000
# A workspace without a request for this time is not active and its use is forgotten.
ACTIVE_MS = 10_000
# Uses are stored as multiples of a weight that doubles each half-life. All are scaled
# down after this time, long before the weight leaves the range of a float.
RESCALE_MS = 20 * USE_HALF_LIFE_MS
# Multiple of the fair share from which a workspace counts as above it. Without it, half
# of a number of workspaces with equal loads would be, by chance.
ABOVE_FACTOR = 1.25
# Share of the slots of a service in a zone at or below which free slots are scarce.
# With 0.25 too few slots were in use: replays of "hot-workspace-alone" (seeds 1 and 2)
# served 0.51 of all requests instead of 0.546, and no more of the small workspaces.
SCARCE_SHARE = 0.1
# A workspace is guaranteed this share of the share of requests served of all. The
# operators' bound is a quarter; the rest covers guaranteed requests that find no slot.
GUARANTEED_SHARE = 0.35
# Unused guarantees that a workspace may save up, so that it does not get a burst of
# slots after a long overload.
MAX_GUARANTEES = 2.0
# Time after the last answer in which what a workspace is owed is kept. A small
# workspace sends a proxy a request only every 10 s or so.
GUARANTEE_RETENTION_MS = 60_000
# Half-life of the share of requests served.
RESULT_HALF_LIFE_MS = 10_000
# Longest Retry-After before it is spread. Callers retry within a third of their
# remaining time, which is about 800 ms.
MAX_RETRY_AFTER_MS = 500
# Relative range over which the Retry-After of callers refused together is spread.
RETRY_SPREAD = 0.4


class Rank(NamedTuple):
    """Priority of a request; a smaller rank is served first.

    Parameters
    ----------
    workspace : float
        Priority of its workspace. A workspace without a priority, and a request without
        a workspace, takes the number of the route, so that both kinds compare on one
        scale and requests without priorities of workspaces rank by their routes alone.
    route : float
        Priority of its route.
    """

    workspace: float
    route: float


# Rank of a request that is served before all others, as its workspace would otherwise
# be served too rarely.
GUARANTEED_RANK = Rank(-math.inf, -math.inf)


def make_rank(route_priority: int, workspace_priority: int | None = None) -> Rank:
    """Return the rank of a request; see `Rank`."""
    if workspace_priority is None:
        return Rank(route_priority, route_priority)
    return Rank(workspace_priority, route_priority)


def is_scarce(free_slots: int, slots: int) -> bool:
    """Return whether few of the slots of a service in a zone are free."""
    return free_slots <= SCARCE_SHARE * slots


@dataclass(slots=True)
class Level:
    """Active workspaces of one priority.

    Parameters
    ----------
    weighted_use : float
        Sum of their uses.
    active : int
        Their number.
    """

    weighted_use: float = 0.0
    active: int = 0


@dataclass(slots=True)
class Usage:
    """Use of a service by one active workspace.

    Parameters
    ----------
    priority : int or None
        Priority of the workspace.
    weighted_use : float
        Work in milliseconds, multiplied by the weight of its time.
    active_at : Millis
        Time of its last request.
    """

    priority: int | None
    weighted_use: float
    active_at: Millis


@dataclass(slots=True)
class Guarantee:
    """What one workspace is owed of a service by this proxy.

    Parameters
    ----------
    requests : float
        Requests to serve before others; one is due from 1.
    updated_at : Millis
        Time of the last answer.
    """

    requests: float
    updated_at: Millis


@dataclass(frozen=True, slots=True)
class ShareState:
    """Use of a service by a workspace in the zone, beside the fair share.

    Parameters
    ----------
    use_ms, fair_share_ms : float
        Decayed work in milliseconds of an upstream.
    active : int
        Number of active workspaces of the same priority.
    """

    use_ms: float
    fair_share_ms: float
    active: int


class FairShares:
    """Recent use of one service by the workspaces in one zone. Not thread-safe.

    The fair share is the mean use of the active workspaces of one priority. Were it
    that of all, urgent workspaces would always be above it in an overload, and would
    have to leave the reserved slots to less urgent ones.

    Only active workspaces are kept. As all uses decay alike, they are stored with the
    weight of their time and compared without being decayed.

    Parameters
    ----------
    random_source : random.Random
        Source of the spread of Retry-After and of the first guarantee.
    """

    def __init__(self, random_source: random.Random):
        self._random = random_source
        # The workspace with the earliest last request first.
        self._usages: OrderedDict[WorkspaceName, Usage] = OrderedDict()
        self._levels: dict[int | None, Level] = {}
        self._weight_start = Millis(0)
        # The workspace with the earliest last answer first.
        self._guarantees: OrderedDict[WorkspaceName, Guarantee] = OrderedDict()
        # Decayed numbers of answers, and of those with a reply of an upstream.
        self._answered = 0.0
        self._served = 0.0
        self._results_at = Millis(0)

    def __len__(self) -> int:
        return len(self._usages)

    # Use.

    def record_request(
        self, workspace: WorkspaceName, priority: int | None, now: Millis
    ) -> None:
        """Count a workspace as active before anything of it was sent."""
        self._get_usage(workspace, priority, now)

    def record_send(
        self,
        workspace: WorkspaceName,
        priority: int | None,
        work_ms: float,
        now: Millis,
    ) -> None:
        """Charge a workspace with a first send of this proxy or of a peer."""
        usage = self._get_usage(workspace, priority, now)
        weighted = work_ms * self._get_weight(now)
        usage.weighted_use += weighted
        self._levels[priority].weighted_use += weighted

    def get_weighted_use(self, workspace: WorkspaceName | None) -> float:
        """Return a use that compares with that of others at the same moment.

        A request without a workspace counts as one of a workspace with the mean use.
        """
        if workspace is None:
            total = sum(level.weighted_use for level in self._levels.values())
            return total / max(1, len(self._usages))
        usage = self._usages.get(workspace)
        return 0.0 if usage is None else usage.weighted_use

    def weigh(self, work_ms: float, now: Millis) -> float:
        """Return work in milliseconds in the unit of `get_weighted_use`."""
        return work_ms * self._get_weight(now)

    def is_above_share(self, workspace: WorkspaceName | None) -> bool:
        """Return whether a workspace has used clearly more than the fair share."""
        usage = self._usages.get(workspace)
        if usage is None:
            return False
        level = self._levels[usage.priority]
        return usage.weighted_use * level.active > ABOVE_FACTOR * level.weighted_use

    def get_state(self, workspace: WorkspaceName, now: Millis) -> ShareState:
        """Return the use of a workspace and the fair share."""
        self._remove_expired(now)
        usage = self._usages.get(workspace)
        if usage is None:
            return ShareState(0.0, 0.0, 0)
        weight, level = self._get_weight(now), self._levels[usage.priority]
        return ShareState(
            usage.weighted_use / weight,
            level.weighted_use / weight / level.active,
            level.active,
        )

    def list_active(self, now: Millis) -> list[WorkspaceName]:
        """Return the workspaces with a request within `ACTIVE_MS`."""
        self._remove_expired(now)
        return list(self._usages)

    def compute_retry_after_ms(
        self, workspace: WorkspaceName, wait_ms: float, now: Millis
    ) -> int:
        """Return the time after which a refused caller of a workspace should retry.

        It is the expected wait or, if that is later, the time at which the use of the
        workspace has decayed to the fair share, up to a limit, and spread at random.
        """
        state = self.get_state(workspace, now)
        room_ms = wait_ms
        if state.use_ms > state.fair_share_ms > 0:
            half_lives = math.log2(state.use_ms / state.fair_share_ms)
            room_ms = max(wait_ms, USE_HALF_LIFE_MS * half_lives)
        spread = 1 + RETRY_SPREAD * self._random.random()
        return int(min(MAX_RETRY_AFTER_MS, room_ms) * spread)

    # Guarantees.

    def claim_turn(self, workspace: WorkspaceName, now: Millis) -> bool:
        """Return whether a new request is to be served before all others.

        Such a request is owed to its workspace and no longer owed afterwards.
        """
        self._remove_expired(now)
        guarantee = self._guarantees.get(workspace)
        if guarantee is None or guarantee.requests < 1:
            return False
        guarantee.requests -= 1
        return True

    def return_turn(self, workspace: WorkspaceName) -> None:
        """Owe a workspace the request again for which a turn was claimed in vain."""
        guarantee = self._guarantees.get(workspace)
        if guarantee is not None:
            guarantee.requests = min(MAX_GUARANTEES, guarantee.requests + 1)

    def record_result(
        self,
        workspace: WorkspaceName,
        is_served: bool,
        is_guaranteed: bool,
        now: Millis,
    ) -> None:
        """Count the answer to a request of this proxy's callers.

        Every answer earns the workspace a part of a request, every reply uses up one.
        ``is_guaranteed`` states that `claim_turn` already used it up; without a reply
        it is owed again.
        """
        self._remove_expired(now)
        decay = 2.0 ** ((self._results_at - now) / RESULT_HALF_LIFE_MS)
        self._answered = self._answered * decay + 1
        self._served = self._served * decay + is_served
        self._results_at = now
        guarantee = self._guarantees.get(workspace)
        if guarantee is None:
            if is_served:
                return
            # Starting anywhere in the range, many proxies with few requests each
            # together serve the right share of them.
            guarantee = Guarantee(self._random.random(), now)
            self._guarantees[workspace] = guarantee
        owed = guarantee.requests + GUARANTEED_SHARE * self._served / self._answered
        owed += is_guaranteed - is_served
        guarantee.requests = min(MAX_GUARANTEES, max(0.0, owed))
        guarantee.updated_at = now
        self._guarantees.move_to_end(workspace)

    def _get_usage(
        self, workspace: WorkspaceName, priority: int | None, now: Millis
    ) -> Usage:
        """Return the usage of a workspace, which is active at present."""
        self._remove_expired(now)
        if now - self._weight_start > RESCALE_MS:
            self._rescale(now)
        usage = self._usages.pop(workspace, None)
        if usage is None:
            usage = Usage(priority, 0.0, now)
            self._add_to_level(usage)
        elif usage.priority != priority:
            self._remove_from_level(usage)
            usage.priority = priority
            self._add_to_level(usage)
        usage.active_at = now
        self._usages[workspace] = usage
        return usage

    def _add_to_level(self, usage: Usage) -> None:
        level = self._levels.setdefault(usage.priority, Level())
        level.active += 1
        level.weighted_use += usage.weighted_use

    def _remove_from_level(self, usage: Usage) -> None:
        level = self._levels[usage.priority]
        level.active -= 1
        # Rounding may leave less than nothing.
        level.weighted_use = max(0.0, level.weighted_use - usage.weighted_use)
        if not level.active:
            del self._levels[usage.priority]

    def _get_weight(self, now: Millis) -> float:
        return 2.0 ** ((now - self._weight_start) / USE_HALF_LIFE_MS)

    def _rescale(self, now: Millis) -> None:
        """Let the weight of the present time be 1."""
        if self._usages:
            weight = self._get_weight(now)
            # The sums are formed anew, which ends the differences of rounding.
            self._levels.clear()
            for usage in self._usages.values():
                usage.weighted_use /= weight
                self._add_to_level(usage)
        self._weight_start = now

    def _remove_expired(self, now: Millis) -> None:
        usages, guarantees = self._usages, self._guarantees
        while usages:
            workspace, usage = next(iter(usages.items()))
            if usage.active_at >= now - ACTIVE_MS:
                break
            del usages[workspace]
            self._remove_from_level(usage)
        while guarantees:
            workspace, guarantee = next(iter(guarantees.items()))
            if guarantee.updated_at >= now - GUARANTEE_RETENTION_MS:
                break
            del guarantees[workspace]
