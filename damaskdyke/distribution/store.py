"""Newest document of every branch, and the last good one of each."""

import hashlib
import logging
import threading
from dataclasses import dataclass
from enum import Enum

from damaskdyke.conf.loading import SettingsError, parse_branch
from damaskdyke.conf.tree import Branch
from damaskdyke.core.ids import BranchName
from damaskdyke.distribution.documents import Document, Version
from damaskdyke.distribution.view import View
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.settings")


class OfferResult(Enum):
    """What became of a document that was offered to the store."""

    ACCEPTED = "accepted"
    REFUSED_BAD = "refused-bad"
    IGNORED_OLD = "ignored-old"
    IGNORED_DAMAGED = "ignored-damaged"


CHANGING_RESULTS = (OfferResult.ACCEPTED, OfferResult.REFUSED_BAD)


@dataclass(frozen=True)
class StoredBranch:
    """One branch as the store holds it.

    Parameters
    ----------
    newest : Document
        Document with the highest version seen, good or bad.
    good : Document or None
        Newest document without errors.
    branch : Branch or None
        Typed contents of ``good``.
    error : str
        Errors of ``newest``, or empty.
    """

    newest: Document
    good: Document | None
    branch: Branch | None
    error: str


class Store:
    """Branches by name. Versions only grow.

    A branch with errors is kept and relayed, so that every proxy judges the same
    text, while its last good version stays in force.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._stored: dict[BranchName, StoredBranch] = {}
        self.view = View()
        self.tree_hash = b""

    def offer(self, document: Document) -> OfferResult:
        """Take in a document if it is newer than the one held."""
        return self.offer_all([document])[0]

    def offer_all(self, documents: list[Document]) -> list[OfferResult]:
        """Take in several documents and rebuild the view once."""
        with self._lock:
            results = [self._add_document(document) for document in documents]
            if any(result in CHANGING_RESULTS for result in results):
                self._rebuild()
        return results

    def _add_document(self, document: Document) -> OfferResult:
        if not document.is_intact():
            return OfferResult.IGNORED_DAMAGED
        known = self._stored.get(document.version.name)
        if known and document.version.number <= known.newest.version.number:
            return OfferResult.IGNORED_OLD
        stored = self._parse_document(document, known)
        self._stored[document.version.name] = stored
        self._log_result(stored)
        return OfferResult.REFUSED_BAD if stored.error else OfferResult.ACCEPTED

    def _parse_document(
        self, document: Document, known: StoredBranch | None
    ) -> StoredBranch:
        try:
            branch = parse_branch(document.version.name, document.text)
        except SettingsError as error:
            good = known.good if known else None
            last = known.branch if known else None
            return StoredBranch(document, good, last, error.detail)
        return StoredBranch(document, document, branch, "")

    def _rebuild(self) -> None:
        stored = self._stored.values()
        self.view = View(item.branch for item in stored if item.branch is not None)
        self.tree_hash = hash_versions([item.newest.version for item in stored])

    def _log_result(self, stored: StoredBranch) -> None:
        version = stored.newest.version
        if not stored.error:
            log_event(
                logger, "branch-accepted", branch=version.name, version=version.number
            )
            return
        in_force = stored.good.version.number if stored.good else 0
        log_event(
            logger,
            "branch-refused",
            logging.ERROR,
            branch=version.name,
            version=version.number,
            in_force=in_force,
            error=stored.error,
        )

    def list_versions(self) -> list[Version]:
        """Return the newest version of every branch."""
        with self._lock:
            return [item.newest.version for item in self._stored.values()]

    def list_stored(self) -> list[StoredBranch]:
        """Return every branch as held."""
        with self._lock:
            return list(self._stored.values())

    def list_newer(self, versions: list[Version]) -> list[Version]:
        """Return those of ``versions`` that are newer than what is held."""
        with self._lock:
            return [
                version
                for version in versions
                if version.number > self._get_version_number(version.name)
            ]

    def _get_version_number(self, name: BranchName) -> int:
        known = self._stored.get(name)
        return known.newest.version.number if known else 0

    def list_documents(self, names: list[BranchName]) -> list[Document]:
        """Return the last good and the newest document of each named branch."""
        documents = []
        with self._lock:
            for name in names:
                known = self._stored.get(name)
                if known is None:
                    continue
                if known.good is not None and known.good is not known.newest:
                    documents.append(known.good)
                documents.append(known.newest)
        return documents

    def count_bad(self) -> int:
        """Return how many branches have a newest version with errors."""
        return sum(1 for item in self.list_stored() if item.error)

    def __len__(self) -> int:
        with self._lock:
            return len(self._stored)


def hash_versions(versions: list[Version]) -> bytes:
    """Return a short hash that is equal where all versions are equal."""
    digest = hashlib.blake2b(digest_size=8)
    for version in sorted(versions, key=lambda item: item.name):
        digest.update(f"{version.name}\x00{version.number}\x00".encode())
    return digest.digest()
