import json
import threading
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdyke.catalogue.departures import RESTRAINT_MS
from damaskdyke.catalogue.follower import Follower
from damaskdyke.catalogue.reading import ReadingRole
from damaskdyke.catalogue.revisions import (
    get_era,
    get_restores,
    make_era,
    make_revision,
)
from damaskdyke.catalogue.source import SourceError, SourceFailure
from damaskdyke.catalogue.state import LAPSE_HOLD_MS, CatalogueState
from damaskdyke.catalogue.types import Change, InstanceState
from damaskdyke.core.clock import Clock, ManualClock
from damaskdyke.fleet.members import FleetMembers
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.platform.store import StoreClient
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.processes import wait_for
from damaskdyke.testbed.store import StoreStandIn
from damaskdyke.workspaces.freshness import FreshnessTracker
from tests.catalogue.test_follower import NoPeers
from tests.catalogue.test_state import make_change, make_config

RULES = "op/config"


class RestoreCase(unittest.TestCase):
    """A proxy that reads a store, which a test restores from an earlier copy."""

    def setUp(self):
        self.store = self.enterContext(StoreStandIn())
        self.instances = {}
        self.store.put(RULES, make_config(1))
        self.publish("u1")
        self.publish("u2")
        self.state = CatalogueState(Clock(), StoreDecoder())
        self.follower = self.enterContext(
            Follower(
                self.state,
                StoreClient(self.store.address, Clock()),
                ReadingRole(FleetMembers("10.0.0.1", "a")),
                NoPeers(),
                Clock(),
                lambda: None,
            )
        )
        wait_for(lambda: self.state.view.is_usable, "the first usable view")
        wait_for(lambda: self.follower.is_reading, "the first watch")

    def publish(self, name, **fields):
        """Write the entry of an upstream, which is started when it is new."""
        instance = self.instances.get(name)
        if instance is None:
            instance = self.instances[name] = InstanceStandIn(name)
            self.addCleanup(instance.__exit__)
        self.store.put(f"servers/{name}", instance.make_entry() | fields)

    def put_rules(self, version):
        """Write a configuration and wait until it is in force."""
        self.store.put(RULES, make_config(version))
        wait_for(
            lambda: self.state.view.version == version, f"version {version} in force"
        )

    def restore(self, copy):
        """Make the store unavailable for a moment and restore it meanwhile."""
        self.store.status = 503
        wait_for(lambda: not self.follower.is_reading, "the failed read")
        self.store.restore(copy)
        self.store.status = 200


class RestoreTest(RestoreCase):
    def test_version_written_after_a_restore_is_in_force(self):
        copy = self.store.copy()
        for version in range(2, 8):
            self.put_rules(version)
        self.restore(copy)
        self.put_rules(8)

    def test_version_written_after_a_restore_without_an_era_is_in_force(self):
        self.store.era = None
        copy = self.store.copy()
        for version in range(2, 8):
            self.put_rules(version)
        self.restore(copy)
        self.put_rules(8)

    def test_upstream_at_a_revision_given_out_twice_is_known(self):
        copy = self.store.copy()
        self.put_rules(2)
        self.store.status = 503
        wait_for(lambda: not self.follower.is_reading, "the failed read")
        self.store.restore(copy)
        self.publish("u3")
        self.store.put(RULES, make_config(3))
        self.store.status = 200
        wait_for(lambda: self.state.view.version == 3, "version 3 in force")
        self.assertIn("u3", self.state.view.instances)


class RestoredSource:
    """Store that was restored after the first listing, and answers no later watch."""

    calls = 0

    def __init__(self):
        self.ended = threading.Event()

    def list_all(self, is_stale_allowed, known):
        revision = known or make_revision(make_era(0), 9)
        if not is_stale_allowed:
            revision = make_revision(make_era(1), 4)
        return [make_change(RULES, revision, make_config(1))], revision

    def watch(self, revision, wait_ms):
        if not get_era(revision):
            raise SourceError(SourceFailure.HISTORY_GONE, "restored")
        self.ended.wait()
        raise SourceError(SourceFailure.NO_ANSWER, "ended")

    def close(self):
        self.ended.set()


class ProofTest(unittest.TestCase):
    def test_keys_are_relied_on_as_soon_as_the_restored_store_is_listed(self):
        # Requests with keys were refused until the next watch was answered.
        state = CatalogueState(Clock(), StoreDecoder())
        freshness = FreshnessTracker(5_000)
        role = mock.Mock()
        role.should_read.return_value = True
        source = RestoredSource()
        follower = Follower(
            state, source, role, NoPeers(), Clock(), lambda: None, freshness
        )
        self.enterContext(follower)
        wait_for(lambda: get_era(state.revision), "the restored state")
        self.assertTrue(freshness.is_fresh(state.revision, Clock().now()))
        self.assertEqual(freshness.find_proof(state.revision).rules_version, 1)


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        self.store = self.enterContext(StoreStandIn())
        self.store.put("k", b"1")
        self.client = StoreClient(self.store.address, Clock())
        self.addCleanup(self.client.close)

    def get_failure(self, call, *arguments):
        with self.assertRaises(SourceError) as raised:
            call(*arguments)
        return raised.exception.failure

    def test_revision_of_an_answer_has_the_era_that_it_states(self):
        self.store.era = 3
        changes, revision = self.client.list_all(False)
        self.assertEqual(revision, make_revision(make_era(3), 2))
        self.assertEqual(changes[0].revision, revision)

    def test_answer_that_states_no_era_is_of_the_one_last_seen(self):
        self.store.era = 3
        _, revision = self.client.list_all(False)
        self.store.era = None
        self.assertEqual(self.client.list_all(False)[1], revision)

    def test_watch_whose_answer_is_of_a_later_era_brings_no_changes(self):
        _, revision = self.client.list_all(False)
        self.store.put("k", b"2")
        self.store.era = 1
        failure = self.get_failure(self.client.watch, revision, 0)
        self.assertIs(failure, SourceFailure.RESTORED)

    def test_answer_of_an_earlier_era_than_a_known_one_is_dropped(self):
        known = make_revision(make_era(2), 1)
        self.store.era = 1
        for call, arguments in (
            (self.client.watch, (known, 0)),
            (self.client.list_all, (False, known)),
        ):
            failure = self.get_failure(call, *arguments)
            self.assertIs(failure, SourceFailure.OUTDATED)

    def test_odd_era_is_a_failed_read_and_no_new_era(self):
        self.store.era = 1
        _, revision = self.client.list_all(False)
        for era in ("", "-1", "2.0", "x", "2, 2", "\xb2", "9" * 30):
            with self.subTest(era=era):
                self.store.era = era
                failure = self.get_failure(self.client.list_all, False)
                self.assertIs(failure, SourceFailure.UNREADABLE)
        self.store.era = 1
        self.assertEqual(self.client.list_all(False)[1], revision)

    def test_listing_below_what_was_known_is_of_a_new_era(self):
        self.store.era = None
        known = make_revision(make_era(0), 9)
        changes, revision = self.client.list_all(False, known)
        self.assertGreater(revision, known)
        self.assertEqual([change.revision for change in changes], [revision])
        self.store.era = 1
        later = self.client.list_all(False, revision)[1]
        self.assertEqual(later, make_revision(make_era(1), 2))

    def test_rewinds_of_one_era_do_not_reach_the_next_one(self):
        self.store.era = 1
        _, revision = self.client.list_all(False)
        for _ in range(100):
            revision = self.client.list_all(False, revision + 1)[1]
        self.assertEqual(get_restores(get_era(revision)), 1)

    def test_stale_listing_below_what_was_known_is_of_no_new_era(self):
        known = make_revision(make_era(0), 9)
        self.assertLess(self.client.list_all(True, known)[1], known)


class StateCase(unittest.TestCase):
    """State of a proxy whose store holds three upstreams in its first era."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.state = self.make_state()
        with InstanceStandIn("u1") as instance:
            self.entry = instance.make_entry()
        self.state.replace(self.make_listing(1), make_revision(make_era(0), 10), False)

    def make_state(self):
        return CatalogueState(self.clock, StoreDecoder())

    def make_entry(self, name, revision, **fields):
        return make_change(f"servers/{name}", revision, self.entry | fields)

    def make_listing(self, version, restores=0, names=("u1", "u2", "u3")):
        era = make_era(restores)
        return [make_change(RULES, make_revision(era, 2), make_config(version))] + [
            self.make_entry(name, make_revision(era, 3)) for name in names
        ]

    def apply(self, number, *changes, restores=0):
        revision = make_revision(make_era(restores), number)
        self.state.apply(
            [Change(c.key, revision, c.value, c.is_removed) for c in changes], revision
        )

    def remove(self, name, number, restores=0):
        removal = Change(f"servers/{name}", 0, b"", is_removed=True)
        self.apply(number, removal, restores=restores)

    def restore(self, **fields):
        self.state.replace(
            self.make_listing(**({"version": 1, "restores": 1} | fields)),
            make_revision(make_era(1), 4),
            False,
        )

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)
        self.state.expire_lapsed()
        self.state.expire_restraint()

    def list_used(self):
        return {
            item.id
            for item in self.state.view.instances.values()
            if item.state is InstanceState.READY
        }


class StateRestoreTest(StateCase):
    def test_version_in_force_is_not_left_for_the_one_of_the_copy(self):
        self.apply(11, make_change(RULES, 0, make_config(5)))
        self.restore()
        self.assertEqual(self.state.view.version, 5)
        self.assertEqual(self.state.carried_version, 5)
        self.apply(5, make_change(RULES, 0, make_config(6)), restores=1)
        self.assertEqual(self.state.view.version, 6)
        self.assertEqual(self.state.carried_version, 0)

    def test_version_that_is_written_again_is_no_longer_carried(self):
        self.apply(11, make_change(RULES, 0, make_config(5)))
        self.restore()
        self.apply(5, make_change(RULES, 0, make_config(5)), restores=1)
        self.assertEqual(self.state.view.version, 5)
        self.assertEqual(self.state.carried_version, 0)

    def test_upstream_that_the_copy_lacks_is_held_and_then_gone(self):
        self.restore(names=("u1", "u2"))
        self.advance(LAPSE_HOLD_MS - 1)
        self.assertEqual(self.list_used(), {"u1", "u2", "u3"})
        self.advance(1)
        self.assertEqual(self.list_used(), {"u1", "u2"})

    def test_upstream_that_was_leaving_stays_so_although_the_copy_shows_it_ready(self):
        self.apply(11, self.make_entry("u1", 0, state="draining"))
        self.restore()
        self.assertEqual(self.list_used(), {"u2", "u3"})
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.list_used(), {"u2", "u3"})

    def test_upstream_that_was_removed_is_not_used_while_its_old_entry_may_lapse(self):
        self.remove("u1", 11)
        self.restore()
        self.assertEqual(self.list_used(), {"u2", "u3"})
        self.remove("u1", 5, restores=1)
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.list_used(), {"u2", "u3"})

    def test_upstream_that_was_removed_is_used_if_its_old_entry_does_not_lapse(self):
        self.remove("u1", 11)
        self.restore()
        self.assertEqual(self.state.get_hold_remaining_ms(), RESTRAINT_MS)
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.list_used(), {"u1", "u2", "u3"})
        self.assertIsNone(self.state.get_hold_remaining_ms())

    def test_upstream_that_starts_again_after_a_restore_is_used_at_once(self):
        self.remove("u1", 11)
        self.apply(12, self.make_entry("u2", 0, state="draining"))
        self.restore()
        for name in ("u1", "u2"):
            self.apply(5, self.make_entry(name, 0, born=99), restores=1)
        self.assertEqual(self.list_used(), {"u1", "u2", "u3"})
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.state.view.instances["u1"].incarnation, 99)

    def test_incarnation_of_the_copy_does_not_replace_a_later_one(self):
        self.apply(11, self.make_entry("u1", 0, born=99))
        self.restore()
        self.assertEqual(self.state.view.instances["u1"].incarnation, 99)
        self.apply(5, self.make_entry("u1", 0, born=100), restores=1)
        self.assertEqual(self.state.view.instances["u1"].incarnation, 100)
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.state.view.instances["u1"].incarnation, 100)

    def test_earlier_incarnation_is_used_if_its_entry_does_not_lapse(self):
        self.apply(11, self.make_entry("u1", 0, born=99))
        self.restore()
        self.advance(RESTRAINT_MS)
        self.assertEqual(self.state.view.instances["u1"].incarnation, 1)

    def test_peer_that_was_further_in_an_earlier_era_takes_the_restored_state(self):
        peer = self.make_state()
        changes, _, revision = self.state.list_since(peer.revision)
        peer.replace(changes, revision, False)
        late = self.make_entry("u4", make_revision(make_era(0), 900))
        peer.apply([late], late.revision)
        self.restore()
        self.apply(5, make_change(RULES, 0, make_config(2)), restores=1)
        changes, is_whole, revision = self.state.list_since(peer.revision)
        self.assertTrue(is_whole)
        peer.replace(changes, revision, False)
        self.assertEqual(peer.revision, self.state.revision)
        self.assertEqual(peer.view.version, 2)
        self.clock.advance(LAPSE_HOLD_MS)
        peer.expire_lapsed()
        self.assertEqual(set(peer.view.instances), {"u1", "u2", "u3"})

    def test_state_of_an_earlier_era_changes_nothing(self):
        self.restore()
        before = self.state.view
        late = self.make_entry("u4", make_revision(make_era(0), 900))
        self.assertFalse(self.state.apply([late], late.revision))
        self.state.replace([late], late.revision, False)
        self.assertEqual(self.state.view.revision, before.revision)
        self.assertEqual(self.state.view.instances, before.instances)

    def test_proxy_that_starts_on_the_copy_takes_a_newer_version_from_a_peer(self):
        self.apply(11, make_change(RULES, 0, make_config(5)))
        self.restore()
        newcomer = self.make_state()
        newcomer.replace(
            self.make_listing(1, restores=1), make_revision(make_era(1), 4), False
        )
        self.assertEqual(newcomer.view.version, 1)
        changes, _, revision = self.state.list_since(0)
        newcomer.replace(changes, revision, False)
        self.assertEqual(newcomer.view.version, 5)
        self.assertEqual(newcomer.carried_version, 5)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.integers(0, 2)),
        st.tuples(st.just("remove"), st.integers(0, 2)),
        st.tuples(st.just("copy"), st.just(0)),
        st.tuples(st.just("restore"), st.just(0)),
        st.tuples(st.just("read"), st.integers(0, 1)),
        st.tuples(st.just("pull"), st.integers(0, 1)),
    ),
    max_size=25,
)


class PlayedStore:
    """Store without a network, whose steps two proxies read and pull in any order."""

    def __init__(self, entry):
        self.entry = entry
        self.clock = ManualClock(0)
        self.states = [CatalogueState(self.clock, StoreDecoder()) for _ in range(2)]
        self.restores, self.number, self.writes = 0, 1, 0
        self.history = []
        self.saved = (1, [])

    def play(self, step, which):
        key = f"servers/u{which + 1}"
        if step == "put":
            self.write(key, json.dumps(self.entry | self.count_write()).encode())
        elif step == "remove":
            self.write(key, b"", is_removed=True)
        elif step == "copy":
            self.saved = (self.number, list(self.history))
        elif step == "restore":
            self.number, self.history = self.saved[0], list(self.saved[1])
            self.restores += 1
        elif step == "read":
            self.read(self.states[which])
        else:
            self.pull(self.states[which], self.states[1 - which])

    def count_write(self):
        self.writes += 1
        return {"slots": self.writes, "born": self.writes}

    def write(self, key, value, is_removed=False):
        self.number += 1
        self.history.append((key, self.number, value, is_removed))

    def make_changes(self, after=0):
        era = make_era(self.restores)
        return [
            Change(key, make_revision(era, number), value, is_removed)
            for key, number, value, is_removed in self.history
            if number > after
        ]

    def read(self, state):
        """Watch, or list if the era is another one."""
        revision = make_revision(make_era(self.restores), self.number)
        if get_restores(get_era(state.revision)) == self.restores and state.revision:
            changes = [c for c in self.make_changes() if c.revision > state.revision]
            state.apply(changes, revision)
            return
        latest = {change.key: change for change in self.make_changes()}
        listed = [change for change in latest.values() if not change.is_removed]
        state.replace(listed, revision, False)

    def pull(self, state, peer):
        if peer.revision <= state.revision:
            return
        changes, is_whole, revision = peer.list_since(state.revision)
        if is_whole:
            state.replace(changes, revision, False)
        else:
            state.apply(changes, revision)

    def list_slots(self):
        latest = {change.key: change for change in self.make_changes()}
        return {
            change.key[-2:]: json.loads(change.value)["slots"]
            for change in latest.values()
            if not change.is_removed
        }


class DeliveryTest(unittest.TestCase):
    """What a proxy knew depended on where it stood when the store was restored."""

    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    @given(STEPS)
    def test_every_order_of_restores_ends_in_the_view_of_the_store(self, steps):
        with InstanceStandIn("u1") as instance:
            store = PlayedStore(instance.make_entry())
        for step, which in steps:
            store.play(step, which)
        store.read(store.states[0])
        store.pull(store.states[1], store.states[0])
        store.clock.advance(RESTRAINT_MS)
        for state in store.states:
            state.expire_lapsed()
            state.expire_restraint()
            found = {name: item.slots for name, item in state.view.instances.items()}
            self.assertEqual(found, store.list_slots())


if __name__ == "__main__":
    unittest.main()
