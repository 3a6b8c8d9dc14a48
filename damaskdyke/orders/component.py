"""Orders component: submits, withdraws and looks up non-idempotent requests.

An order is carried out only at the home of its ticket: the proxy that issued the
ticket, or the successor that adopted its ledger. This proxy acts as home for the
ledgers that it holds and forwards other orders to the peer that holds theirs.
"""

import logging

from damaskdyke.conf.tree import Rule, Service
from damaskdyke.core.clock import Deadline
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import RequestId, ServiceName, WorkspaceName
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.distribution.view import find_rule
from damaskdyke.limits.component import Limits
from damaskdyke.orders.dispatch import OrderDispatch
from damaskdyke.orders.held_ledgers import HeldLedgers
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.locator import HomeLocator
from damaskdyke.orders.messages import (
    OrderResult,
    Outcome,
    compute_binding,
    from_thrift_headers,
    make_order_reply,
    to_thrift_headers,
)
from damaskdyke.orders.tickets import Ticket, parse_ticket
from damaskdyke.peers.gen.peer.ttypes import (
    OrderReply,
    OrderRequest,
)
from damaskdyke.upstreams.messages import Request
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.orders")

# Limit for withdrawals and look-ups, which have no deadline of a caller.
STATE_CALL_TIMEOUT_MS = 2_000


@components.register("orders")
class Orders(Component):
    """Issues tickets and carries out operations on orders, here or at their home."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._settings = kernel.get(Settings)
        self._limits = kernel.get(Limits)
        settings = kernel.settings
        self.ledger = Ledger(
            settings.peer_address, kernel.boot, settings.orders, kernel.clock
        )
        self.held_ledgers = HeldLedgers(kernel, self.ledger)
        self._locator = HomeLocator(kernel, self.held_ledgers)

    # Tickets.

    def issue(self) -> Ticket:
        """Return a new ticket whose home is this proxy.

        Raises
        ------
        ProxyError
            ``not-ready`` or ``isolated`` if the settings are not confirmed,
            ``draining`` if this proxy is stopping, ``ledger-full`` if no entry is
            free.
        """
        status = self._settings.refresh()
        if status is SettingsStatus.BOOTING:
            raise ProxyError(ErrorKind.NOT_READY, "no confirmed settings yet")
        if status is SettingsStatus.ISOLATED:
            raise ProxyError(
                ErrorKind.ISOLATED, "neither the platform nor any peer answers"
            )
        if not self.held_ledgers.is_accepting:
            raise ProxyError(ErrorKind.DRAINING, "this proxy is stopping")
        return self.ledger.issue()

    # Requests of callers. The ledger of the ticket may be here or at a peer.

    def submit(self, service: Service, rule: Rule, request: Request) -> OrderResult:
        """Submit an order at the home of its ticket and return the result.

        A repeated submission does not run the order again: it returns the recorded
        state of the order.

        Raises
        ------
        ProxyError
            ``ticket-invalid`` if the text is not a ticket.
        """
        ticket = parse_ticket(request.ticket)
        message = OrderRequest(
            request_id=request.id,
            ticket=request.ticket,
            service_name=service.name,
            method=request.method,
            target=request.target,
            headers=to_thrift_headers(request.headers),
            body=request.body,
            time_left_ms=request.deadline.remaining_ms(),
            workspace=request.workspace,
        )

        def submit_to_home(client) -> OrderReply:
            message.time_left_ms = request.deadline.remaining_ms()
            return client.submit_order(message)

        def submit_here(ledger: Ledger) -> OrderResult:
            return self._submit_to_ledger(ledger, ticket, service, rule, request)

        return self._locator.run_at_home(
            ticket, request.id, request.deadline, submit_here, submit_to_home
        )

    def withdraw(self, text: str, request_id: RequestId) -> OrderResult:
        """Withdraw an order that was not dispatched yet, and return its state.

        The withdrawal succeeded if the outcome is ``NOT_RUN``.

        Raises
        ------
        ProxyError
            ``ticket-invalid`` if the text is not a ticket.
        """
        ticket = parse_ticket(text)
        return self._locator.run_at_home(
            ticket,
            request_id,
            Deadline(self._clock, STATE_CALL_TIMEOUT_MS),
            lambda ledger: withdraw_ticket(ledger, ticket),
            lambda client: client.withdraw_order(request_id, text),
        )

    def look_up(self, text: str, request_id: RequestId) -> OrderResult:
        """Return the recorded state of an order.

        Raises
        ------
        ProxyError
            ``ticket-invalid`` if the text is not a ticket.
        """
        ticket = parse_ticket(text)
        return self._locator.run_at_home(
            ticket,
            request_id,
            Deadline(self._clock, STATE_CALL_TIMEOUT_MS),
            lambda ledger: look_up_ticket(ledger, ticket),
            lambda client: client.get_order(request_id, text),
        )

    # Operations on a ledger that this proxy holds.

    def _submit_to_ledger(
        self,
        ledger: Ledger,
        ticket: Ticket,
        service: Service,
        rule: Rule,
        request: Request,
    ) -> OrderResult:
        refused = check_ticket(ledger, ticket)
        if refused is not None:
            return refused
        binding = compute_binding(service.name, request)
        known = ledger.claim(ticket.sequence, binding)
        if known is not None:
            if known.outcome is Outcome.IN_PROGRESS:
                return ledger.wait_until_resolved(ticket.sequence, request.deadline)
            return known
        return self._dispatch_claimed(ledger, ticket, service, rule, request)

    def _dispatch_claimed(
        self,
        ledger: Ledger,
        ticket: Ticket,
        service: Service,
        rule: Rule,
        request: Request,
    ) -> OrderResult:
        dispatch = OrderDispatch(
            self.kernel, ledger, ticket.sequence, service, rule, request
        )
        gate = self._limits.get_service_limits(service).gates[rule.work]
        try:
            with gate.enter(rule, request.deadline):
                result = dispatch.run()
        except ProxyError as error:
            result = ledger.abort(ticket.sequence, error.detail)
        except Exception as error:
            ledger.abort(ticket.sequence, repr(error))
            raise
        log_event(
            logger,
            "order",
            request=request.id,
            service=service.name,
            rule=rule.id,
            sequence=ticket.sequence,
            outcome=result.outcome.label,
            reason=result.reason,
            left_ms=request.deadline.remaining_ms(),
        )
        return result

    # Calls from peers.

    def answer_submit(self, message: OrderRequest) -> OrderReply:
        """Submit an order for a peer that does not hold its ledger."""
        result = self._run_for_peer(
            message.ticket,
            lambda ledger, ticket: self._submit_for_peer(ledger, ticket, message),
        )
        return make_order_reply(message.request_id, message.ticket, result)

    def answer_withdraw(self, request_id: str, text: str) -> OrderReply:
        """Withdraw an order for a peer."""
        result = self._run_for_peer(text, withdraw_ticket)
        return make_order_reply(request_id, text, result)

    def answer_look_up(self, request_id: str, text: str) -> OrderReply:
        """Look an order up for a peer."""
        result = self._run_for_peer(text, look_up_ticket)
        return make_order_reply(request_id, text, result)

    def _run_for_peer(self, text: str, operation) -> OrderResult:
        try:
            ticket = parse_ticket(text)
        except ProxyError as error:
            return OrderResult(Outcome.INVALID, error.detail)
        ledger = self.held_ledgers.find_ledger(ticket.boot)
        if ledger is None:
            return OrderResult(Outcome.NOT_HOME, "this proxy is not the ticket's home")
        return operation(ledger, ticket)

    def _submit_for_peer(
        self, ledger: Ledger, ticket: Ticket, message: OrderRequest
    ) -> OrderResult:
        service = self._settings.view.services.get(ServiceName(message.service_name))
        path = message.target.split("?", 1)[0]
        rule = find_rule(service, message.method, path) if service else None
        if rule is None or not rule.is_order:
            return OrderResult(
                Outcome.PENDING, "the home has no non-idempotent rule for the request"
            )
        headers = from_thrift_headers(message.headers)
        request = Request(
            id=RequestId(message.request_id),
            method=message.method,
            path=path,
            target=message.target,
            headers=headers,
            body=message.body,
            deadline=Deadline(
                self._clock, min(rule.deadline_ms, max(0, message.time_left_ms))
            ),
            workspace=WorkspaceName(message.workspace),
            ticket=message.ticket,
        )
        return self._submit_to_ledger(ledger, ticket, service, rule, request)


def withdraw_ticket(ledger: Ledger, ticket: Ticket) -> OrderResult:
    """Withdraw an order; ``INVALID`` if the ledger did not issue the ticket."""
    return check_ticket(ledger, ticket) or ledger.withdraw(ticket.sequence)


def look_up_ticket(ledger: Ledger, ticket: Ticket) -> OrderResult:
    """Return an order's state; ``INVALID`` if the ledger did not issue the ticket."""
    return check_ticket(ledger, ticket) or ledger.look_up(ticket.sequence)


def check_ticket(ledger: Ledger, ticket: Ticket) -> OrderResult | None:
    """Return ``INVALID`` if the ledger did not issue the ticket, else ``None``."""
    if ticket.is_authentic(ledger.secret):
        return None
    return OrderResult(Outcome.INVALID, "the ticket was not issued by its home")
