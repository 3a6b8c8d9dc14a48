"""Results of orders, and their conversion to and from peer messages."""

import hashlib
from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.errors import ErrorKind
from damaskdyke.peers.gen.peer import ttypes
from damaskdyke.upstreams.messages import Header, Reply, Request

# SHA-256 digest, truncated to 128 bits.
BINDING_BYTES = 16


class Outcome(Enum):
    """State of an order, as far as it is certain.

    The values are sent between proxies. ``NOT_RUN`` also promises that the order will
    not run later under its ticket. ``UNKNOWN`` says that it may have run and will not
    be run again, ``PENDING`` that it may still run, ``IN_PROGRESS`` that it is claimed
    or dispatched. ``NOT_KEPT`` says that it ran, but its reply was too large to store.
    ``NOT_HOME`` is used only between proxies.
    """

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    IN_PROGRESS = 4
    PENDING = 5
    INVALID = 6
    EXPIRED = 7
    MISMATCH = 8
    NOT_KEPT = 9
    NOT_HOME = 10

    @property
    def label(self) -> str:
        """Return the outcome as it is written in headers, JSON and the log."""
        return self.name.lower().replace("_", "-")


# Error kind that is returned to a caller for each outcome without a reply.
ERROR_KINDS = {
    Outcome.NOT_RUN: ErrorKind.ORDER_NOT_RUN,
    Outcome.UNKNOWN: ErrorKind.ORDER_UNKNOWN,
    Outcome.IN_PROGRESS: ErrorKind.ORDER_IN_PROGRESS,
    Outcome.PENDING: ErrorKind.ORDER_PENDING,
    Outcome.INVALID: ErrorKind.TICKET_INVALID,
    Outcome.EXPIRED: ErrorKind.TICKET_EXPIRED,
    Outcome.MISMATCH: ErrorKind.TICKET_MISMATCH,
    Outcome.NOT_KEPT: ErrorKind.REPLY_NOT_KEPT,
    Outcome.NOT_HOME: ErrorKind.ORDER_UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an operation on an order.

    Parameters
    ----------
    outcome : Outcome
        State of the order.
    reason : str
        Explanation of the outcome, for a person.
    reply : Reply or None
        The upstream's whole reply, for ``ANSWERED``.
    """

    outcome: Outcome
    reason: str
    reply: Reply | None = None


def compute_binding(service: str, request: Request) -> bytes:
    """Return the digest of a request, to which its ticket is bound."""
    digest = hashlib.sha256()
    for part in (service, request.method, request.target, request.workspace):
        digest.update(part.encode() + b"\x00")
    digest.update(request.body)
    return digest.digest()[:BINDING_BYTES]


def to_thrift_headers(headers: tuple[Header, ...]) -> list[ttypes.Header]:
    """Return headers as Thrift structures."""
    return [ttypes.Header(name=item.name, value=item.value) for item in headers]


def from_thrift_headers(messages: list[ttypes.Header]) -> tuple[Header, ...]:
    """Return the headers in Thrift structures."""
    return tuple(Header(item.name, item.value) for item in messages)


def make_order_reply(request_id: str, ticket: str, result: OrderResult):
    """Return a result as the reply to a peer."""
    reply = result.reply
    return ttypes.OrderReply(
        request_id=request_id,
        ticket=ticket,
        outcome=result.outcome.value,
        reason=result.reason,
        status=reply.status if reply else 0,
        headers=to_thrift_headers(reply.headers) if reply else [],
        body=reply.body if reply else b"",
    )


def read_order_reply(message: ttypes.OrderReply) -> OrderResult:
    """Return the result in a peer's reply.

    Raises
    ------
    ValueError
        If the outcome is not known.
    """
    outcome = Outcome(message.outcome)
    reply = None
    if outcome is Outcome.ANSWERED:
        headers = from_thrift_headers(message.headers)
        reply = Reply(message.status, headers, message.body, len(message.body))
    return OrderResult(outcome, message.reason, reply)
