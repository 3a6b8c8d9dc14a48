"""Zones whose readers of the store are killed, with gossip, relay and a store."""

import time
import unittest
from contextlib import ExitStack

from damaskdyke.catalogue.follower import Follower
from damaskdyke.catalogue.reading import STARTUP_DELAY_MS, ReadingRole
from damaskdyke.catalogue.state import CatalogueState
from damaskdyke.conf.vm import DEFAULT_BOUNDS
from damaskdyke.core.clock import Clock
from damaskdyke.fleet.gen.fleet.Relay import Processor
from damaskdyke.fleet.gossip import GossipChannel
from damaskdyke.fleet.members import READERS_PER_ZONE, FleetMembers
from damaskdyke.fleet.relay import RelayClient, RelayHandler
from damaskdyke.peers.server import PeerServer
from damaskdyke.peers.traffic import Traffic
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.platform.store import StoreClient
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.networks import reserve_network
from damaskdyke.testbed.processes import wait_for
from damaskdyke.testbed.store import StoreStandIn
from tests.catalogue.test_state import make_config
from tests.fleet.settings import make_settings

GOSSIP_PORT = 17_710
RELAY_PORT = 17_711


class CatalogueProxy(ExitStack):
    """The part of a proxy that follows the catalogue."""

    def __init__(self, network, number, zone, store):
        super().__init__()
        settings = make_settings(
            network, number, zone, GOSSIP_PORT, RELAY_PORT, store.address
        )
        clock, traffic = Clock(), Traffic()
        members = FleetMembers(settings.ip, zone)
        self.state = CatalogueState(clock, StoreDecoder())
        self.gossip = GossipChannel(settings, Clock().now(), members, clock)
        self.follower = Follower(
            self.state,
            StoreClient(store.address, clock),
            ReadingRole(members, STARTUP_DELAY_MS),
            RelayClient(RELAY_PORT, traffic, clock),
            clock,
            self.gossip.announce,
        )
        self.gossip.get_revision = lambda: self.state.revision
        self.gossip.is_reading = lambda: self.follower.is_reading
        self.gossip.list_changes = self.state.list_since
        self.gossip.on_changes = self.follower.apply_pushed
        self.gossip.on_revision = self.follower.record_revision
        self.follower.on_reading = self.gossip.announce
        relay = PeerServer(
            f"{settings.ip}:{RELAY_PORT}",
            Processor(RelayHandler(self.state, clock)),
            traffic,
        )
        for part in (relay, self.gossip, self.follower):
            self.enter_context(part)


class TakeoverTest(unittest.TestCase):
    """Leaving upstreams got requests past the bound after readers were killed."""

    def test_removal_reaches_the_zone_within_the_bound_after_its_readers_end(self):
        store = self.enterContext(StoreStandIn())
        instance = self.enterContext(InstanceStandIn("u1"))
        network = self.enterContext(reserve_network())
        store.put("op/config", make_config(1))
        store.put("servers/u1", instance.make_entry())
        proxies = [
            self.enterContext(CatalogueProxy(network, n, "a", store))
            for n in range(1, 7)
        ]
        wait_for(
            lambda: all(item.state.view.is_usable for item in proxies), "the views"
        )

        def list_readers():
            return [item for item in proxies if item.follower.is_reading]

        # Until all of them know who reads.
        time.sleep(3)
        wait_for(lambda: len(list_readers()) == READERS_PER_ZONE, "the readers")
        readers = list_readers()
        for reader in readers:
            # The zone hears of them a last time.
            reader.gossip.announce()
        time.sleep(0.05)
        for reader in readers:
            reader.close()
        store.remove("servers/u1")
        removed_at = Clock().now()
        left = [item for item in proxies if item not in readers]
        wait_for(
            lambda: not any(item.state.view.instances for item in left), "the removal"
        )
        self.assertLess(Clock().now() - removed_at, DEFAULT_BOUNDS.drain_ms)
