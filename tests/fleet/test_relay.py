import errno
import random
import socket
import unittest
import zlib
from unittest import mock

from damaskdyke.catalogue.state import LAPSE_HOLD_MS, CatalogueState
from damaskdyke.catalogue.types import Change
from damaskdyke.core.clock import Clock, ManualClock
from damaskdyke.fleet.gen.fleet.Relay import Processor
from damaskdyke.fleet.gen.fleet.ttypes import News, ViewChange, ViewPart
from damaskdyke.fleet.messages import (
    MAX_VALUE_BYTES,
    DatagramError,
    compress_value,
    decode_datagram,
    encode_datagram,
)
from damaskdyke.fleet.relay import RelayClient, RelayError, RelayHandler, decode_part
from damaskdyke.peers.server import PeerServer
from damaskdyke.peers.traffic import Traffic
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.testbed.instance import InstanceStandIn
from damaskdyke.testbed.processes import get_free_port
from damaskdyke.utils.sockets import accept_connections
from tests.catalogue.test_state import make_change

SEED = 11
FUZZ_MESSAGES = 200


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.state = CatalogueState(Clock(), StoreDecoder())
        self.state.replace([Change("k", 3, b"v")], 3, False)
        self.port = get_free_port("127.0.0.1")
        self.client = RelayClient(self.port, Traffic(), Clock())

    def serve(self, handler):
        address = f"127.0.0.1:{self.port}"
        self.enterContext(PeerServer(address, Processor(handler), Traffic()))

    def test_bytes_that_are_no_call_do_not_end_the_relay(self):
        self.serve(RelayHandler(self.state, Clock()))
        rng = random.Random(SEED)
        for _ in range(FUZZ_MESSAGES):
            data = rng.randbytes(rng.randrange(1, 60))
            if rng.random() < 0.5:
                data = len(data).to_bytes(4, "big") + data
            with socket.create_connection(("127.0.0.1", self.port), 5) as connection:
                connection.sendall(data)
        changes, is_whole, revision = self.client.fetch("127.0.0.1", 0)
        self.assertEqual([change.key for change in changes], ["k"])
        self.assertEqual((is_whole, revision), (True, 3))

    def test_large_value_arrives_whole_and_crosses_the_link_compressed(self):
        # All proxies of a zone fetch a configuration at once from one reader.
        value = b'{"name": "w", "api_keys": []}' * 5_000
        self.state.apply([Change("k", 4, value)], 4)
        traffic = Traffic()
        self.client = RelayClient(self.port, traffic, Clock())
        self.serve(RelayHandler(self.state, Clock()))
        changes, _, revision = self.client.fetch("127.0.0.1", 3)
        self.assertEqual((changes, revision), ([Change("k", 4, value)], 4))
        self.assertLess(traffic.received, len(value) / 5)

    def test_peer_that_learns_late_of_a_lapsed_entry_does_not_prolong_its_hold(self):
        """Each proxy that a removal reached began the hold anew."""
        clock = ManualClock(10_000)
        reader, peer = (CatalogueState(clock, StoreDecoder()) for _ in range(2))
        instance = self.enterContext(InstanceStandIn("u1"))
        listed = [make_change("servers/u1", 3, instance.make_entry())]
        for state in (reader, peer):
            state.replace(listed, 3, False)
        reader.apply([Change("servers/u1", 4, b"", True, True)], 4)
        self.serve(RelayHandler(reader, clock))
        client = RelayClient(self.port, Traffic(), clock)
        clock.advance(LAPSE_HOLD_MS - 100)
        changes, _, revision = client.fetch("127.0.0.1", 3)
        peer.apply(changes, revision)
        self.assertIn("u1", peer.view.instances)
        clock.advance(100)
        self.assertEqual(peer.expire_lapsed(), ["u1"])
        third = CatalogueState(clock, StoreDecoder())
        third.replace(listed, 3, False)
        changes, _, revision = client.fetch("127.0.0.1", 3)
        third.apply(changes, revision)
        self.assertNotIn("u1", third.view.instances)

    def test_damaged_compressed_value_is_an_error_of_the_relay(self):
        whole = compress_value(b"x" * 5_000)
        too_large = zlib.compress(bytes(2 * MAX_VALUE_BYTES))
        for value in (b"", b"x" * 100, whole[:-1], too_large):
            with self.subTest(value=value[:20]):
                change = ViewChange("k", 4, value, False, False, True)
                with self.assertRaises(DatagramError):
                    decode_part(ViewPart([change], False, 4), 0)

    def test_datagram_that_would_take_much_memory_is_invalid(self):
        values = [bytes([n]) * MAX_VALUE_BYTES for n in range(3)]
        for count, is_valid in ((2, True), (3, False)):
            changes = [
                ViewChange(f"k{n}", 4, compress_value(value), False, False, True)
                for n, value in enumerate(values[:count])
            ]
            datagram = News("10.0.0.1", "a", 1, 1, 4, changes=changes, base_revision=3)
            data = encode_datagram(datagram)
            with self.subTest(count=count):
                if is_valid:
                    self.assertEqual(len(decode_datagram(data).changes), 2)
                else:
                    self.assertRaises(DatagramError, decode_datagram, data)

    def test_answer_with_a_damaged_part_is_an_error_of_the_relay(self):
        change = ViewChange("k", 1, b"", False, False)
        for part in (
            ViewPart(None, True, 3),
            ViewPart([change], True, None),
            ViewPart([change], True, -1),
            ViewPart([ViewChange(None, 1, b"", False, False)], True, 3),
            ViewPart([ViewChange("k", None, b"", False, False)], True, 3),
        ):
            with self.subTest(part):
                handler = mock.Mock()
                handler.fetch_view.return_value = part
                self.port = get_free_port("127.0.0.1")
                self.serve(handler)
                client = RelayClient(self.port, Traffic(), Clock())
                with self.assertRaises(RelayError):
                    client.fetch("127.0.0.1", 0)
        self.assertEqual(decode_part(ViewPart([change], None, 3), 0)[1:], (False, 3))


class AcceptTest(unittest.TestCase):
    def test_lack_of_descriptors_does_not_end_the_listener(self):
        listener = mock.Mock()
        listener.accept.side_effect = [
            OSError(errno.EMFILE, "too many open files"),
            OSError(errno.ECONNABORTED, "aborted"),
            ("connection", ("127.0.0.1", 1)),
        ]
        listener.getsockopt.return_value = 1
        self.assertEqual(next(accept_connections(listener))[0], "connection")

    def test_closed_listener_ends_the_loop(self):
        listener = socket.create_server(("127.0.0.1", 0))
        listener.close()
        self.assertEqual(list(accept_connections(listener)), [])
