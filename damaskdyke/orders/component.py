"""Orders component: finds the home of a ticket and acts as home for its own."""

import logging
import threading

from damaskdyke.conf.tree import Rule, Service
from damaskdyke.core.clock import Deadline
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, BootId, RequestId, ServiceName, WorkspaceName
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.component import Settings, Standing
from damaskdyke.distribution.view import find_rule
from damaskdyke.limits.component import Limits
from damaskdyke.membership.component import Membership
from damaskdyke.membership.table import MemberState
from damaskdyke.orders.dispatch import OrderRun
from damaskdyke.orders.handover import make_handover, read_ledger
from damaskdyke.orders.ledger import Ledger
from damaskdyke.orders.messages import (
    OrderResult,
    Outcome,
    bind_request,
    read_headers,
    read_order_reply,
    to_headers,
    to_order_reply,
)
from damaskdyke.orders.tickets import Ticket, parse_ticket
from damaskdyke.peers.client import CallStage, PeerCallError
from damaskdyke.peers.gen.peer.ttypes import (
    Forward,
    Handover,
    HandoverReply,
    OrderReply,
    OrderRequest,
)
from damaskdyke.upstreams.messages import Request
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.orders")

MAX_FORWARD_HOPS = 8
# Time in which a new forward address reaches the fleet.
FORWARD_WAIT_MS = 400
QUERY_TIMEOUT_MS = 2_000
PEER_MARGIN_MS = 250


@components.register("orders")
class Orders(Component):
    """Tickets, ledgers and the way to a ticket's home."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._membership = kernel.get(Membership)
        self._settings = kernel.get(Settings)
        self._limits = kernel.get(Limits)
        self._bounds = kernel.settings.orders
        self._own = kernel.settings.peer_address
        self.ledger = Ledger(self._own, kernel.boot, self._bounds, kernel.clock)
        self._lock = threading.Lock()
        self._ledgers: dict[BootId, Ledger] = {kernel.boot: self.ledger}
        self._accepts = True

    # Tickets.

    def issue(self) -> Ticket:
        """Return a new ticket whose home is this proxy.

        Raises
        ------
        ProxyError
            If this proxy may not act, is draining, or its ledger is full.
        """
        standing = self._settings.refresh()
        if standing is Standing.BOOTING:
            raise ProxyError(ErrorKind.NOT_READY, "no confirmed settings yet")
        if standing is Standing.ISOLATED:
            raise ProxyError(ErrorKind.ISOLATED, "neither platform nor peers answer")
        if not self._accepts:
            raise ProxyError(ErrorKind.DRAINING, "this proxy is stopping")
        return self.ledger.issue()

    # Calls from callers, through this proxy as the entry.

    def submit(self, service: Service, rule: Rule, request: Request) -> OrderResult:
        """Carry out an order under its ticket, or return what became of it.

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
            headers=to_headers(request.headers),
            body=request.body,
            time_left_ms=request.deadline.left(),
            workspace=request.workspace,
        )

        def call(client) -> OrderReply:
            message.time_left_ms = request.deadline.left()
            return client.submit_order(message)

        def act(ledger: Ledger) -> OrderResult:
            return self._run_here(ledger, ticket, service, rule, request)

        return self._follow(ticket, request.id, request.deadline, act, call)

    def withdraw(self, text: str, request_id: RequestId) -> OrderResult:
        """Make sure that an order will not run, or return why that cannot be said."""
        ticket = parse_ticket(text)
        return self._follow(
            ticket,
            request_id,
            Deadline(self._clock, QUERY_TIMEOUT_MS),
            lambda ledger: (
                self._check(ledger, ticket) or ledger.withdraw(ticket.sequence)
            ),
            lambda client: client.withdraw_order(request_id, text),
        )

    def look_up(self, text: str, request_id: RequestId) -> OrderResult:
        """Return what is known of an order."""
        ticket = parse_ticket(text)
        return self._follow(
            ticket,
            request_id,
            Deadline(self._clock, QUERY_TIMEOUT_MS),
            lambda ledger: (
                self._check(ledger, ticket) or ledger.look_up(ticket.sequence)
            ),
            lambda client: client.get_order(request_id, text),
        )

    # The way to the home.

    def _follow(
        self, ticket: Ticket, request_id: RequestId, deadline: Deadline, act, call
    ) -> OrderResult:
        """Act on the ledger of a ticket, here or at the peer that holds it."""
        address, boot = ticket.home, ticket.boot
        for _ in range(MAX_FORWARD_HOPS):
            ledger = self._find_ledger(ticket.boot)
            if ledger is not None and not self._has_moved(ledger):
                return act(ledger)
            forward = self._membership.forwards.find(boot)
            if forward is not None:
                address, boot = forward.successor, forward.successor_boot
                continue
            if address == self._own or not self._membership.is_known(address):
                return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
            result = self._ask(address, ticket, request_id, deadline, call)
            if result.outcome is not Outcome.NOT_HOME:
                return result
            if not self._wait_for_forward(boot):
                return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
        return OrderResult(Outcome.UNKNOWN, "too many forward addresses")

    def _has_moved(self, ledger: Ledger) -> bool:
        """Return whether a sealed ledger is now at a successor."""
        forward = self._membership.forwards.find(ledger.boot)
        return ledger.is_sealed and forward is not None

    def _wait_for_forward(self, boot: BootId) -> bool:
        """Give a new forward address time to arrive."""
        if self._membership.forwards.find(boot) is None:
            self._clock.sleep(FORWARD_WAIT_MS)
        return self._membership.forwards.find(boot) is not None

    def _ask(
        self,
        address: Address,
        ticket: Ticket,
        request_id: RequestId,
        deadline: Deadline,
        call,
    ) -> OrderResult:
        timeout = deadline.left() + PEER_MARGIN_MS
        try:
            reply = self._membership.pool.call_fresh(address, timeout, call)
        except PeerCallError as error:
            return self._judge_silence(address, ticket, error)
        if reply.request_id != request_id or reply.ticket != ticket.text:
            return OrderResult(Outcome.PENDING, "the home answered another request")
        try:
            return read_order_reply(reply)
        except ValueError:
            return OrderResult(Outcome.PENDING, "the home's answer is not valid")

    def _judge_silence(
        self, address: Address, ticket: Ticket, error: PeerCallError
    ) -> OrderResult:
        """Return what can be said when the home does not answer: never "not run"."""
        log_event(
            logger,
            "home-silent",
            logging.WARNING,
            home=address,
            sequence=ticket.sequence,
            stage=error.stage.value,
            error=error.detail,
        )
        record = self._membership.table.find(address)
        is_gone = record is not None and record.state is not MemberState.ALIVE
        if error.stage is CallStage.NOT_SENT and is_gone:
            return OrderResult(Outcome.UNKNOWN, "the home of the ticket is gone")
        return OrderResult(Outcome.PENDING, "the home of the ticket does not answer")

    # Acting as home.

    def _find_ledger(self, boot: BootId) -> Ledger | None:
        with self._lock:
            return self._ledgers.get(boot)

    def _check(self, ledger: Ledger, ticket: Ticket) -> OrderResult | None:
        if ticket.is_authentic(ledger.secret):
            return None
        return OrderResult(Outcome.INVALID, "the ticket was not issued by its home")

    def _run_here(
        self,
        ledger: Ledger,
        ticket: Ticket,
        service: Service,
        rule: Rule,
        request: Request,
    ) -> OrderResult:
        refused = self._check(ledger, ticket)
        if refused is not None:
            return refused
        binding = bind_request(service.name, request)
        known = ledger.claim(ticket.sequence, binding)
        if known is not None:
            if known.outcome is Outcome.IN_PROGRESS:
                return ledger.wait(ticket.sequence, request.deadline)
            return known
        return self._run_claimed(ledger, ticket, service, rule, request)

    def _run_claimed(
        self,
        ledger: Ledger,
        ticket: Ticket,
        service: Service,
        rule: Rule,
        request: Request,
    ) -> OrderResult:
        run = OrderRun(self.kernel, ledger, ticket.sequence, service, rule, request)
        gate = self._limits.find(service).gates[rule.work]
        try:
            with gate.enter(rule, request.deadline):
                result = run.run()
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
            left_ms=request.deadline.left(),
        )
        return result

    # Calls from peers.

    def answer_submit(self, message: OrderRequest) -> OrderReply:
        """Carry out an order for a peer."""
        result = self._answer(
            message.ticket,
            lambda ledger, ticket: self._submit_for_peer(ledger, ticket, message),
        )
        return to_order_reply(message.request_id, message.ticket, result)

    def answer_withdraw(self, request_id: str, text: str) -> OrderReply:
        """Withdraw an order for a peer."""
        result = self._answer(
            text,
            lambda ledger, ticket: (
                self._check(ledger, ticket) or ledger.withdraw(ticket.sequence)
            ),
        )
        return to_order_reply(request_id, text, result)

    def answer_look_up(self, request_id: str, text: str) -> OrderReply:
        """Look an order up for a peer."""
        result = self._answer(
            text,
            lambda ledger, ticket: (
                self._check(ledger, ticket) or ledger.look_up(ticket.sequence)
            ),
        )
        return to_order_reply(request_id, text, result)

    def _answer(self, text: str, act) -> OrderResult:
        try:
            ticket = parse_ticket(text)
        except ProxyError as error:
            return OrderResult(Outcome.INVALID, error.detail)
        ledger = self._find_ledger(ticket.boot)
        if ledger is None or self._has_moved(ledger):
            return OrderResult(Outcome.NOT_HOME, "this proxy is not the ticket's home")
        return act(ledger, ticket)

    def _submit_for_peer(
        self, ledger: Ledger, ticket: Ticket, message: OrderRequest
    ) -> OrderResult:
        service = self._settings.view.services.get(ServiceName(message.service_name))
        path = message.target.split("?", 1)[0]
        rule = find_rule(service, message.method, path) if service else None
        if rule is None or not rule.is_order:
            return OrderResult(Outcome.PENDING, "the home has no such rule")
        headers = read_headers(message.headers)
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
        return self._run_here(ledger, ticket, service, rule, request)

    # Planned stop.

    def stop_issuing(self) -> None:
        """Issue no more tickets and accept no ledger."""
        with self._lock:
            self._accepts = False

    def count_busy(self) -> int:
        """Return how many orders are on their way from this proxy."""
        with self._lock:
            ledgers = list(self._ledgers.values())
        return sum(ledger.count_busy() for ledger in ledgers)

    def hand_over_all(self) -> None:
        """Seal every ledger and send each once to one successor.

        A copy that may have arrived is never sent to a second successor, since both
        could let the same ticket run.
        """
        with self._lock:
            ledgers = list(self._ledgers.values())
        refused: set[Address] = set()
        for ledger in ledgers:
            if ledger.count():
                self._hand_over(ledger, refused)
            ledger.seal()

    def _hand_over(self, ledger: Ledger, refused: set[Address]) -> None:
        for record in self._list_successors():
            if record.address in refused:
                continue
            message = make_handover(ledger, record.boot, self._clock)
            try:
                reply = self._send_handover(record.address, message)
            except PeerCallError as error:
                refused.add(record.address)
                if error.stage is CallStage.NOT_SENT:
                    continue
                self._log_handover(ledger, record.address, f"lost: {error.detail}")
                return
            if reply.accepted:
                self._announce(ledger, record.address, record.boot)
                self._log_handover(ledger, record.address, "accepted")
                return
            refused.add(record.address)
            self._log_handover(ledger, record.address, f"refused: {reply.reason}")

    def _send_handover(self, address: Address, message: Handover) -> HandoverReply:
        timeout = self.kernel.settings.timing.peer_timeout_ms
        return self._membership.pool.call_fresh(
            address, timeout, lambda client: client.hand_over(message)
        )

    def _list_successors(self):
        """Return possible successors, those of the own availability zone first."""
        own = self._membership.table.own
        others = [
            record
            for record in self._membership.table.list_alive()
            if record.address != own.address and record.boot
        ]
        return sorted(others, key=lambda record: record.zone != own.zone)

    def _announce(self, ledger: Ledger, address: Address, boot: BootId) -> None:
        lifetime = self._bounds.ticket_lifetime_ms
        self._membership.announce_forward(Forward(ledger.boot, address, boot, lifetime))
        self._membership.spread_now()

    def _log_handover(self, ledger: Ledger, address: Address, result: str) -> None:
        log_event(
            logger,
            "hand-over",
            boot=ledger.boot,
            entries=ledger.count(),
            successor=address,
            result=result,
        )

    def answer_hand_over(self, message: Handover) -> HandoverReply:
        """Adopt a sealed ledger, once for each boot id and only as its addressee."""
        if message.successor_boot != self.kernel.boot:
            return HandoverReply(False, "meant for another incarnation")
        try:
            ledger = read_ledger(message, self._bounds, self._clock)
        except ValueError as error:
            return HandoverReply(False, f"not valid: {error}")
        with self._lock:
            if ledger.boot in self._ledgers:
                # A refusal of a second copy would read as if none had arrived.
                return HandoverReply(True, "accepted before")
            if not self._accepts:
                return HandoverReply(False, "this proxy is stopping")
            self._ledgers[ledger.boot] = ledger
        self._announce(ledger, self._own, self.kernel.boot)
        self._log_handover(ledger, self._own, "adopted")
        return HandoverReply(True, "")
