"""Responses to callers, and their conversion to WSGI."""

import http
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damaskdyke.core.errors import ErrorKind, ProxyError, RetryAdvice
from damaskdyke.core.ids import RequestId
from damaskdyke.orders.messages import ERROR_KINDS, OrderResult, Outcome
from damaskdyke.upstreams.messages import (
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    Header,
    Reply,
)

OUTCOME_HEADER = "Order-Outcome"
CODE_HEADER = "Error-Code"
REPEAT_HEADER = "Error-Repeat"

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass
class Response:
    """One response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of Header
        Headers other than ``Content-Length``.
    body : bytes
        Body, or its first part.
    length : int or None
        Length of the whole body in bytes; that of ``body`` by default.
    rest : iterable of bytes or None
        Remaining parts of a streamed body.
    """

    status: int
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""
    length: int | None = None
    rest: Iterable[bytes] | None = None

    def send(self, start_response: StartResponse) -> Iterable[bytes]:
        """Start the response and return its body parts."""
        length = len(self.body) if self.length is None else self.length
        pairs = [(header.name, header.value) for header in self.headers]
        pairs.append(("Content-Length", str(length)))
        start_response(make_status_line(self.status), pairs)
        if self.rest is None:
            return [self.body]
        return make_streamed_body(self.body, self.rest)


class StreamedBody:
    """Parts of a streamed body; closing it ends the upstream call."""

    def __init__(self, first: bytes, rest: Iterable[bytes]):
        self._first = first
        self._rest = rest

    def __iter__(self):
        yield self._first
        yield from self._rest

    def close(self) -> None:
        """End the upstream call, also if the caller did not read the whole body."""
        self._rest.close()


def make_streamed_body(first: bytes, rest: Iterable[bytes]) -> StreamedBody:
    """Return a streamed body that begins with ``first``."""
    return StreamedBody(first, rest)


def make_status_line(status: int) -> str:
    """Return the status code with its standard reason phrase."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"


def make_reply_response(reply: Reply, request_id: RequestId) -> Response:
    """Return an upstream's reply as a response to the caller."""
    headers = list(reply.headers)
    headers.append(Header(REQUEST_ID_HEADER, request_id))
    return Response(reply.status, headers, reply.body, reply.length, reply.rest)


def make_error_response(error: ProxyError, request_id: RequestId) -> Response:
    """Return the response for an error, with its status from the table of errors."""
    answer = error.answer
    headers = [
        Header("Content-Type", "application/json"),
        Header(REQUEST_ID_HEADER, request_id),
        Header(CODE_HEADER, error.kind.value),
        Header(REPEAT_HEADER, answer.repeat.value),
    ]
    if error.retry_after_ms:
        seconds = -(-error.retry_after_ms // 1000)
        headers.append(Header("Retry-After", str(seconds)))
    body = encode_json(
        {
            "code": error.kind.value,
            "detail": error.detail,
            "repeat": answer.repeat.value,
            "request": request_id,
        }
    )
    return Response(answer.status, headers, body)


def make_order_response(
    result: OrderResult, ticket: str, request_id: RequestId
) -> Response:
    """Return the upstream's reply to an order, or an error if there is none."""
    if result.outcome is Outcome.ANSWERED:
        response = make_reply_response(result.reply, request_id)
    else:
        error = ProxyError(ERROR_KINDS[result.outcome], result.reason)
        response = make_error_response(error, request_id)
    response.headers.append(Header(OUTCOME_HEADER, result.outcome.label))
    response.headers.append(Header(TICKET_HEADER, ticket))
    return response


def make_order_state_response(
    result: OrderResult, ticket: str, request_id: RequestId
) -> Response:
    """Return the state of an order as JSON, with status 200 whatever the state."""
    kind = ERROR_KINDS.get(result.outcome)
    repeat = ProxyError(kind, "").answer.repeat if kind else RetryAdvice.SAME_TICKET
    body = encode_json(
        {
            "outcome": result.outcome.label,
            "reason": result.reason,
            "repeat": repeat.value,
            "ticket": ticket,
        }
    )
    headers = [
        Header("Content-Type", "application/json"),
        Header(REQUEST_ID_HEADER, request_id),
        Header(OUTCOME_HEADER, result.outcome.label),
    ]
    return Response(200, headers, body)


def make_ticket_response(
    ticket: str, request_id: RequestId, is_required: bool
) -> Response:
    """Return a response that carries a new ticket.

    Parameters
    ----------
    ticket : str
        The new ticket.
    request_id : RequestId
        Id of the request.
    is_required : bool
        Whether the request was an order without a ticket, which is answered with 428;
        a request for a ticket is answered with 201.
    """
    if is_required:
        detail = f"repeat the request with the header {TICKET_HEADER}: {ticket}"
        error = ProxyError(ErrorKind.TICKET_REQUIRED, detail)
        response = make_error_response(error, request_id)
        response.headers.append(Header(OUTCOME_HEADER, Outcome.NOT_RUN.label))
    else:
        headers = [Header("Content-Type", "application/json")]
        response = Response(201, headers, encode_json({"ticket": ticket}))
    response.headers.append(Header(TICKET_HEADER, ticket))
    return response


def encode_json(data: object) -> bytes:
    """Return data as a line of JSON."""
    return json.dumps(data).encode() + b"\n"
