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
    encode_json,
    make_order_state_response,
    make_ticket_response,
)
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.orders.component import Orders
from damaskdyke.upstreams.messages import Header

ENDPOINT_PREFIX = "/-/"
JSON_HEADER = Header("Content-Type", "application/json")
TEXT_HEADER = Header("Content-Type", "text/plain; version=0.0.4")


@dataclass(frozen=True)
class EndpointRequest:
    """Request to one of the endpoints.

    Parameters
    ----------
    kernel : Kernel
        Owner of the components.
    request_id : RequestId
        Id of the request.
    method : str
        HTTP method.
    subpath : str
        Path after the endpoint's name.
    environ : dict
        WSGI environment.
    """

    kernel: Kernel
    request_id: RequestId
    method: str
    subpath: str
    environ: Environ


Endpoint = Callable[[EndpointRequest], Response]
endpoints: Registry[Endpoint] = Registry("endpoint")


def call_endpoint(
    kernel: Kernel, request_id: RequestId, path: str, environ
) -> Response:
    """Call the endpoint that a path names, and return its response.

    Raises
    ------
    ProxyError
        ``unknown-route`` if there is no such endpoint.
    """
    name, _, subpath = path[len(ENDPOINT_PREFIX) :].partition("/")
    try:
        endpoint = endpoints.get(name)
    except KeyError as error:
        raise ProxyError(ErrorKind.UNKNOWN_ROUTE, str(error)) from None
    method = environ["REQUEST_METHOD"]
    return endpoint(EndpointRequest(kernel, request_id, method, subpath, environ))


def require_method(request: EndpointRequest, *methods: str) -> None:
    """Check that the endpoint supports the method of a request.

    Raises
    ------
    ProxyError
        ``no-rule`` if it does not.
    """
    if request.method not in methods:
        detail = f"the endpoint supports only {', '.join(methods)}"
        raise ProxyError(ErrorKind.NO_RULE, detail)


@endpoints.register("health")
def show_health(request: EndpointRequest) -> Response:
    """Return 200 if the load balancer may send requests here, else 503."""
    phase = request.kernel.get(Lifecycle).get_phase()
    status = 200 if phase is Phase.READY else 503
    return Response(status, [JSON_HEADER], encode_json({"phase": phase.value}))


@endpoints.register("status")
def show_status(request: EndpointRequest) -> Response:
    """Return the state of the proxy as JSON."""
    report = Reporter(request.kernel).describe_proxy()
    return Response(200, [JSON_HEADER], encode_json(report))


@endpoints.register("explain")
def show_explanation(request: EndpointRequest) -> Response:
    """Return how a request with a given method and path would be routed, as JSON."""
    values = parse_qs(request.environ.get("QUERY_STRING", ""))
    path = values.get("path", [""])[0]
    method = values.get("method", ["GET"])[0]
    if not path.startswith("/"):
        raise ProxyError(
            ErrorKind.BAD_REQUEST,
            "the query parameter path is missing or does not start with /",
        )
    report = Reporter(request.kernel).explain(method, path)
    return Response(200, [JSON_HEADER], encode_json(report))


@endpoints.register("metrics")
def show_metrics(request: EndpointRequest) -> Response:
    """Return every metric in the Prometheus text format."""
    body = request.kernel.get(Metrics).export()
    return Response(200, [TEXT_HEADER], body)


@endpoints.register("tickets")
def issue_ticket(request: EndpointRequest) -> Response:
    """Issue a ticket ahead of its order."""
    require_method(request, "POST")
    ticket = request.kernel.get(Orders).issue()
    return make_ticket_response(ticket.text, request.request_id, is_required=False)


@endpoints.register("orders")
def handle_order(request: EndpointRequest) -> Response:
    """Withdraw an order on DELETE; return its state as JSON in any case."""
    require_method(request, "GET", "DELETE")
    orders = request.kernel.get(Orders)
    operation = orders.withdraw if request.method == "DELETE" else orders.look_up
    result = operation(request.subpath, request.request_id)
    return make_order_state_response(result, request.subpath, request.request_id)
