import hashlib
import unittest

from damaskdyke.core.ids import Address, BranchName
from damaskdyke.distribution.component import Settings, SettingsStatus
from damaskdyke.distribution.documents import Document, Version
from damaskdyke.membership.component import Membership
from damaskdyke.peers.gen.peer.ttypes import Exchange, Member
from tests.kernels import make_kernel

PEERS = (Address("127.0.0.5:1"), Address("127.0.0.6:1"), Address("127.0.0.7:1"))


def make_document(number, text=b""):
    version = Version(BranchName("pumps"), number, hashlib.sha256(text).digest())
    return Document(version, text)


class BootTest(unittest.TestCase):
    """A proxy must not serve old settings after a start or a suspension.

    The platform may answer with an old revision, and messages may wait in a socket.
    """

    def setUp(self):
        self.kernel = make_kernel(seeds=PEERS)
        self.settings = self.kernel.get(Settings)
        self.membership = self.kernel.get(Membership)
        self.settings.store.offer(make_document(1))

    def receive(self, peer, is_ready, tree_hash=None):
        """Deliver an exchange that a peer started."""
        tree_hash = self.settings.store.tree_hash if tree_hash is None else tree_hash
        member = Member(peer, 5, "suva", 0, 1)
        exchange = Exchange(member, tree_hash, [], [], [], [], False, is_ready)
        self.membership.receive_exchange(exchange)
        return exchange

    def receive_answer(self, peer, asked_at, tree_hash=None):
        """Deliver a ready peer's answer to an exchange sent at ``asked_at``."""
        answer = self.receive(peer, True, tree_hash)
        self.settings.record_answer(peer, answer, asked_at)

    def test_booting_peer_does_not_make_ready(self):
        self.receive(PEERS[0], is_ready=False)
        self.assertIs(self.settings.status(), SettingsStatus.BOOTING)

    def test_ready_peer_with_the_same_tree_makes_ready(self):
        self.receive_answer(PEERS[0], self.kernel.clock.now())
        self.assertIs(self.settings.status(), SettingsStatus.CONFIRMED)

    def test_delayed_message_does_not_renew_the_lease(self):
        asked_at = self.kernel.clock.now()
        self.receive_answer(PEERS[0], asked_at)
        self.kernel.clock.advance(60_000)
        self.receive(PEERS[0], is_ready=True)
        self.assertIs(self.settings.status(), SettingsStatus.ISOLATED)
        self.receive_answer(PEERS[1], asked_at)
        self.assertIs(self.settings.status(), SettingsStatus.ISOLATED)
        self.receive_answer(PEERS[1], self.kernel.clock.now())
        self.assertIs(self.settings.status(), SettingsStatus.CONFIRMED)

    def test_peer_with_a_different_tree_does_not_renew_the_lease(self):
        self.receive_answer(PEERS[0], self.kernel.clock.now())
        self.kernel.clock.advance(60_000)
        self.receive_answer(PEERS[0], self.kernel.clock.now(), tree_hash=b"other")
        self.assertIs(self.settings.status(), SettingsStatus.ISOLATED)

    def test_ready_peer_that_cannot_be_read_does_not_make_ready(self):
        self.receive(PEERS[0], is_ready=True, tree_hash=b"other")
        self.assertIs(self.settings.status(), SettingsStatus.BOOTING)

    def test_proxy_without_messages_from_peers_never_becomes_ready(self):
        self.kernel.clock.advance(1_000_000)
        self.assertIs(self.settings.status(), SettingsStatus.BOOTING)

    def test_fleet_that_starts_as_a_whole_becomes_ready(self):
        self.receive(PEERS[0], is_ready=False)
        self.kernel.clock.advance(self.kernel.settings.timing.boot_grace_ms)
        self.assertIs(self.settings.status(), SettingsStatus.BOOTING)
        self.receive(PEERS[1], is_ready=False)
        self.assertIs(self.settings.status(), SettingsStatus.ISOLATED)
        self.receive_answer(PEERS[1], self.kernel.clock.now())
        self.assertIs(self.settings.status(), SettingsStatus.CONFIRMED)

    def test_proxy_without_listed_peers_is_ready_with_settings(self):
        kernel = make_kernel()
        settings = kernel.get(Settings)
        self.assertIs(settings.status(), SettingsStatus.BOOTING)
        settings.store.offer(make_document(1))
        self.assertIs(settings.status(), SettingsStatus.CONFIRMED)
