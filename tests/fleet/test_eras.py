"""Eras of the store in the messages between proxies."""

import socket
import unittest

from damaskdyke.catalogue.revisions import get_number, make_era, make_revision
from damaskdyke.catalogue.state import CatalogueState
from damaskdyke.catalogue.types import Change
from damaskdyke.core.clock import Clock
from damaskdyke.fleet.gen.fleet.ttypes import FreshnessProof, News, ViewChange
from damaskdyke.fleet.messages import (
    DatagramError,
    decode_datagram,
    decode_view_change,
    encode_change,
    encode_datagram,
    get_revision,
    set_revision,
)
from damaskdyke.fleet.relay import RelayHandler, decode_part
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.testbed.processes import wait_for
from tests.fleet.test_gossip import GOSSIP_PORT, FleetCase

ERA = make_era(3)
RESTORED = make_revision(ERA, 7)


def make_state(revision):
    """Return a catalogue that was read at a revision."""
    state = CatalogueState(Clock(), StoreDecoder())
    state.replace([Change("k", revision, b"v")], revision, False)
    return state


class MessageTest(unittest.TestCase):
    def test_revision_of_a_restored_store_arrives_whole(self):
        datagram = News("10.0.0.1", "a", 1, 1, proof=FreshnessProof(1, 2))
        change = Change("k", RESTORED, b"v")
        datagram.changes = [encode_change(change, 0)]
        set_revision(datagram, RESTORED)
        set_revision(datagram.proof, RESTORED)
        received = decode_datagram(encode_datagram(datagram))
        self.assertEqual(get_revision(received), RESTORED)
        self.assertEqual(get_revision(received.proof), RESTORED)
        self.assertEqual(decode_view_change(received.changes[0], 0), change)

    def test_proof_or_change_of_an_odd_era_makes_a_datagram_invalid(self):
        for era in (-1, 2**23):
            proof = FreshnessProof(1, 2, 3, era)
            change = ViewChange("k", 1, b"", False, False, None, era)
            for parts in ({"proof": proof}, {"changes": [change]}):
                with self.subTest(era=era, parts=parts):
                    datagram = News("10.0.0.1", "a", 1, 1, 1, **parts)
                    with self.assertRaises(DatagramError):
                        decode_datagram(encode_datagram(datagram))


class EarlierProxyTest(unittest.TestCase):
    """Proxies of the version before use the number of a revision, and know no era."""

    def test_proxies_of_both_versions_watched_from_revisions_that_no_store_has(self):
        handler = RelayHandler(make_state(RESTORED), Clock())
        part = handler.fetch_view(3, None)
        self.assertTrue(part.is_whole)
        self.assertEqual(part.revision, get_number(RESTORED))
        self.assertEqual(part.changes[0].revision, get_number(RESTORED))
        self.assertEqual(decode_part(part, 0)[2], RESTORED)

    def test_proxy_with_the_same_era_is_sent_only_what_it_lacks(self):
        state = make_state(RESTORED)
        state.apply([Change("l", RESTORED + 1, b"v")], RESTORED + 1)
        part = RelayHandler(state, Clock()).fetch_view(get_number(RESTORED), ERA)
        self.assertFalse(part.is_whole)
        self.assertEqual([change.key for change in part.changes], ["l"])


class ReaderTest(FleetCase):
    def test_proxies_relied_on_readers_that_were_behind_by_an_era(self):
        fleet = self.start_fleet("aa")
        members = self.member_lists[1]

        def is_read():
            return bool(members.list_readers(Clock().now()))

        fleet[0].is_reading = lambda: True
        fleet[0].get_revision = lambda: make_revision(make_era(2), 900)
        wait_for(is_read, "the reader")
        fleet[1].get_revision = lambda: RESTORED
        wait_for(lambda: not is_read(), "the reader to count no more")
        fleet[0].get_revision = lambda: RESTORED
        wait_for(is_read, "the reader of the same era")

    def test_proxies_relied_on_readers_that_do_not_notice_a_restore(self):
        gossip = self.start(1, "a")
        (members,) = self.member_lists
        heard = []
        gossip.on_revision = lambda *args: heard.append(args)
        sender = self.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        datagram = News(f"{self.network}.2", "a", 1, 1, 900, is_reading=True)
        for era in (None, 0):
            datagram.era, datagram.sequence = era, datagram.sequence + 1
            heard.clear()
            sender.sendto(encode_datagram(datagram), (f"{self.network}.1", GOSSIP_PORT))
            wait_for(lambda: heard, "the revision")
            is_known = era is not None
            with self.subTest(era=era):
                self.assertEqual(heard, [(datagram.ip, 900, is_known, True)])
                readers = members.list_readers(Clock().now())
                self.assertEqual(bool(readers), is_known)

    def test_changes_that_are_pushed_keep_their_era(self):
        fleet = self.start_fleet("aa")
        pushed = []
        fleet[1].on_changes = lambda *args: pushed.append(args)
        change = Change("k", RESTORED, b"v")
        bases = []

        def list_changes(base):
            bases.append(base)
            return ([change], False, RESTORED) if base else ([], True, RESTORED - 1)

        fleet[0].is_reading = lambda: True
        fleet[0].get_revision = lambda: RESTORED
        fleet[0].list_changes = list_changes
        fleet[0].announce()
        wait_for(lambda: bases, "the first announcement")
        fleet[0].announce()
        wait_for(lambda: pushed, "the change")
        ip = f"{self.network}.1"
        self.assertEqual(pushed[0], (ip, RESTORED - 1, [change], RESTORED))
