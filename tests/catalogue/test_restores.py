import unittest

from damaskdyke.catalogue.follower import Follower
from damaskdyke.catalogue.reading import ReadingRole
from damaskdyke.catalogue.state import CatalogueState
from damaskdyke.core.clock import Clock
from damaskdyke.fleet.members import FleetMembers
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.platform.store import StoreClient
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.processes import wait_for
from damaskdyke.testbed.store import StoreStandIn
from tests.catalogue.test_follower import NoPeers
from tests.catalogue.test_state import make_config

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


if __name__ == "__main__":
    unittest.main()
