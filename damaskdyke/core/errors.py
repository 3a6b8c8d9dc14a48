"""Complete list of error kinds, and the HTTP response to each."""

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """Whether and how a caller may repeat a request after an error.

    ``SAFE``: repeat it as it is. ``SAME_TICKET``: repeat it under the same ticket.
    ``NEW_TICKET``: repeat it under a new ticket. ``NO``: do not repeat it.
    """

    SAFE = "safe"
    SAME_TICKET = "same-ticket"
    NEW_TICKET = "new-ticket"
    NO = "no"


class ErrorKind(Enum):
    """Kind of an error that is reported to a caller, an operator or a peer."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_ROUTE = "unknown-route"
    NO_RULE = "no-rule"
    WORKSPACE_LIMIT = "workspace-limit"
    OVERLOADED = "overloaded"
    DEADLINE_EXPIRED = "deadline-expired"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_MISMATCH = "ticket-mismatch"
    LEDGER_FULL = "ledger-full"
    ORDER_NOT_RUN = "order-not-run"
    ORDER_UNKNOWN = "order-unknown"
    ORDER_IN_PROGRESS = "order-in-progress"
    ORDER_PENDING = "order-pending"
    REPLY_NOT_KEPT = "reply-not-kept"
    NOT_READY = "not-ready"
    ISOLATED = "isolated"
    DRAINING = "draining"
    SETTINGS_INVALID = "settings-invalid"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    PEER_UNAVAILABLE = "peer-unavailable"
    PEER_PROTOCOL = "peer-protocol"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Answer:
    """HTTP response to one error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    repeat : Repeat
        Whether and how the caller may repeat the request.
    meaning : str
        Description of the error in one sentence, for the reference page.
    """

    status: int
    repeat: Repeat
    meaning: str


ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(
        400, Repeat.NO, "The request is malformed; nothing was run."
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, Repeat.NO, "The body is over the limit of the rule; nothing was run."
    ),
    ErrorKind.UNKNOWN_ROUTE: Answer(
        404, Repeat.NO, "No route leads to a service; nothing was run."
    ),
    ErrorKind.NO_RULE: Answer(
        405, Repeat.NO, "No rule of the service covers the request; nothing was run."
    ),
    ErrorKind.WORKSPACE_LIMIT: Answer(
        429, Repeat.SAFE, "The workspace has too many requests in flight."
    ),
    ErrorKind.OVERLOADED: Answer(
        503, Repeat.SAFE, "The queue of the service is full; nothing was run."
    ),
    ErrorKind.DEADLINE_EXPIRED: Answer(
        504, Repeat.SAFE, "The deadline passed before a whole reply was there."
    ),
    ErrorKind.NO_UPSTREAM: Answer(
        503, Repeat.SAFE, "The service has no upstream that accepts work."
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(
        502, Repeat.SAFE, "Every attempt at an idempotent request failed."
    ),
    ErrorKind.UPSTREAM_REFUSED: Answer(
        503, Repeat.SAFE, "The upstream refused the request before running it."
    ),
    ErrorKind.TICKET_REQUIRED: Answer(
        428, Repeat.SAME_TICKET, "Nothing was run; repeat with the ticket given."
    ),
    ErrorKind.TICKET_INVALID: Answer(
        400,
        Repeat.NEW_TICKET,
        "The ticket was not issued by its home; it runs nothing.",
    ),
    ErrorKind.TICKET_EXPIRED: Answer(
        410, Repeat.NO, "The ticket expired; whether its order ran is unknown."
    ),
    ErrorKind.TICKET_MISMATCH: Answer(
        422, Repeat.NO, "The ticket belongs to another request; this one did not run."
    ),
    ErrorKind.LEDGER_FULL: Answer(
        503, Repeat.SAFE, "The home can issue no more tickets now; nothing was run."
    ),
    ErrorKind.ORDER_NOT_RUN: Answer(
        409, Repeat.NEW_TICKET, "The order was not run and never will be."
    ),
    ErrorKind.ORDER_UNKNOWN: Answer(
        502, Repeat.NO, "Whether the order ran is unknown; it will not be run again."
    ),
    ErrorKind.ORDER_IN_PROGRESS: Answer(
        409, Repeat.SAME_TICKET, "The order was sent and has not been answered yet."
    ),
    ErrorKind.ORDER_PENDING: Answer(
        503, Repeat.SAME_TICKET, "The order may still run under its ticket."
    ),
    ErrorKind.REPLY_NOT_KEPT: Answer(
        410, Repeat.NO, "The order ran; its reply was too large to keep."
    ),
    ErrorKind.NOT_READY: Answer(
        503, Repeat.SAFE, "The proxy has no confirmed settings yet; nothing was run."
    ),
    ErrorKind.ISOLATED: Answer(
        503, Repeat.SAFE, "The proxy hears neither platform nor peers; nothing was run."
    ),
    ErrorKind.DRAINING: Answer(
        503, Repeat.SAFE, "The proxy is stopping; nothing was run."
    ),
    ErrorKind.SETTINGS_INVALID: Answer(
        500, Repeat.NO, "A settings branch or file has errors."
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(
        503, Repeat.SAFE, "The platform's configuration service does not answer."
    ),
    ErrorKind.PEER_UNAVAILABLE: Answer(
        503, Repeat.SAFE, "A peer proxy does not answer."
    ),
    ErrorKind.PEER_PROTOCOL: Answer(
        502, Repeat.SAFE, "A peer proxy sent a message that is not valid."
    ),
    ErrorKind.INTERNAL: Answer(500, Repeat.NO, "The proxy failed; see its log."),
}


class ProxyError(Exception):
    """Error whose kind determines the HTTP response.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    detail : str
        Cause of this error, for people to read.
    retry_after_ms : int, optional
        Milliseconds after which a retry is useful, for requests rejected under load;
        zero if not known.
    """

    def __init__(self, kind: ErrorKind, detail: str, retry_after_ms: int = 0):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    @property
    def answer(self) -> Answer:
        """Return the HTTP response to this kind of error."""
        return ANSWERS[self.kind]
