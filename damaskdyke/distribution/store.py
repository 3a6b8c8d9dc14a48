"""Store of the newest and the last good document of every branch."""

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
    """Result of offering a document to the store.

    ``REFUSED_BAD`` documents have errors: they are stored and relayed, but do not come
    into force. ``IGNORED_DAMAGED`` documents do not match their digest.
    """

    ACCEPTED = "accepted"
    REFUSED_BAD = "refused-bad"
    IGNORED_OLD = "ignored-old"
    IGNORED_DAMAGED = "ignored-damaged"


# Results after which the stored versions, and so the tree hash, have changed.
CHANGING_RESULTS = (OfferResult.ACCEPTED, OfferResult.REFUSED_BAD)


@dataclass(frozen=True)
class StoredBranch:
    """Newest and last good document of one branch.

    Parameters
    ----------
    newest : Document
        Document with the highest version seen, with or without errors.
    good : Document or None
        Newest document without errors, the one in force.
    branch : Branch or None
        Typed contents of ``good``.
    error : str
        Errors of ``newest`` as one text; empty if there are none.
    """

    newest: Document
    good: Document | None
    branch: Branch | None
    error: str


class Store:
    """Branches by name; a document is replaced only by one with a higher version.

    A document with errors is stored and relayed too, so that every proxy validates
    the same text, while the last good version of its branch stays in force.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._stored: dict[BranchName, StoredBranch] = {}
        self.view = View()
        self.tree_hash = b""

    def offer(self, document: Document) -> OfferResult:
        """Store a document if it is intact and newer than the stored one."""
        return self.offer_all([document])[0]

    def offer_all(self, documents: list[Document]) -> list[OfferResult]:
        """Offer several documents and rebuild the view once."""
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
        """Return the stored documents of every branch."""
        with self._lock:
            return list(self._stored.values())

    def list_newer(self, versions: list[Version]) -> list[Version]:
        """Return those of ``versions`` that are newer than the stored ones."""
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
        """Return the last good and the newest document of each named branch.

        The good one comes first, since a store ignores versions below the one it has.
        """
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
        """Return the number of branches whose newest version has errors."""
        return sum(1 for item in self.list_stored() if item.error)

    def __len__(self) -> int:
        with self._lock:
            return len(self._stored)


def hash_versions(versions: list[Version]) -> bytes:
    """Return an 8-byte hash of branch names and version numbers, in any order."""
    digest = hashlib.blake2b(digest_size=8)
    for version in sorted(versions, key=lambda item: item.name):
        digest.update(f"{version.name}\x00{version.number}\x00".encode())
    return digest.digest()
