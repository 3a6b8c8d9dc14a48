"""Settings component: platform reader, relay between peers, and the lease."""

import logging
import random
import threading
from enum import Enum

from damaskdyke.core.clock import Millis
from damaskdyke.core.errors import ProxyError
from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.distribution.documents import (
    Version,
    read_document,
    read_version,
)
from damaskdyke.distribution.platform import Index, PlatformClient
from damaskdyke.distribution.store import CHANGING_OFFERS, Offer, Store
from damaskdyke.distribution.view import View
from damaskdyke.membership.component import Membership
from damaskdyke.membership.parts import ExchangePart
from damaskdyke.membership.rumors import RumorQueue
from damaskdyke.metrics.instruments import Metrics
from damaskdyke.peers.client import PeerCallError
from damaskdyke.peers.gen.peer.ttypes import BranchDocument, BranchVersion, Exchange
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.randomness import rank_by_score

logger = logging.getLogger("damaskdyke.settings")

READERS_PER_ZONE = 2
VERSION_BATCH = 16
RETRY_MS = 1_000
IDLE_CHECK_MS = 500
# Exchanges with unequal tree hashes before the full version list is asked for.
MISMATCHES_BEFORE_LIST = 3


class Standing(Enum):
    """How sure a proxy is that its settings are those in force."""

    BOOTING = "booting"
    CONFIRMED = "confirmed"
    ISOLATED = "isolated"


@components.register("settings")
class Settings(Component, ExchangePart):
    """The settings in force on this proxy, and how they get here."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        self.store = Store()
        self._clock = kernel.clock
        self._timing = kernel.settings.timing
        self._membership = kernel.get(Membership)
        self._metrics = kernel.get(Metrics)
        self._client = PlatformClient(kernel.settings.platform, self._count_read)
        self._rumors: RumorQueue[Version] = RumorQueue(VERSION_BATCH)
        self._lock = threading.Lock()
        self._pull_lock = threading.Lock()
        self._mismatches: dict[Address, int] = {}
        self._confirmed_at: Millis | None = None
        self._started_at = kernel.clock.now()
        self._is_started = False
        self._booting_peers: set[Address] = set()
        self.platform_reads = 0
        self._membership.add_part(self)
        self._metrics.observe("damaskdyke.settings.bad", self.store.count_bad)

    def start(self) -> None:
        """Begin to read the platform."""
        self.kernel.spawn("platform-reader", self._run)

    def stop(self) -> None:
        """Close the connections to the platform."""
        self._client.close()

    @property
    def view(self) -> View:
        """Return the settings in force."""
        return self.store.view

    # Lease.

    def standing(self) -> Standing:
        """Return whether the settings were confirmed within the lease."""
        if not len(self.store) or not self._is_compared():
            return Standing.BOOTING
        if self._is_confirmed():
            return Standing.CONFIRMED
        return Standing.ISOLATED

    def refresh(self) -> Standing:
        """Confirm the settings now if the lease ran out, as after a long pause."""
        standing = self.standing()
        if standing is not Standing.ISOLATED:
            return standing
        with self._lock:
            if self.standing() is Standing.ISOLATED:
                self._confirm_now()
        return self.standing()

    def _confirm_now(self) -> None:
        others = self._membership.table.list_others()
        for address in random.sample(others, min(2, len(others))):
            try:
                answer = self._membership.exchange_with(address, fresh=True)
            except PeerCallError:
                continue
            if answer.tree_hash != self.store.tree_hash:
                self._pull_all(address)
            return
        self._read_once()

    def _is_compared(self) -> bool:
        """Return whether this proxy may serve with the settings it has.

        A proxy that starts may be served an old revision by the platform, so it waits
        until it has compared its settings with a ready peer. Only where the whole
        fleet starts, and at least half of the listed peers say that they are starting
        too, or where no peer is listed, does it go on without one.
        """
        if not self._is_started:
            self._is_started = self._is_alone() or self._is_fleet_starting()
        return self._is_started

    def _is_alone(self) -> bool:
        return len(self.store) > 0 and not self._membership.has_known_peers()

    def _is_fleet_starting(self) -> bool:
        waited = self._clock.now() - self._started_at
        if waited < self._timing.boot_grace_ms:
            return False
        return 2 * len(self._booting_peers) >= self._membership.count_listed()

    def _note_standing(self, sender: Address, offer: Exchange) -> None:
        """Take note of whether a peer is ready, and compare with it if it is."""
        if self._is_started:
            return
        if not offer.is_ready:
            self._booting_peers.add(sender)
            return
        self._booting_peers.discard(sender)
        if offer.tree_hash == self.store.tree_hash:
            self._is_started = True
            return
        self.kernel.spawn("settings-compare", self._compare_with, sender)

    def _compare_with(self, address: Address) -> None:
        """Take in everything that a ready peer has, and then be ready."""
        if self._pull_all(address):
            self._is_started = True

    def _is_confirmed(self) -> bool:
        if not self._membership.has_known_peers():
            return True
        limit = self._clock.now() - self._timing.settings_lease_ms
        return self._confirmed_at is not None and self._confirmed_at >= limit

    def _confirm(self, asked_at: Millis) -> None:
        """Renew the lease from the moment at which this proxy asked.

        The moment of the answer does not count: after a pause an answer, or a message
        of a peer, may have lain in its socket for as long as the pause.
        """
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def note_answer(self, sender: Address, answer: Exchange, asked_at: Millis) -> None:
        """Renew the lease if a peer that was asked has the same tree."""
        if answer.tree_hash == self.store.tree_hash:
            self._confirm(asked_at)

    # Platform.

    def _run(self) -> None:
        revision = 0
        while not self.kernel.is_stopping:
            if not self._is_reader():
                self.kernel.wait(IDLE_CHECK_MS)
                continue
            try:
                revision = self._read_or_watch(revision)
            except ProxyError as error:
                log_event(
                    logger, "platform-failed", logging.WARNING, error=error.detail
                )
                self.kernel.wait(RETRY_MS + random.randrange(RETRY_MS))

    def _read_or_watch(self, revision: int) -> int:
        asked_at = self._clock.now()
        if revision == 0:
            index = self._client.read_index()
        else:
            index = self._client.watch(revision, self._find_watch_ms())
        if index is not None:
            self._take_index(index)
            revision = max(revision, index.revision)
        self._confirm(asked_at)
        return revision

    def _find_watch_ms(self) -> int:
        """Return a wait after which the lease still holds."""
        return min(self._timing.watch_ms, self._timing.settings_lease_ms // 2)

    def _read_once(self) -> None:
        asked_at = self._clock.now()
        try:
            self._take_index(self._client.read_index())
        except ProxyError:
            return
        self._confirm(asked_at)

    def _take_index(self, index: Index) -> None:
        for version in self.store.list_newer(list(index.versions)):
            document = self._client.read_branch(version)
            self._offer(document, "platform")

    def _is_reader(self) -> bool:
        """Return whether this proxy is one of its zone's readers.

        A proxy without settings or peers reads for itself.
        """
        if self.standing() is not Standing.CONFIRMED:
            return True
        zone = self._membership.list_zone()
        ranked = rank_by_score("reader", [record.address for record in zone])
        return self._membership.table.own.address in ranked[:READERS_PER_ZONE]

    def _count_read(self) -> None:
        self.platform_reads += 1
        self._metrics.platform_reads.add(1)

    # Relay.

    def fill(self, offer: Exchange) -> None:
        """Add the tree hash and the versions that changed of late."""
        offer.tree_hash = self.store.tree_hash
        offer.changed = [version.to_message() for version in self._rumors.take()]
        offer.is_ready = self.standing() is not Standing.BOOTING

    def read(self, sender: Address, offer: Exchange) -> None:
        """Pull what the sender has newer."""
        self._note_standing(sender, offer)
        versions = [read_version(message) for message in offer.changed]
        newer = self.store.list_newer(versions)
        if newer:
            self.kernel.spawn("settings-pull", self._pull, sender, newer)
            return
        if offer.tree_hash == self.store.tree_hash:
            self._mismatches.pop(sender, None)
            return
        count = self._mismatches.get(sender, 0) + 1
        self._mismatches[sender] = count
        if count >= MISMATCHES_BEFORE_LIST or not len(self.store):
            self._mismatches[sender] = 0
            self.kernel.spawn("settings-pull", self._pull_all, sender)

    def _pull_all(self, address: Address) -> bool:
        """Take in everything that a peer has newer; return whether all came."""
        timeout = self._timing.peer_timeout_ms
        asked_at = self._clock.now()
        try:
            messages = self._membership.pool.call(
                address, timeout, lambda client: client.list_versions()
            )
        except PeerCallError:
            return False
        is_whole = self._pull(address, [read_version(item) for item in messages])
        if is_whole:
            self._confirm(asked_at)
        return is_whole

    def _pull(self, address: Address, versions: list[Version]) -> bool:
        with self._pull_lock:
            for version in self.store.list_newer(versions):
                if not self._pull_one(address, version):
                    return False
        return True

    def _pull_one(self, address: Address, version: Version) -> bool:
        wanted = [version.to_message()]
        try:
            messages = self._membership.pool.call(
                address,
                self._timing.peer_timeout_ms,
                lambda client: client.fetch_branches(wanted),
            )
        except PeerCallError:
            return False
        for message in messages:
            self._offer(read_document(message), address)
        return True

    def _offer(self, document, source: str) -> None:
        result = self.store.offer(document)
        if result not in CHANGING_OFFERS:
            return
        log_event(
            logger,
            "branch-received",
            branch=document.version.name,
            version=document.version.number,
            source=source,
            result=result.value,
        )
        if result is Offer.REFUSED_BAD:
            self._metrics.bad_branches.add(1)
        members = self._membership.count_alive()
        self._rumors.put(document.version.name, document.version, members)
        self._membership.note_vms(self.view.vms)
        self.bus.publish("settings")
        self._membership.spread_now()

    # Calls from peers.

    def list_versions(self) -> list[BranchVersion]:
        """Return the newest version of every branch, for a peer."""
        return [version.to_message() for version in self.store.list_versions()]

    def fetch_branches(self, wanted: list[BranchVersion]) -> list[BranchDocument]:
        """Return the documents of the wanted branches, for a peer."""
        names = [read_version(message).name for message in wanted]
        return [document.to_message() for document in self.store.list_documents(names)]
