"""Candidate upstreams for one request."""

from dataclasses import dataclass
from enum import Enum

from damaskdyke.catalogue.types import Instance


class ChoiceReason(Enum):
    """Why an upstream was selected."""

    CHEAPEST = "cheapest"
    # A probe lookup to a suspect.
    PROBE = "scout"
    # The cheapest one, although its slots are full and the request queues there.
    OVER_SLOTS = "over-slots"
    # An order to an upstream that the zone has not used lately.
    UNUSED = "unused"


# Not frozen: every candidate of a choice is created, and a frozen one takes twice as
# long.
@dataclass(slots=True)
class Choice:
    """Candidate upstream with the values that its selection depends on.

    Parameters
    ----------
    instance : Instance
        The upstream.
    reason : ChoiceReason
        Why it is a candidate.
    cost_ms : float
        Expected cost.
    in_flight : int
        Requests in flight to it from the zone, without this one.
    fault_probability : float
        Probability that it is faulty, 0 to 1.
    duration_ms : float
        Part of the cost for the duration of a request at its idle slot.
    risk_ms : float
        Part of the cost for a failure.
    is_due : bool
        Whether it had no send for so long that it is to be tried.
    has_share : bool
        Whether a slot of it that is this proxy's share is not used by this proxy.
    load : float
        Requests expected there, as ``in_flight`` is old.
    """

    instance: Instance
    reason: ChoiceReason
    cost_ms: float
    in_flight: int
    fault_probability: float
    duration_ms: float = 0.0
    risk_ms: float = 0.0
    is_due: bool = False
    has_share: bool = False
    load: float = 0.0


def get_cheaper(one: Choice | None, other: Choice | None) -> Choice | None:
    """Return the choice with the lower cost, or ``None`` if both are ``None``."""
    if one is None or other is None:
        return one or other
    return other if other.cost_ms < one.cost_ms else one
