import hashlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.core.ids import BranchName
from damaskdyke.distribution.documents import Document, Version
from damaskdyke.distribution.store import OfferResult, Store

GOOD = b"[services.desk]\nfloor = 0\nupstreams = []\nrules = []\n"
BAD = b"[services.desk]\nfloor = 5\nupstreams = []\nrules = []\n"


def make_document(number, text=GOOD, name="pumps"):
    digest = hashlib.sha256(text).digest()
    return Document(Version(BranchName(name), number, digest), text)


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()

    def test_older_version_is_ignored(self):
        self.store.offer(make_document(5))
        self.assertIs(self.store.offer(make_document(4)), OfferResult.IGNORED_OLD)
        self.assertEqual(self.store.list_versions()[0].number, 5)

    def test_last_good_version_stays_in_force_after_a_bad_one(self):
        self.store.offer(make_document(1))
        self.assertIs(self.store.offer(make_document(2, BAD)), OfferResult.REFUSED_BAD)
        self.assertIn("desk", self.store.view.services)
        self.assertEqual(self.store.count_bad(), 1)

    def test_peer_without_documents_receives_last_good_and_newest_document(self):
        """A new proxy must not lose a service whose newest version has errors."""
        self.store.offer(make_document(1))
        self.store.offer(make_document(2, BAD))
        other = Store()
        for document in self.store.list_documents([BranchName("pumps")]):
            other.offer(document)
        self.assertIn("desk", other.view.services)
        self.assertEqual(other.tree_hash, self.store.tree_hash)

    def test_damaged_document_is_ignored(self):
        document = make_document(1)
        damaged = Document(document.version, document.text + b"#")
        self.assertIs(self.store.offer(damaged), OfferResult.IGNORED_DAMAGED)

    @given(st.lists(st.integers(min_value=1, max_value=9), min_size=1))
    def test_newest_version_never_decreases(self, numbers):
        store = Store()
        for number in numbers:
            before = store.list_versions()
            store.offer(make_document(number))
            after = store.list_versions()[0].number
            self.assertGreaterEqual(after, before[0].number if before else 0)
        self.assertEqual(store.list_versions()[0].number, max(numbers))
