"""WSGI application: routes requests to services, and to the endpoints below ``/-/``."""

import logging
from collections.abc import Iterable

from damaskdyke.conf.tree import Rule, Service
from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import RequestId
from damaskdyke.core.kernel import Kernel
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.distribution.view import find_rule
from damaskdyke.front.endpoints import ENDPOINT_PREFIX, call_endpoint
from damaskdyke.front.requests import (
    LENGTH_UNKNOWN,
    Environ,
    make_request,
    read_body,
    read_deadline,
    read_length,
    read_path,
    read_request_id,
    read_workspace,
)
from damaskdyke.front.responses import (
    Response,
    StartResponse,
    make_error_response,
    make_order_response,
    make_reply_response,
    make_ticket_response,
)
from damaskdyke.limits.component import Limits
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.orders.component import Orders
from damaskdyke.routing.lookups import Lookups
from damaskdyke.upstreams.messages import Request
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.front")


class Application:
    """WSGI application for callers, operators and the load balancer.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    """

    def __init__(self, kernel: Kernel):
        self._kernel = kernel
        self._settings = kernel.get(Settings)
        self._limits = kernel.get(Limits)
        self._lookups = kernel.get(Lookups)
        self._orders = kernel.get(Orders)
        self._metrics = kernel.get(Metrics)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; errors become responses with an error kind."""
        request_id = read_request_id(environ)
        try:
            response = self._handle(environ, request_id)
        except ProxyError as error:
            response = self._make_refusal(error, request_id)
        except Exception as error:
            logger.exception(
                "request-failed", extra={"fields": {"request": request_id}}
            )
            internal = ProxyError(ErrorKind.INTERNAL, type(error).__name__)
            response = self._make_refusal(internal, request_id)
        parts = response.send(start_response)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else parts

    def _make_refusal(self, error: ProxyError, request_id: RequestId) -> Response:
        """Count and log an error, and return the response that reports it."""
        self._metrics.requests.add(1, {"kind": error.kind.value})
        log_event(
            logger,
            "refused",
            request=request_id,
            code=error.kind.value,
            detail=error.detail,
        )
        return make_error_response(error, request_id)

    def _handle(self, environ: Environ, request_id: RequestId) -> Response:
        path = read_path(environ)
        if path.startswith(ENDPOINT_PREFIX):
            return call_endpoint(self._kernel, request_id, path, environ)
        return self._route(environ, request_id, path)

    def _route(self, environ: Environ, request_id: RequestId, path: str) -> Response:
        if self._settings.refresh() is SettingsStatus.BOOTING:
            raise ProxyError(ErrorKind.NOT_READY, "no confirmed settings yet")
        view = self._settings.view
        service = view.find_service(path)
        if service is None:
            raise ProxyError(ErrorKind.UNKNOWN_ROUTE, f"no route covers {path}")
        method = environ["REQUEST_METHOD"]
        rule = find_rule(service, method, path)
        if rule is None:
            detail = f"no rule of {service.name} covers {method} {path}"
            raise ProxyError(ErrorKind.NO_RULE, detail)
        workspace = view.find_workspace(read_workspace(environ))
        limit = workspace.in_flight if workspace else 0
        name = workspace.name if workspace else ""
        with self._limits.workspaces.enter(name, limit):
            return self._serve(environ, request_id, path, service, rule)

    def _serve(
        self,
        environ: Environ,
        request_id: RequestId,
        path: str,
        service: Service,
        rule: Rule,
    ) -> Response:
        """Read the request and carry it out, within the limit on buffered bodies."""
        deadline = read_deadline(environ, self._kernel.clock, rule.deadline_ms)
        length = read_length(environ, rule.max_body_bytes)
        reserved = rule.max_body_bytes if length == LENGTH_UNKNOWN else length
        with self._limits.bodies.reserve(reserved):
            body = read_body(environ, length, rule.max_body_bytes)
            request = make_request(environ, request_id, path, deadline, body)
            response = self._execute(service, rule, request)
        self._metrics.requests.add(1, {"service": service.name, "kind": "answered"})
        return response

    def _execute(self, service: Service, rule: Rule, request: Request) -> Response:
        """Run a lookup or an order; an order without a ticket is issued one."""
        if not rule.is_order:
            reply = self._lookups.run(service, rule, request)
            return make_reply_response(reply, request.id)
        if not request.ticket:
            ticket = self._orders.issue()
            return make_ticket_response(ticket.text, request.id, is_required=True)
        result = self._orders.submit(service, rule, request)
        return make_order_response(result, request.ticket, request.id)
