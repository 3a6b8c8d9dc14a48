"""Endpoints below ``/-/``: health, status, metrics, tickets and orders."""

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import RequestId
from damaskdyke.core.kernel import Kernel
from damaskdyke.core.registry import Registry
from damaskdyke.front.lifecycle import Lifecycle, Phase
from damaskdyke.front.reports import Reporter
from damaskdyke.front.requests import Environ
from damaskdyke.front.responses import (
    Response,
    make_json,
    make_state_response,
    make_ticket_response,
)
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.orders.component import Orders
from damaskdyke.upstreams.messages import Header

PREFIX = "/-/"
JSON_HEADER = Header("Content-Type", "application/json")
TEXT_HEADER = Header("Content-Type", "text/plain; version=0.0.4")


@dataclass(frozen=True)
class Query:
    """One request to an endpoint.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    request_id : RequestId
        Id of the request.
    method : str
        HTTP method.
    tail : str
        Path after the endpoint's name.
    environ : dict
        WSGI environment.
    """

    kernel: Kernel
    request_id: RequestId
    method: str
    tail: str
    environ: Environ


Endpoint = Callable[[Query], Response]
endpoints: Registry[Endpoint] = Registry("endpoint")


def answer_query(kernel: Kernel, request_id: RequestId, path: str, environ) -> Response:
    """Return the answer of the endpoint that a path names.

    Raises
    ------
    ProxyError
        ``unknown-route`` if there is no such endpoint.
    """
    name, _, tail = path[len(PREFIX) :].partition("/")
    try:
        endpoint = endpoints.get(name)
    except KeyError as error:
        raise ProxyError(ErrorKind.UNKNOWN_ROUTE, str(error)) from None
    method = environ["REQUEST_METHOD"]
    return endpoint(Query(kernel, request_id, method, tail, environ))


def require_method(query: Query, *methods: str) -> None:
    """Refuse a method that the endpoint does not have."""
    if query.method not in methods:
        detail = f"the endpoint takes {', '.join(methods)}"
        raise ProxyError(ErrorKind.NO_RULE, detail)


@endpoints.register("health")
def show_health(query: Query) -> Response:
    """Tell the platform's balancer whether to send requests here."""
    phase = query.kernel.get(Lifecycle).find_phase()
    status = 200 if phase is Phase.READY else 503
    return Response(status, [JSON_HEADER], make_json({"phase": phase.value}))


@endpoints.register("status")
def show_status(query: Query) -> Response:
    """Show the state of the proxy."""
    report = Reporter(query.kernel).describe_proxy()
    return Response(200, [JSON_HEADER], make_json(report))


@endpoints.register("explain")
def show_explanation(query: Query) -> Response:
    """Show how a request would be routed."""
    values = parse_qs(query.environ.get("QUERY_STRING", ""))
    path = values.get("path", [""])[0]
    method = values.get("method", ["GET"])[0]
    if not path.startswith("/"):
        raise ProxyError(ErrorKind.BAD_REQUEST, "the parameter path is missing")
    report = Reporter(query.kernel).explain(method, path)
    return Response(200, [JSON_HEADER], make_json(report))


@endpoints.register("metrics")
def show_metrics(query: Query) -> Response:
    """Show every metric in the Prometheus text format."""
    body = query.kernel.get(Metrics).export()
    return Response(200, [TEXT_HEADER], body)


@endpoints.register("tickets")
def issue_ticket(query: Query) -> Response:
    """Issue a ticket ahead of its order."""
    require_method(query, "POST")
    ticket = query.kernel.get(Orders).issue()
    return make_ticket_response(ticket.text, query.request_id, is_required=False)


@endpoints.register("orders")
def handle_order(query: Query) -> Response:
    """Show the state of an order, or withdraw it."""
    require_method(query, "GET", "DELETE")
    orders = query.kernel.get(Orders)
    act = orders.withdraw if query.method == "DELETE" else orders.look_up
    result = act(query.tail, query.request_id)
    return make_state_response(result, query.tail, query.request_id)
