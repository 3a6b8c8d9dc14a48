"""Diagnosis of an upstream from the evidence of several proxies.

A sequential probability ratio test: the vote of each origin is a log-likelihood ratio
(natural logarithm) of its counts, positive for a fault, and the capped votes add up.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.ids import ZoneName
from damaskdyke.health.evidence import EvidenceRecord
from damaskdyke.health.window import Counts

# Assumed shares of bad outcomes of a faulty and of a healthy upstream.
FAULTY_BAD_SHARE = 0.2
HEALTHY_BAD_SHARE = 0.01

# Assumed shares of slow replies: a slow upstream is slow most of the time, and a short
# pause of a healthy one makes a few replies slow.
FAULTY_SLOW_SHARE = 0.8
HEALTHY_SLOW_SHARE = 0.1

# Log-likelihood ratios of one outcome.
BAD_WEIGHT = math.log(FAULTY_BAD_SHARE / HEALTHY_BAD_SHARE)
GOOD_WEIGHT = math.log((1 - FAULTY_BAD_SHARE) / (1 - HEALTHY_BAD_SHARE))
SLOW_WEIGHT = math.log(FAULTY_SLOW_SHARE / HEALTHY_SLOW_SHARE)
FAST_WEIGHT = math.log((1 - FAULTY_SLOW_SHARE) / (1 - HEALTHY_SLOW_SHARE))

# Below the threshold, so that one origin alone can never reach it.
MAX_ORIGIN_VOTE = 4.0
FAULT_THRESHOLD = 5.0
# Own vote from which on this proxy avoids an upstream, whatever others observe.
OWN_VOTE_THRESHOLD = 3.0
MIN_FAULT_ORIGINS = 2
# A zone with votes up to this one clearly observes no fault.
HEALTHY_ZONE_THRESHOLD = -1.5


class Diagnosis(Enum):
    """Result of the test for one upstream."""

    FAULTY = "faulty"
    # This proxy or its zone observes faults that the others do not confirm.
    PATH_FAULTY = "path-faulty"
    UNDECIDED = "undecided"
    HEALTHY = "fit"


@dataclass(frozen=True)
class ZoneVotes:
    """Sum of the votes of one availability zone.

    Parameters
    ----------
    votes : float
        Sum of the log-likelihood ratios, positive for a fault.
    fault_origins : int
        Origins whose vote is positive.
    """

    votes: float
    fault_origins: int


def compute_vote(counts: Counts) -> float:
    """Return the vote of one origin, positive for a fault, within its cap.

    The vote is the larger one of two log-likelihood ratios: for an upstream that
    fails, and, if any reply was slow, for one that is slow.
    """
    failure_ratio = counts.bad * BAD_WEIGHT + counts.good * GOOD_WEIGHT
    slow_ratio = counts.slow * SLOW_WEIGHT + counts.good * FAST_WEIGHT
    vote = max(failure_ratio, slow_ratio) if counts.slow else failure_ratio
    return max(-MAX_ORIGIN_VOTE, min(MAX_ORIGIN_VOTE, vote))


def sum_by_zone(records: Iterable[EvidenceRecord]) -> dict[ZoneName, ZoneVotes]:
    """Return the sum of the votes of each availability zone."""
    votes: dict[ZoneName, float] = defaultdict(float)
    fault_origins: dict[ZoneName, int] = defaultdict(int)
    for record in records:
        vote = compute_vote(record.counts)
        votes[record.zone] += vote
        fault_origins[record.zone] += vote > 0
    return {zone: ZoneVotes(votes[zone], fault_origins[zone]) for zone in votes}


def diagnose(
    records: list[EvidenceRecord], own_zone: ZoneName, own: Counts
) -> Diagnosis:
    """Return the diagnosis of one upstream.

    A fault that only this proxy or its availability zone observes, and that the others
    do not confirm, counts as a fault of the network path: this proxy avoids the
    upstream, and the upstream does not count as faulty.

    Parameters
    ----------
    records : list of EvidenceRecord
        Fresh records of every origin, this proxy included.
    own_zone : ZoneName
        Availability zone of this proxy.
    own : Counts
        Counts of this proxy, which are part of ``records`` too.
    """
    zones = sum_by_zone(records)
    votes = sum(item.votes for item in zones.values())
    fault_origins = sum(item.fault_origins for item in zones.values())
    if votes >= FAULT_THRESHOLD and fault_origins >= MIN_FAULT_ORIGINS:
        if not is_fault_confined_to_zone(zones):
            return Diagnosis.FAULTY
    if is_zone_reporting_fault(zones.get(own_zone)):
        return Diagnosis.PATH_FAULTY
    if compute_vote(own) >= OWN_VOTE_THRESHOLD and own.bad + own.slow > 1:
        return Diagnosis.PATH_FAULTY
    if votes < 0 and fault_origins == 0:
        return Diagnosis.HEALTHY
    return Diagnosis.UNDECIDED


def is_fault_confined_to_zone(zones: dict[ZoneName, ZoneVotes]) -> bool:
    """Return whether one zone alone observes a fault that another clearly does not."""
    fault_zones = sum(1 for item in zones.values() if item.votes > 0)
    healthy_zones = sum(
        1 for item in zones.values() if item.votes <= HEALTHY_ZONE_THRESHOLD
    )
    return healthy_zones > 0 and fault_zones < 2


def is_zone_reporting_fault(zone: ZoneVotes | None) -> bool:
    """Return whether the votes of one zone alone reach the fault threshold."""
    if zone is None:
        return False
    return zone.votes >= FAULT_THRESHOLD and zone.fault_origins >= MIN_FAULT_ORIGINS
