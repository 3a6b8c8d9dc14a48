"""Handling of an idempotent request: admission, attempts, retries and a hedge."""

import logging
import select
from collections.abc import Iterator
from contextlib import ExitStack

from damaskdyke.conf.tree import Rule, Service, WorkClass
from damaskdyke.core.clock import Deadline
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.health.component import Health
from damaskdyke.health.states import RequestOutcome, UpstreamHealth
from damaskdyke.health.window import OutcomeKind
from damaskdyke.limits.component import Limits, ServiceLimits
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.placement.component import LongWorkSlots
from damaskdyke.routing.balancing import Balancer
from damaskdyke.routing.hedging import hedging_policies
from damaskdyke.upstreams.calls import UpstreamCall
from damaskdyke.upstreams.component import Upstreams
from damaskdyke.upstreams.messages import Failure, Reply, Request, UpstreamError
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.routing")

# Statuses of a reply that count as a failure of the upstream and may be retried.
FAILED_STATUSES = frozenset({500, 502, 504})
# Pause between two rounds of requests for a long-work slot, and the number of upstreams
# that are asked in a round.
LEASE_RETRY_MS = 50
LEASE_TRIES = 6
# Minimum time-out of an attempt, as a multiple of the duration above which a lookup of
# the service is slow.
MIN_TIMEOUT_FACTOR = 2


class Attempt:
    """One attempt of a lookup at one upstream; ``started_at`` is in milliseconds."""

    def __init__(self, item: UpstreamHealth, call: UpstreamCall, started_at: int):
        self.item = item
        self.call = call
        self.started_at = started_at


class AttemptFailed(Exception):
    """An attempt ended without a reply that may be returned to the caller.

    Parameters
    ----------
    failure : Failure
        Kind of the failure.
    detail : str
        Description for logs and for the caller.
    reply : Reply or None
        The upstream's error reply, if it was complete.
    """

    def __init__(self, failure: Failure, detail: str, reply: Reply | None = None):
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.reply = reply


@components.register("lookups")
class Lookups(Component):
    """Handles idempotent requests."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self.clock = kernel.clock
        self.settings = kernel.get(Settings)
        self.health = kernel.get(Health)
        self.upstreams = kernel.get(Upstreams)
        self.balancer = kernel.get(Balancer)
        self.limits = kernel.get(Limits)
        self.long_work_slots = kernel.get(LongWorkSlots)
        self.metrics = kernel.get(Metrics)
        self.hedging = hedging_policies.get(kernel.settings.policies.hedging)()

    def run(self, service: Service, rule: Rule, request: Request) -> Reply:
        """Return an upstream's reply; it is complete, or the rest of its body streams.

        Raises
        ------
        ProxyError
            If the request is not admitted or no attempt succeeds. Its kind is the one
            to report to the caller.
        """
        limits = self.limits.get_service_limits(service)
        with limits.gates[rule.work].enter(rule, request.deadline):
            limits.retries.earn()
            limits.hedges.earn()
            return LookupRun(self, limits, service, rule, request).run()


class LookupRun:
    """State of one lookup.

    Parameters
    ----------
    owner : Lookups
        Component that provides the clock, the balancer and the other components.
    limits : ServiceLimits
        Budgets of the service.
    service : Service
        Service that the request is for.
    rule : Rule
        Rule that applies to the request.
    request : Request
        Request to send.
    """

    def __init__(
        self,
        owner: Lookups,
        limits: ServiceLimits,
        service: Service,
        rule: Rule,
        request: Request,
    ):
        self._owner = owner
        self._limits = limits
        self._service = service
        self._rule = rule
        self._request = request
        self._tried: set[str] = set()

    def run(self) -> Reply:
        """Try upstreams until one sends a reply that may be returned to the caller.

        Raises
        ------
        ProxyError
            If no attempt succeeds.
        """
        last_failure = AttemptFailed(Failure.CONNECT, "no upstream accepts work")
        for attempt_number in range(1, self._count_attempts() + 1):
            if attempt_number > 1 and not self._may_retry():
                break
            item = self._owner.balancer.choose(self._service, self._tried)
            if item is None:
                break
            try:
                return self._attempt(item, attempt_number)
            except AttemptFailed as error:
                last_failure = error
                self._log(
                    item, attempt_number, f"{error.failure.value}: {error.detail}"
                )
            if self._request.deadline.is_past():
                break
        raise self._make_error(last_failure)

    def _count_attempts(self) -> int:
        """Return the rule's number of attempts, one while settings are unconfirmed."""
        if self._owner.settings.status() is not SettingsStatus.CONFIRMED:
            return 1
        return self._rule.attempts

    def _may_retry(self) -> bool:
        return not self._request.deadline.is_past() and self._limits.retries.spend()

    def _make_error(self, last_failure: AttemptFailed) -> ProxyError:
        """Return the error for the caller after the last failed attempt."""
        if not self._tried:
            return ProxyError(
                ErrorKind.NO_UPSTREAM, last_failure.detail, retry_after_ms=1_000
            )
        if self._request.deadline.is_past():
            return ProxyError(ErrorKind.DEADLINE_EXPIRED, last_failure.detail)
        if last_failure.failure is Failure.REFUSED:
            return ProxyError(
                ErrorKind.UPSTREAM_REFUSED, last_failure.detail, retry_after_ms=200
            )
        return ProxyError(ErrorKind.UPSTREAM_FAILED, last_failure.detail)

    # One attempt.

    def _attempt(self, item: UpstreamHealth, attempt_number: int) -> Reply:
        if self._rule.work is WorkClass.LONG and self._service.long_slots:
            return self._attempt_long(item, attempt_number)
        with ExitStack() as calls:
            first = self._start_attempt(item, calls)
            second = self._hedge(first, calls)
            attempt, reply = self._read_first_reply(first, second)
            return self._prepare_reply(attempt, reply, calls, attempt_number)

    def _attempt_long(self, item: UpstreamHealth, attempt_number: int) -> Reply:
        item = self._lease_slot(item)
        with ExitStack() as calls:
            long_work_slots = self._owner.long_work_slots
            calls.callback(
                long_work_slots.release_slot, item.upstream.id, self._request.id
            )
            attempt = self._start_attempt(item, calls)
            return self._prepare_reply(
                attempt, self._read_reply(attempt), calls, attempt_number
            )

    def _lease_slot(self, item: UpstreamHealth) -> UpstreamHealth:
        """Lease a long-work slot and return its upstream.

        Several upstreams are asked in a round, and rounds repeat until the deadline.

        Raises
        ------
        ProxyError
            ``deadline-expired`` if no slot was granted before the deadline.
        """
        long_work_slots = self._owner.long_work_slots
        while not self._request.deadline.is_past():
            refused = set(self._tried)
            for _ in range(LEASE_TRIES):
                if long_work_slots.try_lease_slot(
                    self._service, item.upstream.id, self._request
                ):
                    return item
                refused.add(item.upstream.id)
                other = self._owner.balancer.choose(self._service, refused)
                if other is None:
                    break
                item = other
            self._owner.clock.sleep(LEASE_RETRY_MS)
        raise ProxyError(
            ErrorKind.DEADLINE_EXPIRED,
            "no slot for long work became free before the deadline",
        )

    def _start_attempt(self, item: UpstreamHealth, calls: ExitStack) -> Attempt:
        """Open a connection and send the request.

        Raises
        ------
        AttemptFailed
            If either fails.
        """
        owner = self._owner
        kind = "extra" if self._tried else "first"
        owner.metrics.attempts.add(1, {"kind": kind})
        self._tried.add(item.upstream.id)
        calls.enter_context(owner.balancer.track_in_flight(item))
        pool = owner.upstreams.get_pool(self._service, item.upstream)
        call = calls.enter_context(UpstreamCall(pool, self._request))
        attempt = Attempt(item, call, owner.clock.now())
        try:
            call.open()
            call.send()
        except UpstreamError as error:
            self._record(attempt, OutcomeKind.BAD)
            raise AttemptFailed(error.failure, error.detail) from error
        return attempt

    def _hedge(self, first: Attempt, calls: ExitStack) -> Attempt | None:
        """Start a second attempt if the first has no reply after the hedge delay.

        Returns ``None`` if the first replied, if no other upstream is available, if the
        budget is used up, or if the second attempt could not be started.
        """
        latency = self._owner.health.get_latency(self._service)
        delay_ms = self._owner.hedging.get_delay_ms(self._rule, latency)
        if delay_ms is None or first.call.wait(
            min(delay_ms, self._request.deadline.remaining_ms())
        ):
            return None
        item = self._owner.balancer.choose(self._service, self._tried)
        if item is None or not self._owner.hedging.spend_budget(self._limits.hedges):
            return None
        try:
            second = self._start_attempt(item, calls)
        except AttemptFailed:
            return None
        self._log(item, 1, f"hedge after {delay_ms} ms")
        return second

    def _read_first_reply(
        self, first: Attempt, second: Attempt | None
    ) -> tuple[Attempt, Reply]:
        """Return the attempt that replied first without a failure, and its reply."""
        if second is None:
            return first, self._read_reply_or_time_out(first)
        ready = wait_for_either(first, second, self._request.deadline)
        if ready is None:
            self._record(first, OutcomeKind.SLOW)
            raise AttemptFailed(
                Failure.TIMEOUT,
                "neither the attempt nor its hedge replied before the deadline",
            )
        other = second if ready is first else first
        try:
            reply = self._read_reply(ready)
        except AttemptFailed:
            return other, self._read_reply(other)
        if other is first:
            self._record(first, OutcomeKind.SLOW)
        return ready, reply

    def _read_reply_or_time_out(self, attempt: Attempt) -> Reply:
        """Read the reply, or time out early enough for the remaining attempts."""
        timeout_ms = self._get_attempt_timeout_ms()
        if timeout_ms is not None and not attempt.call.wait(timeout_ms):
            self._record(attempt, OutcomeKind.SLOW)
            self._limits.gates[self._rule.work].record_shed()
            raise AttemptFailed(Failure.TIMEOUT, f"no reply within {timeout_ms} ms")
        return self._read_reply(attempt)

    def _get_attempt_timeout_ms(self) -> int | None:
        """Return the time-out of an attempt, or ``None`` to wait until the deadline.

        An abandoned attempt still occupies its slot at the upstream. It is therefore
        not abandoned before it is slow by the standard of its service: otherwise
        overload would cause work to be done twice.
        """
        remaining_attempts = self._count_attempts() - len(self._tried) + 1
        if remaining_attempts <= 1:
            return None
        remaining_ms = self._request.deadline.remaining_ms()
        slow_ms = self._owner.health.get_latency(self._service).slow_ms
        timeout_ms = max(
            remaining_ms // remaining_attempts, MIN_TIMEOUT_FACTOR * slow_ms
        )
        return timeout_ms if timeout_ms < remaining_ms else None

    def _read_reply(self, attempt: Attempt) -> Reply:
        """Read the reply, classify it and record the outcome.

        Raises
        ------
        AttemptFailed
            If there is no complete reply, or if it is a refusal or a failure.
        """
        try:
            reply = attempt.call.read()
        except UpstreamError as error:
            is_late = error.failure is Failure.TIMEOUT
            self._record(attempt, OutcomeKind.SLOW if is_late else OutcomeKind.BAD)
            raise AttemptFailed(error.failure, error.detail) from error
        if reply.status in self._service.refusal_statuses:
            self._owner.balancer.record_shed(attempt.item)
            self._limits.gates[self._rule.work].record_shed()
            self._record(attempt, OutcomeKind.NEUTRAL)
            raise AttemptFailed(Failure.REFUSED, f"status {reply.status}", reply)
        if reply.status in FAILED_STATUSES:
            self._record(attempt, OutcomeKind.BAD)
            raise AttemptFailed(Failure.STATUS, f"status {reply.status}", reply)
        self._record_good(attempt)
        return reply

    def _record_good(self, attempt: Attempt) -> None:
        health = self._owner.health
        duration_ms = self._owner.clock.now() - attempt.started_at
        if self._rule.work is WorkClass.LONG:
            health.record(attempt.item, RequestOutcome(OutcomeKind.GOOD, duration_ms))
            return
        health.record(attempt.item, health.classify_duration(attempt.item, duration_ms))

    def _record(self, attempt: Attempt, kind: OutcomeKind) -> None:
        duration_ms = self._owner.clock.now() - attempt.started_at
        self._owner.health.record(attempt.item, RequestOutcome(kind, duration_ms))

    # Return of the reply.

    def _prepare_reply(
        self, attempt: Attempt, reply: Reply, calls: ExitStack, attempt_number: int
    ) -> Reply:
        """Return the reply; one that streams keeps its connection until its end."""
        self._log(attempt.item, attempt_number, f"status {reply.status}")
        if reply.rest is None:
            return reply
        reply.rest = stream_and_release(calls.pop_all(), reply.rest)
        return reply

    def _log(self, item: UpstreamHealth, attempt_number: int, result: str) -> None:
        log_event(
            logger,
            "route",
            request=self._request.id,
            service=self._service.name,
            rule=self._rule.id,
            upstream=item.upstream.id,
            attempt=attempt_number,
            result=result,
            left_ms=self._request.deadline.remaining_ms(),
        )


def stream_and_release(calls: ExitStack, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the rest of a body and release the resources of its attempt at the end."""
    with calls:
        try:
            yield from rest
        except UpstreamError as error:
            raise ProxyError(ErrorKind.UPSTREAM_FAILED, error.detail) from error


def wait_for_either(
    first: Attempt, second: Attempt, deadline: Deadline
) -> Attempt | None:
    """Return the attempt whose reply begins first, ``None`` if the deadline passes."""
    sockets = {first.call.socket: first, second.call.socket: second}
    poller = select.poll()
    by_descriptor = {}
    for sock, attempt in sockets.items():
        poller.register(sock, select.POLLIN)
        by_descriptor[sock.fileno()] = attempt
    ready = poller.poll(deadline.remaining_ms())
    return by_descriptor[ready[0][0]] if ready else None
