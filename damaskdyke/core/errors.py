"""Complete list of error kinds, and the HTTP response to each."""

from dataclasses import dataclass
from enum import Enum


class RetryAdvice(Enum):
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
class ErrorAnswer:
    """HTTP response to one error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    repeat : RetryAdvice
        Whether and how the caller may repeat the request.
    meaning : str
        Description of the error in one sentence, for the reference page.
    """

    status: int
    repeat: RetryAdvice
    meaning: str


ERROR_ANSWERS = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, RetryAdvice.NO, "The request is malformed; nothing was run."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        413, RetryAdvice.NO, "The body is over the limit of the rule; nothing was run."
    ),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(
        404, RetryAdvice.NO, "No route matches the path; nothing was run."
    ),
    ErrorKind.NO_RULE: ErrorAnswer(
        405,
        RetryAdvice.NO,
        "No rule of the service covers the request; nothing was run.",
    ),
    ErrorKind.WORKSPACE_LIMIT: ErrorAnswer(
        429, RetryAdvice.SAFE, "The workspace has too many requests in flight."
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        503, RetryAdvice.SAFE, "The queue of the service is full; nothing was run."
    ),
    ErrorKind.DEADLINE_EXPIRED: ErrorAnswer(
        504, RetryAdvice.SAFE, "The deadline passed before a complete reply arrived."
    ),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(
        503, RetryAdvice.SAFE, "The service has no upstream that accepts work."
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
        502, RetryAdvice.SAFE, "Every attempt at an idempotent request failed."
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorAnswer(
        503, RetryAdvice.SAFE, "The upstream refused the request before running it."
    ),
    ErrorKind.TICKET_REQUIRED: ErrorAnswer(
        428, RetryAdvice.SAME_TICKET, "Nothing was run; repeat with the ticket given."
    ),
    ErrorKind.TICKET_INVALID: ErrorAnswer(
        400,
        RetryAdvice.NEW_TICKET,
        "The ticket was not issued by its home; it runs nothing.",
    ),
    ErrorKind.TICKET_EXPIRED: ErrorAnswer(
        410, RetryAdvice.NO, "The ticket expired; whether its order ran is unknown."
    ),
    ErrorKind.TICKET_MISMATCH: ErrorAnswer(
        422,
        RetryAdvice.NO,
        "The ticket belongs to another request; this one did not run.",
    ),
    ErrorKind.LEDGER_FULL: ErrorAnswer(
        503,
        RetryAdvice.SAFE,
        "The home can issue no more tickets now; nothing was run.",
    ),
    ErrorKind.ORDER_NOT_RUN: ErrorAnswer(
        409, RetryAdvice.NEW_TICKET, "The order was not run and never will be."
    ),
    ErrorKind.ORDER_UNKNOWN: ErrorAnswer(
        502,
        RetryAdvice.NO,
        "Whether the order ran is unknown; it will not be run again.",
    ),
    ErrorKind.ORDER_IN_PROGRESS: ErrorAnswer(
        409,
        RetryAdvice.SAME_TICKET,
        "The order was sent and has not been answered yet.",
    ),
    ErrorKind.ORDER_PENDING: ErrorAnswer(
        503, RetryAdvice.SAME_TICKET, "The order may still run under its ticket."
    ),
    ErrorKind.REPLY_NOT_KEPT: ErrorAnswer(
        410, RetryAdvice.NO, "The order ran; its reply was too large to keep."
    ),
    ErrorKind.NOT_READY: ErrorAnswer(
        503,
        RetryAdvice.SAFE,
        "The proxy has no confirmed settings yet; nothing was run.",
    ),
    ErrorKind.ISOLATED: ErrorAnswer(
        503,
        RetryAdvice.SAFE,
        "The proxy can reach neither the platform nor its peers; nothing was run.",
    ),
    ErrorKind.DRAINING: ErrorAnswer(
        503, RetryAdvice.SAFE, "The proxy is stopping; nothing was run."
    ),
    ErrorKind.SETTINGS_INVALID: ErrorAnswer(
        500, RetryAdvice.NO, "A settings branch or file has errors."
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(
        503, RetryAdvice.SAFE, "The platform's configuration service does not answer."
    ),
    ErrorKind.PEER_UNAVAILABLE: ErrorAnswer(
        503, RetryAdvice.SAFE, "A peer proxy does not answer."
    ),
    ErrorKind.PEER_PROTOCOL: ErrorAnswer(
        502, RetryAdvice.SAFE, "A peer proxy sent an invalid message."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, RetryAdvice.NO, "The proxy failed; see its log."
    ),
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
    def answer(self) -> ErrorAnswer:
        """Return the HTTP response to this kind of error."""
        return ERROR_ANSWERS[self.kind]
