import unittest

from damaskdyke.core.clock import ManualClock
from damaskdyke.health.diagnosis import Diagnosis, compute_vote, diagnose
from damaskdyke.health.evidence import EvidenceRecord, EvidenceStore
from damaskdyke.health.window import Counts


def make_record(origin, zone, sequence=1, boot=1, at=1_000, **counts):
    address = f"127.0.0.{origin}:9"
    return EvidenceRecord(address, boot, sequence, zone, "up", Counts(**counts), at)


class DiagnosisTest(unittest.TestCase):
    def diagnose(self, *records, own=None):
        return diagnose(list(records), "suva", own or Counts())

    def test_one_origin_alone_is_no_fault(self):
        diagnosis = self.diagnose(make_record(1, "suva", bad=100))
        self.assertIsNot(diagnosis, Diagnosis.FAULTY)

    def test_bad_outcomes_in_two_zones_are_a_fault(self):
        records = make_record(1, "suva", bad=2), make_record(2, "labasa", bad=2)
        self.assertIs(self.diagnose(*records), Diagnosis.FAULTY)

    def test_fault_in_one_zone_alone_is_a_path_fault(self):
        records = [make_record(n, "suva", bad=5) for n in (1, 2, 3)]
        records.append(make_record(4, "labasa", good=20))
        self.assertIs(self.diagnose(*records), Diagnosis.PATH_FAULTY)
        self.assertIsNot(diagnose(records, "labasa", Counts()), Diagnosis.FAULTY)

    def test_few_slow_replies_among_good_ones_are_no_fault(self):
        records = [make_record(n, z, slow=1, good=4) for n, z in ((1, "a"), (2, "b"))]
        self.assertIsNot(self.diagnose(*records), Diagnosis.FAULTY)

    def test_mostly_slow_replies_are_a_fault(self):
        records = [make_record(n, z, slow=3) for n, z in ((1, "a"), (2, "b"))]
        self.assertIs(self.diagnose(*records), Diagnosis.FAULTY)

    def test_good_outcomes_alone_are_healthy(self):
        self.assertIs(self.diagnose(make_record(1, "suva", good=6)), Diagnosis.HEALTHY)

    def test_vote_is_capped(self):
        self.assertEqual(compute_vote(Counts(bad=1_000)), compute_vote(Counts(bad=100)))


class EvidenceStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(1_000)
        self.store = EvidenceStore(self.clock)

    def test_late_older_record_does_not_replace_a_newer_one(self):
        newer = make_record(1, "suva", sequence=5, bad=3)
        older = make_record(1, "suva", sequence=4, bad=1)
        self.assertEqual(self.store.merge([newer]), [newer])
        self.assertEqual(self.store.merge([older]), [])
        self.assertEqual(self.store.list_fresh("up"), [newer])

    def test_record_is_dropped_after_its_window(self):
        self.store.merge([make_record(1, "suva", bad=3)])
        self.clock.advance(3_001)
        self.assertEqual(self.store.list_fresh("up"), [])
        self.assertEqual(self.store.list_reported(), [])
