"""Decisions of one proxy about workspaces, without I/O: quotas, ranks, queue order.

Load pattern: some workspaces send a multiple of their usual rate to services that have
too few slots. Requests over a quota are refused, and those that wait are served by rank
and by the use of the service in the zone; see docs/design/quotas.md and
docs/design/fairness.md. Without workspaces requests wait by the priority of their
routes, and nothing is counted.
"""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from damaskdyke.conf.vm import FleetBounds
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import ServiceName, WorkspaceName, ZoneName
from damaskdyke.dispatch.selection import SelectionCriteria
from damaskdyke.dispatch.waiting import Group, WaitQueue
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.fairness import (
    GUARANTEED_RANK,
    FairShares,
    Rank,
    ShareState,
    is_scarce,
)
from damaskdyke.workspaces.quotas import BucketState, QuotaTable

# Time for which the count of a service's free slots in the zone is used. Reports of
# peers are about as old.
SCARCITY_MAX_AGE_MS = 50


class Waiter:
    """A queued request; ``event`` is set when it may try to get a slot.

    Parameters
    ----------
    rank : Rank
        Rank in the queue.
    workspace : WorkspaceName or None
        Workspace of the request.
    is_urgent : bool
        Whether it may take the reserved slots unless its workspace may not.
    is_large : bool
        Whether its body is limited by the bytes in flight at each upstream.
    """

    __slots__ = ("criteria", "event", "is_large", "is_urgent", "rank", "workspace")

    def __init__(
        self,
        rank: Rank,
        workspace: WorkspaceName | None = None,
        is_urgent: bool = False,
        is_large: bool = False,
    ):
        self.rank = rank
        self.workspace = workspace
        self.is_urgent = is_urgent
        self.is_large = is_large
        # Criteria of its last attempt to get a slot.
        self.criteria: SelectionCriteria | None = None
        self.event = threading.Event()


class SlotCount(NamedTuple):
    """Free slots of a service in the zone, and all of its slots there."""

    free: int
    total: int


class Activity(NamedTuple):
    """Workspaces that are active at a proxy, for operators.

    ``active`` counts those with recent requests to any service, and ``buckets`` those
    with a bucket, of which ``largest`` has those with the most sends.
    """

    active: int
    buckets: int
    largest: list[BucketState]


class ServiceSchedule:
    """Uses of one service by workspaces, and its queue.

    Parameters
    ----------
    random_source : random.Random
        Source of random numbers for the shares of workspaces.
    """

    def __init__(self, random_source: random.Random):
        self.shares = FairShares(random_source)
        self.queue: WaitQueue[Waiter] = WaitQueue(self.shares.get_weighted_use)
        # Whether few slots were free in the zone, and when that was last determined.
        self.is_scarce = False
        self.scarcity_known_at: Millis | None = None


class WorkspaceScheduler:
    """Quotas of workspaces, and the order in which requests get slots.

    Not thread-safe: the dispatcher calls it with its lock held.

    Parameters
    ----------
    bounds, zone, started_at, random_source : FleetBounds, ZoneName, Millis, Random
        See `QuotaTable`.
    get_directory : callable
        Returns the workspaces of the catalogue in force, ``None`` without any.
    count_slots : callable
        Counts the slots of a service in the zone at a time.
    has_capacity : callable
        Returns whether any upstream has capacity for a queued request that has tried to
        get a slot before.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        zone: ZoneName,
        started_at: Millis,
        random_source: random.Random,
        get_directory: Callable[[], Directory | None],
        count_slots: Callable[[ServiceName, Millis], SlotCount],
        has_capacity: Callable[[ServiceName, Waiter, Millis], bool],
    ):
        self._random = random_source
        self._get_directory = get_directory
        self._count_slots = count_slots
        self._has_capacity = has_capacity
        self._services: dict[ServiceName, ServiceSchedule] = {}
        self.quotas = QuotaTable(bounds, zone, started_at, random_source)

    def get_service(self, service: ServiceName) -> ServiceSchedule:
        """Return the schedule of a service, a new one on first use."""
        schedule = self._services.get(service)
        if schedule is None:
            schedule = self._services[service] = ServiceSchedule(self._random)
        return schedule

    def describe_activity(self, count: int, now: Millis) -> Activity:
        """Return which workspaces are active, with the largest ones' buckets."""
        active: set[WorkspaceName] = set()
        for schedule in self._services.values():
            active.update(schedule.shares.list_active(now))
        largest = self.quotas.list_largest(count, now)
        return Activity(len(active), len(self.quotas), largest)

    # Ranks and guarantees.

    def claim_rank(
        self, service: ServiceName, rank: Rank, workspace: WorkspaceName, now: Millis
    ) -> Rank:
        """Return the rank at which a request of a workspace is served.

        It is its own one unless the workspace would otherwise be served too rarely.
        """
        shares = self.get_service(service).shares
        shares.record_request(workspace, self._find_priority(workspace), now)
        return GUARANTEED_RANK if shares.claim_turn(workspace, now) else rank

    def record_result(
        self,
        service: ServiceName,
        rank: Rank,
        workspace: WorkspaceName,
        is_served: bool,
        now: Millis,
    ) -> None:
        """Count the answer to a request of a workspace with the rank claimed for it."""
        self.get_service(service).shares.record_result(
            workspace, is_served, rank == GUARANTEED_RANK, now
        )

    def return_turn(self, service: ServiceName, workspace: WorkspaceName) -> None:
        """Owe a workspace the turn again that a request claimed and did not use."""
        self.get_service(service).shares.return_turn(workspace)

    # Use and shares.

    def record_own_send(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
        work_ms: float,
        now: Millis,
    ) -> None:
        """Charge the quota and the use of a workspace with a first send."""
        self.quotas.record_own_send(workspace, now)
        self.record_use(service, workspace, work_ms, now)

    def record_use(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
        work_ms: float,
        now: Millis,
    ) -> None:
        """Charge a workspace with the work of a first send in the zone.

        A peer may name one that this proxy does not know yet.
        """
        if self._get_directory() is None:
            return
        schedule = self.get_service(service)
        priority = self._find_priority(workspace)
        schedule.shares.record_send(workspace, priority, work_ms, now)
        schedule.queue.reorder()

    def get_share_state(
        self, service: ServiceName, workspace: WorkspaceName, now: Millis
    ) -> ShareState:
        """Return the use of a service by a workspace, and the fair share."""
        return self.get_service(service).shares.get_state(workspace, now)

    def is_restricted(
        self,
        service: ServiceName,
        rank: Rank | None,
        workspace: WorkspaceName | None,
        now: Millis,
    ) -> bool:
        """Return whether requests may not take reserved slots although they are urgent.

        That holds for a workspace above its fair share of a service that is scarce.
        """
        if workspace is None or rank == GUARANTEED_RANK:
            return False
        schedule = self.get_service(service)
        if not schedule.shares.is_above_share(workspace):
            return False
        known_at = schedule.scarcity_known_at
        if known_at is None or now - known_at >= SCARCITY_MAX_AGE_MS:
            schedule.is_scarce = is_scarce(*self._count_slots(service, now))
            schedule.scarcity_known_at = now
        return schedule.is_scarce

    # Queues.

    def enqueue(self, service: ServiceName, waiter: Waiter) -> None:
        """Add a request to the wait queue of a service."""
        self.get_service(service).queue.put(waiter.rank, waiter, waiter.workspace)

    def dequeue(self, service: ServiceName, waiter: Waiter) -> None:
        """Remove a request from the wait queue of a service, if it is there."""
        self.get_service(service).queue.remove(waiter)

    def list_queued(self) -> list[ServiceName]:
        """Return the services for which requests wait."""
        return [name for name, item in self._services.items() if item.queue]

    def list_next(self, service: ServiceName, now: Millis) -> list[Waiter]:
        """Return the queued requests whose turn it is, at most three.

        Besides the first one, these are one that may take reserved slots if the first
        one may not, and a small request behind a large one, see `find_large_ahead`.
        """
        first = self.get_service(service).queue.peek()
        if first is None:
            return []
        small = self.find_small_behind(service, first)
        unrestricted = self._find_unrestricted_behind(service, first, now)
        others = [item for item in (small, unrestricted) if item is not None]
        return [first, *dict.fromkeys(others)]

    def _find_unrestricted_behind(
        self, service: ServiceName, first: Waiter, now: Millis
    ) -> Waiter | None:
        """Return a queued request that may take reserved slots, unlike the first one.

        There is none if the first one may take them too, or never does.
        """
        if first.workspace is None or not first.is_urgent:
            return None
        if not self.is_restricted(service, first.rank, first.workspace, now):
            return None
        found = self.get_service(service).queue.find_first(
            lambda group: self.is_restricted(service, *group, now)
        )
        return None if found is None or not found.is_urgent else found

    def find_small_behind(self, service: ServiceName, waiter: Waiter) -> Waiter | None:
        """Return the first small request if a large one is the first of the queue.

        It is ``None`` for a waiter that is not that large one.
        """
        queue = self.get_service(service).queue
        if not waiter.is_large or waiter is not queue.peek():
            return None
        return queue.find_item(lambda item: not item.is_large)

    def find_large_ahead(
        self, service: ServiceName, waiter: Waiter, now: Millis
    ) -> Waiter | None:
        """Return the large request that is sent before a small one, if there is one.

        A large one has no use for a slot of an upstream that holds too many bytes, or
        for one that it may not take, so that small ones pass it meanwhile.
        """
        first = self.get_service(service).queue.peek()
        if waiter.is_large or not first.is_large:
            return None
        return None if self._is_blocked(service, first, now) else first

    def _are_all_blocked(self, service: ServiceName, now: Millis) -> bool:
        """Return whether all queued requests are large and no upstream may take them.

        Those behind the first are taken to be like it.
        """
        first = self.get_service(service).queue.peek()
        if not first.is_large or self.find_small_behind(service, first) is not None:
            return False
        return self._is_blocked(service, first, now)

    def _is_blocked(self, service: ServiceName, waiter: Waiter, now: Millis) -> bool:
        """Return whether no upstream has capacity for a queued request.

        One that has not tried to get a slot yet is about to do so.
        """
        if waiter.criteria is None:
            return False
        return not self._has_capacity(service, waiter, now)

    def has_queued_ahead(
        self,
        service: ServiceName,
        rank: Rank,
        workspace: WorkspaceName | None,
        is_urgent: bool,
        now: Millis,
        is_large: bool = False,
    ) -> bool:
        """Return whether queued requests come before a new one.

        The parameters are those of `Waiter`. A small request does not wait for large
        ones that no upstream may take.
        """
        queue = self.get_service(service).queue
        if not queue:
            return False
        is_passed = self._find_passed(service, rank, workspace, is_urgent, now)
        if not queue.count_ahead(rank, workspace, is_passed=is_passed):
            return False
        return is_large or not self._are_all_blocked(service, now)

    def count_ahead(
        self,
        service: ServiceName,
        rank: Rank,
        workspace: WorkspaceName | None,
        is_urgent: bool,
        work_ms: float,
        now: Millis,
    ) -> int:
        """Return the number of queued requests that get slots before a new one.

        ``work_ms`` is the use that each send adds; the other parameters are those of
        `Waiter`.
        """
        schedule = self.get_service(service)
        return schedule.queue.count_ahead(
            rank,
            workspace,
            0.0 if workspace is None else schedule.shares.weigh(work_ms, now),
            self._find_passed(service, rank, workspace, is_urgent, now),
        )

    def compute_retry_after_ms(
        self,
        service: ServiceName,
        workspace: WorkspaceName,
        wait_ms: int,
        now: Millis,
    ) -> int:
        """Return the time after which a refused caller of a workspace should retry.

        ``wait_ms`` is the expected wait for a slot.
        """
        shares = self.get_service(service).shares
        return shares.compute_retry_after_ms(workspace, wait_ms, now)

    def _find_passed(
        self,
        service: ServiceName,
        rank: Rank,
        workspace: WorkspaceName | None,
        is_urgent: bool,
        now: Millis,
    ) -> Callable[[Group], bool] | None:
        """Return which waiting requests a new one passes, ``None`` for none of them.

        A request that may take reserved slots does not wait behind those that may not.
        """
        if workspace is None or not is_urgent:
            return None
        if self.is_restricted(service, rank, workspace, now):
            return None
        return lambda group: self.is_restricted(service, *group, now)

    def _find_priority(self, workspace: WorkspaceName) -> int | None:
        """Return the priority of a workspace, ``None`` if it has none."""
        directory = self._get_directory()
        found = None if directory is None else directory.find(workspace)
        return None if found is None else found.priority
