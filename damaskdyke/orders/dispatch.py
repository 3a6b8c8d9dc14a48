"""Dispatch of an order by its home; the ledger permits and records each step."""

import logging

from damaskdyke.conf.tree import Rule, Service
from damaskdyke.core.kernel import Kernel
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.health.component import Health
from damaskdyke.health.states import OutcomeKind, RequestOutcome, UpstreamHealth
from damaskdyke.orders.entries import EntryState
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import OrderResult
from damaskdyke.placement.component import LongWorkSlots
from damaskdyke.routing.balancing import Balancer
from damaskdyke.upstreams.calls import UpstreamCall
from damaskdyke.upstreams.component import Upstreams
from damaskdyke.upstreams.messages import Reply, Request, UpstreamError
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.orders")


class OrderDispatch:
    """Attempts to have one claimed order carried out by an upstream.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    ledger : Ledger
        Ledger in which the calling thread holds the claim.
    sequence : int
        Number of the ticket.
    service, rule : Service, Rule
        Service and rule that cover the order.
    request : Request
        The order.
    """

    def __init__(
        self,
        kernel: Kernel,
        ledger: Ledger,
        sequence: int,
        service: Service,
        rule: Rule,
        request: Request,
    ):
        self._clock = kernel.clock
        self._settings = kernel.get(Settings)
        self._health = kernel.get(Health)
        self._upstreams = kernel.get(Upstreams)
        self._balancer = kernel.get(Balancer)
        self._long_work_slots = kernel.get(LongWorkSlots)
        self._ledger = ledger
        self._sequence = sequence
        self._service = service
        self._rule = rule
        self._request = request

    def run(self) -> OrderResult:
        """Try upstreams until one accepts the order, and return the result.

        The next upstream is tried only if it is certain that the order did not run.
        """
        tried: set[str] = set()
        reason = "no upstream accepts work"
        for attempt in range(1, self._rule.attempts + 1):
            candidate = self._balancer.choose(self._service, tried)
            if candidate is None:
                break
            tried.add(candidate.upstream.id)
            with self._long_work_slots.hold_slot(
                self._service, self._rule, candidate, self._request
            ):
                result, reason = self._attempt(candidate, attempt)
            if result is not None:
                return result
        return self._ledger.resolve(self._sequence, EntryState.NOT_RUN, reason)

    def _attempt(
        self, candidate: UpstreamHealth, attempt: int
    ) -> tuple[OrderResult | None, str]:
        """Try one upstream.

        Returns
        -------
        tuple
            The result; or ``None`` and the reason, if the order did not run.
        """
        pool = self._upstreams.get_pool(self._service, candidate.upstream)
        with (
            self._balancer.track_in_flight(candidate),
            UpstreamCall(pool, self._request, needs_new_connection=True) as call,
        ):
            try:
                call.open()
            except UpstreamError as error:
                self._record_attempt(
                    candidate, OutcomeKind.BAD, attempt, f"unsent: {error}"
                )
                return None, f"not sent: {error.detail}"
            if not self._mark_dispatched():
                return None, (
                    "the settings are not confirmed, the claim has ended, the ledger "
                    "is sealed, or the deadline or the ticket has expired"
                )
            return self._send(call, candidate, attempt)

    def _mark_dispatched(self) -> bool:
        """Record that the order is about to be sent; return whether it may be."""
        if self._settings.refresh() is not SettingsStatus.CONFIRMED:
            return False
        return self._ledger.mark_dispatched(self._sequence, self._request.deadline)

    def _send(
        self, call: UpstreamCall, candidate: UpstreamHealth, attempt: int
    ) -> tuple[OrderResult | None, str]:
        """Send the order and wait for the reply.

        Returns
        -------
        tuple
            The result; or ``None`` and the reason, if the upstream refused the order
            before running it.
        """
        started = self._clock.now()
        try:
            call.send()
            reply = read_whole_reply(call)
        except UpstreamError as error:
            self._record_attempt(
                candidate, OutcomeKind.BAD, attempt, f"unknown: {error}"
            )
            state = EntryState.UNKNOWN
            return self._ledger.resolve(self._sequence, state, str(error)), ""
        if reply.status in self._service.refusal_statuses:
            self._record_attempt(
                candidate, OutcomeKind.NEUTRAL, attempt, f"refused: {reply.status}"
            )
            reason = f"the upstream refused the order with status {reply.status}"
            if self._ledger.revert_dispatch(self._sequence):
                return None, reason
            state = EntryState.NOT_RUN
            return self._ledger.resolve(self._sequence, state, reason), ""
        duration_ms = self._clock.now() - started
        is_bad = reply.status >= 500
        kind = OutcomeKind.BAD if is_bad else OutcomeKind.GOOD
        self._record_attempt(
            candidate, kind, attempt, f"answered: {reply.status}", duration_ms
        )
        return self._ledger.record_reply(self._sequence, reply), ""

    def _record_attempt(
        self,
        candidate: UpstreamHealth,
        kind: OutcomeKind,
        attempt: int,
        result: str,
        duration_ms: int = 0,
    ) -> None:
        """Record an attempt for health and in the log."""
        self._health.record(candidate, RequestOutcome(kind, duration_ms))
        log_event(
            logger,
            "order-attempt",
            request=self._request.id,
            service=self._service.name,
            upstream=candidate.upstream.id,
            sequence=self._sequence,
            attempt=attempt,
            result=result,
            left_ms=self._request.deadline.remaining_ms(),
        )


def read_whole_reply(call: UpstreamCall) -> Reply:
    """Return the reply with its whole body in memory.

    Raises
    ------
    UpstreamError
        If the reply is late, truncated or malformed.
    """
    reply = call.read()
    if reply.rest is None:
        return reply
    parts = [reply.body, *reply.rest]
    body = b"".join(parts)
    return Reply(reply.status, reply.headers, body, len(body))
