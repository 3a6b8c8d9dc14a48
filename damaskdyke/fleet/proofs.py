"""Questions and answers by which proxies prove their catalogues to each other."""

import random

from damaskdyke.core.clock import Millis
from damaskdyke.fleet.audience import Audience
from damaskdyke.fleet.gen.fleet.ttypes import FreshnessProof
from damaskdyke.fleet.members import FleetMembers, Member
from damaskdyke.workspaces.freshness import FreshnessTracker, QuestionScope

# Interval at which a proxy looks whether its proof is to be renewed.
CHECK_INTERVAL_MS = 250


class ProofExchange:
    """Selects whom to ask for a proof, and answers what others ask. Not thread-safe.

    Parameters
    ----------
    freshness : FreshnessTracker
        Proofs of this proxy.
    members, audience : FleetMembers, Audience
        Known members, and those that are addressed beyond the zone's readers.
    """

    def __init__(
        self, freshness: FreshnessTracker, members: FleetMembers, audience: Audience
    ):
        self._freshness = freshness
        self._members = members
        self._audience = audience

    def list_asked(self, revision: int, now: Millis) -> list[Member]:
        """Return the members to ask now; the question counts as asked.

        Normally one reader of the zone is asked. If the proof gets old all the same,
        the readers may be cut off from the store: members of other zones are asked too.
        """
        scope = self._freshness.select_question(revision, now)
        if scope is None:
            return []
        asked = self._members.list_readers(now)
        if scope is QuestionScope.READER and asked:
            asked = [random.choice(asked)]
        else:
            asked = asked + self._audience.list_for_urgent_question(asked)
        if asked:
            self._freshness.record_question(now)
        return asked

    def make_answer(
        self, asked_at: int, revision: int, now: Millis
    ) -> FreshnessProof | None:
        """Return this proxy's newest proof for one that asks, ``None`` without any."""
        proof = self._freshness.find_proof(revision)
        if proof is None:
            return None
        return FreshnessProof(asked_at, now - proof.proven_at, proof.revision)

    def record_answer(self, proof: FreshnessProof) -> None:
        """Record the proof that another proxy sent in answer to a question."""
        asked_at = Millis(proof.asked_at)
        self._freshness.record_answer(asked_at, proof.age_ms, proof.revision)
