"""Proof that this proxy's catalogue was the store's newest a short time ago.

A key that the operators withdraw must soon stop working at every proxy, also at one
that is cut off from the store and does not learn of it. So a request with a key is
served only while the proxy holds a proof that is not older than the operators' bound.

Load pattern: a fleet too large for every proxy to read the store. A few readers prove
their catalogue by their own calls; the others ask them. All times are on the clock of
this proxy, which keeps counting while the VM is suspended, so that a proxy which was
frozen finds its proofs aged.
"""

import threading
from collections import deque
from dataclasses import dataclass
from enum import Enum

from damaskdyke.catalogue.revisions import StoreRevision, get_era
from damaskdyke.core.clock import Millis

# Share of the bound after which a proof is to be renewed, and after which anybody is
# asked because the readers of the zone did not answer.
RENEWAL_SHARE = 0.5
URGENT_SHARE = 0.7
# Longest wait of a watch as a share of the bound: a watch proves what held when it was
# sent, so its proof is as old as its wait when it is answered.
WATCH_WAIT_SHARE = 0.25
# Interval of questions while a proof is to be renewed, and while there is hardly one.
QUESTION_INTERVAL_MS = 700
URGENT_QUESTION_INTERVAL_MS = 250
# Proofs and open questions that are kept. A proof for a revision that the catalogue has
# yet to reach counts once it does; the ones before it count until then.
MAX_PROOFS = 32
MAX_QUESTIONS = 16


class QuestionScope(Enum):
    """Which peers are asked for a proof."""

    READER = "reader"
    ANYBODY = "anybody"


@dataclass(frozen=True, slots=True)
class Proof:
    """At ``proven_at`` the store had no change after ``revision``.

    It proves nothing of a catalogue of another era, which may never have had that
    revision, or whose rules are of a version below ``rules_version``: a restored store
    may have lost it. It is 0 for rules that the store has.
    """

    proven_at: Millis
    revision: StoreRevision
    rules_version: int = 0


def is_as_good(one: Proof, other: Proof) -> bool:
    """Return whether a proof is not older than another and needs no later catalogue."""
    return (
        get_era(one.revision) == get_era(other.revision)
        and one.proven_at >= other.proven_at
        and one.revision <= other.revision
        and one.rules_version <= other.rules_version
    )


class FreshnessTracker:
    """Newest proofs of this proxy's catalogue. All methods are safe in any thread.

    Parameters
    ----------
    max_age_ms : int or None
        Age in ms up to which a proof allows requests with keys; ``None`` if they need
        no proof.
    """

    def __init__(self, max_age_ms: int | None):
        self._lock = threading.Lock()
        self._max_age_ms = max_age_ms
        # None of them is older than another and for a later catalogue.
        self._proofs: list[Proof] = []
        # Times of questions that were asked and may still be answered.
        self._questions: deque[Millis] = deque(maxlen=MAX_QUESTIONS)

    @property
    def is_required(self) -> bool:
        """Return whether requests with keys need a proof."""
        return self._max_age_ms is not None

    def set_max_age_ms(self, max_age_ms: int | None) -> None:
        """Replace the bound; the proofs are kept."""
        self._max_age_ms = max_age_ms

    def limit_watch_ms(self, wait_ms: int) -> int:
        """Return how long a watch may wait so that its proof is not old at once."""
        if self._max_age_ms is None:
            return wait_ms
        return min(wait_ms, int(WATCH_WAIT_SHARE * self._max_age_ms))

    # Sources of proofs.

    def record_watch(
        self, sent_at: Millis, revision: StoreRevision, rules_version: int = 0
    ) -> None:
        """Record the answer of the store to a watch, or to a listing, of this proxy.

        The answer may have been on its way for any time, so it proves what held when
        the watch was sent, or when the first page of the listing was asked for. No
        stale copy may have answered.
        """
        with self._lock:
            self._add(Proof(sent_at, revision, rules_version))

    def record_restore(
        self, known: StoreRevision, revision: StoreRevision, rules_version: int
    ) -> None:
        """Keep the proof of the catalogue at a revision for the restored one.

        The catalogue keeps the rules in force, and with them every withdrawal that the
        proof covers, although the restored store may lack some.
        """
        proof = self.find_proof(known)
        if proof is not None:
            with self._lock:
                self._add(Proof(proof.proven_at, revision, rules_version))

    def record_question(self, now: Millis) -> None:
        """Record that peers are asked for a proof now."""
        with self._lock:
            self._questions.append(now)

    def record_answer(
        self,
        asked_at: Millis,
        age_ms: int,
        revision: StoreRevision,
        rules_version: int = 0,
    ) -> None:
        """Record a peer's proof in answer to a question of this proxy.

        The peer stated the age after the question was asked, so its proof is at least
        as new as the question less the age, however long either datagram took. An
        answer to no open question is ignored: its time may be of another clock.
        """
        with self._lock:
            if asked_at in self._questions:
                proven_at = Millis(asked_at - age_ms)
                self._add(Proof(proven_at, revision, rules_version))

    def _add(self, proof: Proof) -> None:
        """Keep a proof unless another is as good, and drop those that it replaces."""
        if any(is_as_good(known, proof) for known in self._proofs):
            return
        kept = [known for known in self._proofs if not is_as_good(proof, known)]
        kept.append(proof)
        kept.sort(key=lambda item: item.proven_at)
        self._proofs = kept[-MAX_PROOFS:]

    # Use.

    def find_proof(self, revision: StoreRevision) -> Proof | None:
        """Return the newest proof for a catalogue that has reached a revision."""
        with self._lock:
            known = [
                proof
                for proof in self._proofs
                if proof.revision <= revision
                and get_era(proof.revision) == get_era(revision)
            ]
        return max(known, key=lambda proof: proof.proven_at, default=None)

    def get_age_ms(self, revision: StoreRevision, now: Millis) -> int | None:
        """Return the age in ms of the newest proof for a revision, if there is one."""
        proof = self.find_proof(revision)
        return None if proof is None else now - proof.proven_at

    def is_fresh(self, revision: StoreRevision, now: Millis) -> bool:
        """Return whether keys of the catalogue at a revision may be relied on now."""
        if self._max_age_ms is None:
            return True
        age_ms = self.get_age_ms(revision, now)
        return age_ms is not None and age_ms <= self._max_age_ms

    def select_question(
        self, revision: StoreRevision, now: Millis
    ) -> QuestionScope | None:
        """Return whom to ask for a proof now, ``None`` if nobody is to be asked."""
        if self._max_age_ms is None:
            return None
        age_ms = self.get_age_ms(revision, now)
        if age_ms is not None and age_ms < RENEWAL_SHARE * self._max_age_ms:
            return None
        is_urgent = age_ms is None or age_ms >= URGENT_SHARE * self._max_age_ms
        interval_ms = URGENT_QUESTION_INTERVAL_MS if is_urgent else QUESTION_INTERVAL_MS
        with self._lock:
            if self._questions and now - self._questions[-1] < interval_ms:
                return None
        return QuestionScope.ANYBODY if is_urgent else QuestionScope.READER
