"""Questions and answers by which proxies prove their catalogues to each other."""

import random
import threading
from typing import Protocol

from damaskdyke.catalogue.revisions import StoreRevision
from damaskdyke.core.clock import Clock, Millis
from damaskdyke.fleet.audience import Audience
from damaskdyke.fleet.gen.fleet.ttypes import FreshnessProof, News
from damaskdyke.fleet.members import FleetMembers, Member
from damaskdyke.fleet.messages import get_revision, set_revision
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

    def list_asked(self, revision: StoreRevision, now: Millis) -> list[Member]:
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
        self, asked_at: int, revision: StoreRevision, now: Millis
    ) -> FreshnessProof | None:
        """Return this proxy's newest proof for one that asks, ``None`` without any."""
        proof = self._freshness.find_proof(revision)
        if proof is None:
            return None
        # Both times are rounded down, so the age may be a millisecond more.
        age_ms = now - proof.proven_at + 1
        answer = FreshnessProof(asked_at, age_ms)
        set_revision(answer, proof.revision)
        answer.rules_version = proof.rules_version or None
        return answer

    def record_answer(self, proof: FreshnessProof) -> None:
        """Record the proof that another proxy sent in answer to a question."""
        asked_at = Millis(proof.asked_at)
        self._freshness.record_answer(
            asked_at, proof.age_ms, get_revision(proof), proof.rules_version or 0
        )


class ProofChannel(Protocol):
    """What sends the questions and the answers; `GossipChannel` does."""

    def get_revision(self) -> StoreRevision:
        """Return the revision of this proxy's catalogue."""

    def get_rules_version(self) -> int:
        """Return the version of the rules in this proxy's catalogue."""

    def make_datagram(self) -> News:
        """Return a datagram without content."""

    def send(self, datagram: News, ips: list[str]) -> None:
        """Send a datagram to proxies."""


class ProofMessenger:
    """Sends questions for proofs and the answers to those of others.

    Parameters
    ----------
    exchange : ProofExchange
        Selects whom to ask, and what to answer.
    channel : ProofChannel
        Sends the datagrams.
    lock : threading.Lock
        Guards the members that the exchange selects from.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        exchange: ProofExchange,
        channel: ProofChannel,
        lock: threading.Lock,
        clock: Clock,
    ):
        self._exchange = exchange
        self._channel = channel
        self._lock = lock
        self._clock = clock

    def ask(self, now: Millis) -> None:
        """Ask for a proof if one is due."""
        with self._lock:
            members = self._exchange.list_asked(self._channel.get_revision(), now)
        if not members:
            return
        datagram = self._channel.make_datagram()
        datagram.proof_asked_at = now
        self._channel.send(datagram, [member.ip for member in members])

    def receive(self, datagram: News, sender: str) -> None:
        """Answer a question, if this proxy has a proof, and record an answer."""
        if datagram.proof_asked_at is not None:
            self._answer(sender, datagram.proof_asked_at)
        proof = datagram.proof
        if proof is None:
            return
        if (proof.rules_version or 0) <= self._channel.get_rules_version():
            self._exchange.record_answer(proof)

    def _answer(self, ip: str, asked_at: int) -> None:
        proof = self._exchange.make_answer(
            asked_at, self._channel.get_revision(), self._clock.now()
        )
        if proof is None:
            return
        datagram = self._channel.make_datagram()
        datagram.proof = proof
        self._channel.send(datagram, [ip])
