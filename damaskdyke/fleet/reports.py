"""Load reports: what one proxy tells the others about an upstream."""

from dataclasses import dataclass, field
from enum import Enum

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import BootId, UpstreamId, WorkspaceName
from damaskdyke.dispatch.outcomes import Outcome, SendKind
from damaskdyke.fleet.gen.fleet.ttypes import UpstreamNews

# By their number on the wire; a dictionary is faster than a call of the enumeration.
OUTCOMES = {outcome.value: outcome for outcome in Outcome}
SEND_KINDS = {kind.value: kind for kind in SendKind}
# Outcomes that every zone is told about.
BAD_OUTCOMES = frozenset({Outcome.FAILED, Outcome.STALLED, Outcome.UNREACHABLE})
# Rate limit on the wire of an upstream that states none.
NO_LIMIT = -1.0


class Urgency(Enum):
    """Maximum delay of a report in milliseconds, to batch it with others."""

    # A fault, or slots are scarce and requests at other proxies may wait for one.
    NOW = 0
    # A request began at an upstream with free slots.
    SOON = 40
    # A request succeeded at an upstream with free slots, so none waits for the slot.
    LATER = 250


# Not frozen: a large zone creates thousands a second, and creating a frozen one takes
# three times as long.
@dataclass(slots=True)
class LoadReport:
    """Load and last outcome of one proxy at one upstream.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    incarnation : int
        Incarnation of its catalogue entry.
    in_flight : int
        Requests of the reporting proxy that run there.
    outcome : Outcome
        Outcome of the last request, pending if one has just begun.
    duration_ms : int
        Duration of that request.
    sent : SendKind
        Whether a send is reported, and of which kind.
    origin : str
        Address of the proxy that the report is from, empty for the datagram's sender.
    reported_at : Millis
        Time on that proxy's clock, which orders reports that overtake each other.
    is_foreign : bool
        Whether a hub relays the report from another availability zone.
    rate_limit : float or None
        Requests per second that the upstream stated in a reply, `NO_LIMIT` if it stated
        none, ``None`` if the report is not about that.
    workspace : WorkspaceName or None
        Workspace whose request is sent, on the first send of a request that has one.
    refunded : WorkspaceName or None
        Workspace of an earlier first send of this proxy that certainly did not run.
    body_bytes : int or None
        Bytes of large bodies of the reporting proxy in flight there, ``None`` if the
        report is not about a request with a large body.
    ended_bytes : int or None
        Bytes of large bodies in flight there when the upstream crashed, ``None`` if the
        report is not about that.
    workspace_sends, upstream_sends, service_firsts, service_extras : int or None
        Totals of the reporting proxy since its start, this report's send included:
        first sends for the workspace, sends to the upstream, and first and extra sends
        to its service; ``None`` from a proxy that does not report them.
    boot : BootId
        Incarnation of the reporting proxy, 0 while unknown.
    """

    upstream: UpstreamId
    incarnation: int
    in_flight: int
    outcome: Outcome
    duration_ms: int
    sent: SendKind = SendKind.NONE
    origin: str = ""
    reported_at: Millis = Millis(0)
    is_foreign: bool = False
    rate_limit: float | None = None
    workspace: WorkspaceName | None = None
    refunded: WorkspaceName | None = None
    body_bytes: int | None = None
    ended_bytes: int | None = None
    workspace_sends: int | None = None
    upstream_sends: int | None = None
    service_firsts: int | None = None
    service_extras: int | None = None
    # The datagram has it too, so that it says nothing about the content.
    boot: BootId = field(default=BootId(0), compare=False)


def encode_report(report: LoadReport) -> UpstreamNews:
    """Return a load report as a gossip message."""
    return UpstreamNews(
        report.upstream,
        report.incarnation,
        report.in_flight,
        report.outcome.value,
        report.duration_ms,
        report.sent.value,
        report.origin,
        report.reported_at,
        report.is_foreign,
        report.rate_limit,
        report.workspace,
        report.refunded,
        report.body_bytes,
        report.ended_bytes,
        report.boot or None,
        report.workspace_sends,
        report.upstream_sends,
        report.service_firsts,
        report.service_extras,
    )


def decode_report(message: UpstreamNews) -> LoadReport:
    """Return the load report in a gossip message.

    Raises
    ------
    KeyError
        If the outcome or the kind of send is unknown.
    """
    return LoadReport(
        UpstreamId(message.upstream),
        message.born,
        message.in_flight,
        OUTCOMES[message.outcome],
        message.duration_ms,
        SEND_KINDS[message.sent or 0],
        message.origin or "",
        Millis(message.told_at or 0),
        bool(message.is_foreign),
        message.rate_limit,
        message.workspace,
        message.refunded,
        message.body_bytes,
        message.ended_bytes,
        message.workspace_sends,
        message.upstream_sends,
        message.service_firsts,
        message.service_extras,
        BootId(message.boot or 0),
    )


def is_for_every_zone(report: LoadReport) -> bool:
    """Return whether other zones are told too: of a fault, a rate limit or a crash."""
    return (
        report.outcome in BAD_OUTCOMES
        or report.rate_limit is not None
        or report.ended_bytes is not None
    )
