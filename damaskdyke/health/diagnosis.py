"""Decision from evidence: a sequential test over capped votes of the origins."""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from damaskdyke.core.ids import ZoneName
from damaskdyke.health.evidence import EvidenceRecord
from damaskdyke.health.window import Counts

# Shares of bad outcomes of a faulty and of a healthy upstream.
FAULTY_SHARE = 0.2
HEALTHY_SHARE = 0.01

# Shares of slow replies: a slow upstream is slow most of the time, and a short pause of
# a healthy one makes a few replies slow.
SLOW_FAULTY_SHARE = 0.8
SLOW_HEALTHY_SHARE = 0.1

BAD_WEIGHT = math.log(FAULTY_SHARE / HEALTHY_SHARE)
GOOD_WEIGHT = math.log((1 - FAULTY_SHARE) / (1 - HEALTHY_SHARE))
SLOW_WEIGHT = math.log(SLOW_FAULTY_SHARE / SLOW_HEALTHY_SHARE)
FAST_WEIGHT = math.log((1 - SLOW_FAULTY_SHARE) / (1 - SLOW_HEALTHY_SHARE))

# One origin alone can never reach the threshold.
ORIGIN_CAP = 4.0
ACCUSE_THRESHOLD = 5.0
LOCAL_THRESHOLD = 3.0
MIN_ACCUSERS = 2
CONTRARY_VOTES = -1.5


class Diagnosis(Enum):
    """What the evidence says about an upstream."""

    FAULTY = "faulty"
    PATH_FAULTY = "path-faulty"
    UNDECIDED = "undecided"
    HEALTHY = "fit"


@dataclass(frozen=True)
class ZoneSums:
    """Votes of one availability zone."""

    votes: float
    accusers: int


def compute_vote(counts: Counts) -> float:
    """Return the vote of one origin, positive for a fault, within the cap.

    The vote is the stronger one of two tests: for an upstream that fails, and for one
    that is slow.
    """
    failing = counts.bad * BAD_WEIGHT + counts.good * GOOD_WEIGHT
    slow = counts.slow * SLOW_WEIGHT + counts.good * FAST_WEIGHT
    raw = max(failing, slow) if counts.slow else failing
    return max(-ORIGIN_CAP, min(ORIGIN_CAP, raw))


def sum_by_zone(records: Iterable[EvidenceRecord]) -> dict[ZoneName, ZoneSums]:
    """Return the votes and the number of accusers of each availability zone."""
    votes: dict[ZoneName, float] = defaultdict(float)
    accusers: dict[ZoneName, int] = defaultdict(int)
    for record in records:
        vote = compute_vote(record.counts)
        votes[record.zone] += vote
        accusers[record.zone] += vote > 0
    return {zone: ZoneSums(votes[zone], accusers[zone]) for zone in votes}


def diagnose(
    records: list[EvidenceRecord], own_zone: ZoneName, own: Counts
) -> Diagnosis:
    """Return the verdict on one upstream.

    A fault that only one availability zone, or only this proxy, sees while others
    succeed is a fault of the path: this proxy avoids the upstream and accuses nobody.

    Parameters
    ----------
    records : list of EvidenceRecord
        Fresh records of every origin, this proxy included.
    own_zone : ZoneName
        Availability zone of this proxy.
    own : Counts
        This proxy's own counts.
    """
    zones = sum_by_zone(records)
    votes = sum(item.votes for item in zones.values())
    accusers = sum(item.accusers for item in zones.values())
    if votes >= ACCUSE_THRESHOLD and accusers >= MIN_ACCUSERS:
        if not has_contrary_zone(zones):
            return Diagnosis.FAULTY
    if is_zone_accusing(zones.get(own_zone)):
        return Diagnosis.PATH_FAULTY
    if compute_vote(own) >= LOCAL_THRESHOLD and own.bad + own.slow > 1:
        return Diagnosis.PATH_FAULTY
    if votes < 0 and accusers == 0:
        return Diagnosis.HEALTHY
    return Diagnosis.UNDECIDED


def has_contrary_zone(zones: dict[ZoneName, ZoneSums]) -> bool:
    """Return whether one zone accuses alone while another clearly does not."""
    accusing = sum(1 for item in zones.values() if item.votes > 0)
    contrary = sum(1 for item in zones.values() if item.votes <= CONTRARY_VOTES)
    return contrary > 0 and accusing < 2


def is_zone_accusing(zone: ZoneSums | None) -> bool:
    """Return whether a zone's own votes suffice for a fault."""
    if zone is None:
        return False
    return zone.votes >= ACCUSE_THRESHOLD and zone.accusers >= MIN_ACCUSERS
