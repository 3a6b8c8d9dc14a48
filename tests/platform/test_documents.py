"""Tests of documents in the store that another writer may have left there."""

import json
import threading
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdyke.catalogue.follower import Follower
from damaskdyke.catalogue.reading import ReadingRole
from damaskdyke.catalogue.state import CatalogueState
from damaskdyke.catalogue.types import Change
from damaskdyke.core.clock import Clock, ManualClock
from damaskdyke.dispatch.outcomes import Outcome
from damaskdyke.fleet.gen.fleet.ttypes import News
from damaskdyke.fleet.members import FleetMembers
from damaskdyke.fleet.messages import encode_datagram
from damaskdyke.fleet.reports import LoadReport, encode_report
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.platform.store import StoreClient
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.processes import wait_for
from damaskdyke.testbed.store import StoreStandIn
from tests.catalogue.test_follower import NoPeers
from tests.catalogue.test_state import make_config

ENTRY = {
    "service": "desk",
    "addr": "127.0.0.1:80",
    "zone": "a",
    "config_version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left": "0ms",
    "sequence": 1,
    "born": 1,
}
TOO_LARGE = (2**63, 10**30, 10**4_000, -(10**30))
ODD_VALUES = {
    "nested lists": b"[" * 2_000,
    "nested objects": b'{"a":' * 200_000,
    "no text": b"\xff\xfe{",
    "digits": b"1" * 1_000_000,
    **{f"slots {n}": json.dumps(ENTRY | {"slots": n}).encode() for n in TOO_LARGE},
    **{f"born {n}": json.dumps(ENTRY | {"born": n}).encode() for n in TOO_LARGE},
    "infinite slots": b'{"slots": 1e999}',
}
ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:-80",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:\u0661",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1",
    ":80",
    "desk.example:80",
    "x" * 100 + ".example:80",
    "127.0.0.1\0:80",
    "::1:80",
)
ODD_KEYS = ("servers/", "servers/a b", "servers/a\r\nX: y", "servers/\xe9", "other")


def run_in_thread(function, *args):
    """Return the list of a function's result, empty if it raised an error."""
    results = []
    thread = threading.Thread(target=lambda: results.append(function(*args)))
    thread.start()
    thread.join()
    return results


class OddEntryTest(unittest.TestCase):
    """An entry that could not be decoded kept a proxy from following the store."""

    def test_odd_value_names_no_upstream(self):
        # With the stack of a thread of the proxy.
        previous = threading.stack_size(512 * 1024)
        self.addCleanup(threading.stack_size, previous)
        decoder = StoreDecoder()
        for name, value in ODD_VALUES.items():
            with self.subTest(name[:40]):
                found = run_in_thread(decoder.read_instance, "u", value)
                self.assertEqual(found, [None])
                self.assertIsNone(decoder.read_rules(value))

    def test_odd_address_names_no_upstream(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address[:40]):
                value = json.dumps(ENTRY | {"addr": address}).encode()
                self.assertIsNone(StoreDecoder().read_instance("u", value))

    def test_odd_key_names_no_upstream(self):
        for key in ODD_KEYS:
            with self.subTest(key):
                self.assertIsNone(StoreDecoder().find_upstream(key))

    def test_other_changes_are_applied(self):
        for name, value in ODD_VALUES.items():
            with self.subTest(name[:40]):
                state = CatalogueState(ManualClock(0), StoreDecoder())
                good = json.dumps(ENTRY).encode()
                changes = [
                    Change("servers/a", 2, good),
                    Change("servers/odd", 3, value),
                    Change("servers/z", 4, good),
                ]
                state.apply(changes, 4)
                self.assertEqual(set(state.view.instances), {"a", "z"})

    def test_proxy_that_starts_beside_one_follows_the_store(self):
        store = self.enterContext(StoreStandIn())
        instance = self.enterContext(InstanceStandIn("u1"))
        store.put("op/config", make_config(1))
        store.put("servers/u1", instance.make_entry())
        store.put("servers/z", ODD_VALUES["nested lists"])
        state = CatalogueState(Clock(), StoreDecoder())
        client = StoreClient(store.address, Clock())
        role = ReadingRole(FleetMembers("10.0.0.1", "a"))
        self.enterContext(
            Follower(state, client, role, NoPeers(), Clock(), lambda: None)
        )
        wait_for(lambda: state.view.is_usable, "the first usable view")
        store.put("op/config", make_config(2))
        wait_for(lambda: state.view.version == 2, "version 2 of the rules")


class FailingDecoder(StoreDecoder):
    """Decoder with a fault: one entry raises an error."""

    def read_instance(self, upstream, value):
        if upstream == "odd":
            raise ZeroDivisionError
        return super().read_instance(upstream, value)


class PartialAnswerTest(unittest.TestCase):
    def test_error_leaves_no_part_of_an_answer_behind_as_known(self):
        # The rest of the answer was then not new any more, and never used.
        state = CatalogueState(ManualClock(0), FailingDecoder())
        good = json.dumps(ENTRY).encode()
        changes = [Change("servers/a", 2, good), Change("servers/odd", 3, good)]
        with self.assertRaises(ZeroDivisionError):
            state.apply(changes, 3)
        state.apply(changes[:1], 3)
        self.assertEqual(set(state.view.instances), {"a"})


NUMBERS = st.one_of(
    st.integers(), st.sampled_from(TOO_LARGE), st.integers(-(2**64), 2**64)
)
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, st.floats(), st.text())
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(st.text(), inner)),
    max_leaves=8,
)
FIELDS = st.dictionaries(st.sampled_from(sorted(ENTRY)), VALUES, max_size=3)
DOCUMENTS = st.one_of(
    st.binary(max_size=60),
    VALUES.map(lambda value: json.dumps(value).encode()),
    FIELDS.map(lambda fields: json.dumps(ENTRY | fields).encode()),
)


class FuzzTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    @given(DOCUMENTS)
    def test_what_is_accepted_can_be_sent_to_and_reported(self, document):
        decoder = StoreDecoder()
        decoder.read_rules(document)
        instance = decoder.read_instance("u1", document)
        if instance is None:
            return
        self.assertTrue(1 <= instance.slots <= 2**31)
        report = LoadReport("u1", instance.incarnation, 1, Outcome.GOOD, 1)
        news = News("10.0.0.1", "a", 1, 1, 1, [encode_report(report)])
        self.assertTrue(encode_datagram(news))

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(VALUES, st.sampled_from(["routes", "services", "limits", "config_version"]))
    def test_rules_with_an_odd_part_raise_nothing(self, value, name):
        document = json.dumps(make_config(1) | {name: value}).encode()
        StoreDecoder().read_rules(document)
