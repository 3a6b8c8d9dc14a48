"""Membership component: exchanges with neighbors and detection of failed peers."""

import logging
import random
import threading

from damaskdyke.conf.tree import Vm, VmRole
from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import Address
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.membership.forwards import ForwardRecord, ForwardTable
from damaskdyke.membership.gossip import GossipQueue
from damaskdyke.membership.links import PeerLink
from damaskdyke.membership.parts import ExchangePart
from damaskdyke.membership.table import (
    MemberRecord,
    MemberState,
    MemberTable,
    decode_member,
    select_neighbors,
)
from damaskdyke.peers.client import PeerCallError, PeerPool
from damaskdyke.peers.gen.peer.ttypes import Exchange, Forward, Member
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.membership")

# Neighbors by place on the hash ring, and by pseudorandom order.
RING_NEIGHBOR_COUNT = 2
RANDOM_NEIGHBOR_COUNT = 2
GOSSIP_ITEMS_PER_EXCHANGE = 12
# Peers that are asked to reach an unreachable one.
MAX_INDIRECT_PROBES = 2
# For this time an unreachable peer is not selected as a neighbor.
UNREACHABLE_HOLD_MS = 10_000
# Interval of exchanges that request all records, which gossip may have missed.
FULL_EXCHANGE_INTERVAL_MS = 300_000
# Interval at which the links follow the neighbors.
LINK_REFRESH_MS = 500
# Interval of attempts to reach proxies that are not alive as far as known.
RECONNECT_INTERVAL_MS = 2_000
# A proxy that has received no exchange for this many gossip intervals may itself be cut
# off, so it marks no peer as dead.
SILENT_INTERVALS = 4


@components.register("membership")
class Membership(Component):
    """Keeps the member table and exchanges state with neighbors.

    Other components add their state to the exchanges as :class:`ExchangePart`.
    """

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        settings = kernel.settings
        self.clock = kernel.clock
        self.pool = PeerPool()
        own = MemberRecord(
            settings.peer_address, kernel.boot, settings.zone, MemberState.ALIVE, 1
        )
        self.table = MemberTable(own, kernel.clock)
        self.forwards = ForwardTable(kernel.clock)
        self._member_gossip: GossipQueue[MemberRecord] = GossipQueue(
            GOSSIP_ITEMS_PER_EXCHANGE
        )
        self._forward_gossip: GossipQueue[ForwardRecord] = GossipQueue(
            GOSSIP_ITEMS_PER_EXCHANGE
        )
        self._exchange_parts: list[ExchangePart] = []
        self._links: dict[Address, PeerLink] = {}
        self._unreachable_until: dict[Address, Millis] = {}
        # Guards the listed addresses.
        self._lock = threading.Lock()
        # Configured seeds and proxies in the platform's list, without this proxy.
        self._listed_addresses: set[Address] = set(settings.seeds) - {own.address}
        self._last_exchange_at: Millis | None = None
        self._full_exchange_at = Millis(0)
        # Members alive at the last refresh of the links, counted once for all requests.
        self._alive_count = 1

    def add_part(self, part: ExchangePart) -> None:
        """Add another component's state to all exchanges from now on."""
        self._exchange_parts.append(part)

    def start(self) -> None:
        """Start the exchanges with peers."""
        self.kernel.spawn("membership", self._run)

    def stop(self) -> None:
        """Close all connections to peers."""
        self.pool.close()

    # Queries of other components.

    def count_alive(self) -> int:
        """Return how many proxies are alive, this one included."""
        return len(self.table.list_alive())

    def count_proxies(self) -> int:
        """Return the number of members alive or of proxies listed, if that is larger.

        Budgets that the fleet shares are divided by it, so that a proxy cut off from
        its peers does not use their share.
        """
        return max(self._alive_count, len(self._listed_addresses) + 1)

    def list_zone(self) -> list[MemberRecord]:
        """Return the members of this proxy's zone that are alive, itself included."""
        zone = self.table.own.zone
        return [record for record in self.table.list_alive() if record.zone == zone]

    def has_known_peers(self) -> bool:
        """Return whether any other proxy is listed, or known and alive."""
        return bool(self._listed_addresses) or bool(self.table.list_others())

    def count_listed(self) -> int:
        """Return the number of other proxies in the settings or the platform's list."""
        with self._lock:
            return len(self._listed_addresses)

    def is_known(self, address: Address) -> bool:
        """Return whether an address belongs to a proxy that is listed or in the table.

        Dead and departed members are in the table until their records are dropped.
        """
        return address in self._listed_addresses or self.table.find(address) is not None

    def add_listed_proxies(self, vms: tuple[Vm, ...]) -> None:
        """Add the proxies among the platform's VMs to the addresses to contact."""
        own = self.table.own.address
        listed = {vm.address for vm in vms if vm.role is VmRole.PROXY}
        with self._lock:
            self._listed_addresses |= listed - {own}

    # Exchange.

    def build_exchange(self, want_all: bool = False) -> Exchange:
        """Return an exchange message with this proxy's state.

        Parameters
        ----------
        want_all : bool
            Whether the reply shall contain all members and forward addresses.
        """
        exchange = Exchange(
            sender=self.table.own.to_message(),
            tree_hash=b"",
            changed=[],
            members=[
                record.to_message() for record in self._member_gossip.next_batch()
            ],
            evidence=[],
            forwards=[
                self.forwards.to_message(record)
                for record in self._forward_gossip.next_batch()
            ],
            want_all=want_all,
            is_ready=False,
        )
        for part in self._exchange_parts:
            part.add_to_exchange(exchange)
        return exchange

    def answer_exchange(self, exchange: Exchange) -> Exchange:
        """Merge a peer's exchange message and return the reply to it."""
        self.receive_exchange(exchange)
        answer = self.build_exchange()
        if exchange.want_all:
            answer.members = [record.to_message() for record in self.table.all()]
            answer.forwards = self.forwards.to_messages()
        return answer

    def receive_exchange(self, exchange: Exchange) -> None:
        """Merge a peer's exchange message into the state of all components."""
        self._last_exchange_at = self.clock.now()
        self._unreachable_until.pop(Address(exchange.sender.address), None)
        self._merge_members([exchange.sender, *exchange.members])
        self._merge_forwards(exchange.forwards)
        for part in self._exchange_parts:
            part.receive_exchange(Address(exchange.sender.address), exchange)

    def exchange_with(self, address: Address, fresh: bool = False) -> Exchange:
        """Carry out one exchange with a peer and return its reply.

        Parameters
        ----------
        address : Address
            Peer address of the proxy.
        fresh : bool
            Whether to open a new connection instead of using an idle one.

        Raises
        ------
        PeerCallError
            If the peer does not reply within ``peer_timeout_ms``.
        """
        exchange = self.build_exchange(want_all=self._is_full_due())
        timeout_ms = self.kernel.settings.timing.peer_timeout_ms
        call = self.pool.call_on_new_connection if fresh else self.pool.call
        asked_at = self.clock.now()
        answer = call(address, timeout_ms, lambda client: client.exchange(exchange))
        self.receive_exchange(answer)
        for part in self._exchange_parts:
            part.record_answer(address, answer, asked_at)
        return answer

    def exchange_now(self) -> None:
        """Make all links exchange at once instead of at their next interval."""
        for link in list(self._links.values()):
            link.wake()

    def announce_forward(self, message: Forward) -> None:
        """Store the forward address of a ledger and queue it for gossip."""
        self._merge_forwards([message])

    def leave(self) -> None:
        """Mark this proxy as departed and report that to its neighbors."""
        record = self.table.mark(self.table.own.address, MemberState.LEFT)
        if record is None:
            return
        for address in list(self._links) or self._choose_seed_contacts():
            try:
                self.exchange_with(address)
            except PeerCallError:
                continue

    def _is_full_due(self) -> bool:
        """Return whether to request all records now, and restart the interval if so."""
        now = self.clock.now()
        if (
            self._full_exchange_at
            and now - self._full_exchange_at < FULL_EXCHANGE_INTERVAL_MS
        ):
            return False
        self._full_exchange_at = now
        return True

    def _merge_members(self, messages: list[Member]) -> None:
        try:
            records = [decode_member(message) for message in messages]
        except ValueError:
            return
        changed = self.table.merge(records)
        for record in changed:
            self._member_gossip.put(record.address, record, self.count_alive())
            log_event(
                logger,
                "member-changed",
                peer=record.address,
                state=record.state.name.lower(),
                incarnation=record.incarnation,
            )
            if record.state is not MemberState.ALIVE:
                self.pool.close_idle(record.address)
        if changed:
            self.bus.publish("members")

    def _merge_forwards(self, messages: list[Forward]) -> None:
        for record in self.forwards.merge(messages):
            self._forward_gossip.put(record.boot, record, self.count_alive())
            log_event(
                logger, "forward-learned", boot=record.boot, successor=record.successor
            )

    # Links and failure detection.

    def _run(self) -> None:
        reconnect_at = self.clock.now()
        while not self.kernel.is_stopping:
            self._refresh_links()
            self._alive_count = self.count_alive()
            if self.clock.now() >= reconnect_at:
                reconnect_at = self.clock.now() + RECONNECT_INTERVAL_MS
                self._reconnect_lost_member()
            self.kernel.wait(LINK_REFRESH_MS)

    def _reconnect_lost_member(self) -> None:
        """Contact one random proxy that is not alive as far as known.

        Without it, the parts of a fleet that was partitioned would not find each other
        after the partition has ended.
        """
        alive = set(self.table.list_others())
        lost = {record.address for record in self.table.all()} | self._listed_addresses
        lost -= alive | {self.table.own.address}
        if not lost:
            return
        try:
            self.exchange_with(random.choice(sorted(lost)), fresh=True)
        except PeerCallError:
            return

    def _has_recent_exchange(self) -> bool:
        """Return whether any peer's exchange message arrived recently."""
        max_age_ms = SILENT_INTERVALS * self.kernel.settings.timing.gossip_ms
        last_exchange_at = self._last_exchange_at
        return (
            last_exchange_at is not None
            and self.clock.now() - last_exchange_at < max_age_ms
        )

    def _refresh_links(self) -> None:
        wanted = self._choose_link_addresses()
        for address in set(self._links) - set(wanted):
            self._links.pop(address).end()
        for address in wanted:
            if address not in self._links:
                link = PeerLink(self, address)
                self._links[address] = link
                self.kernel.spawn(f"link-{address}", link.run)

    def _choose_link_addresses(self) -> list[Address]:
        """Return the neighbors to link to, seeds while no member is reachable."""
        now = self.clock.now()
        blocked = {key for key, until in self._unreachable_until.items() if until > now}
        others = [item for item in self.table.list_others() if item not in blocked]
        if not others:
            return self._choose_seed_contacts()
        return select_neighbors(
            self.table.own.address, others, RING_NEIGHBOR_COUNT, RANDOM_NEIGHBOR_COUNT
        )

    def _choose_seed_contacts(self) -> list[Address]:
        """Return the configured seeds and some of the other listed proxies."""
        with self._lock:
            seeds = sorted(self._listed_addresses)
        neighbors = select_neighbors(
            self.table.own.address, seeds, RING_NEIGHBOR_COUNT, RANDOM_NEIGHBOR_COUNT
        )
        configured = [item for item in self.kernel.settings.seeds if item in seeds]
        return list(dict.fromkeys(configured + neighbors))

    def report_unreachable(self, address: Address) -> None:
        """Find out, after failed exchanges, whether the peer or the path to it failed.

        The peer is marked as dead unless other members reach it, or this proxy
        receives no exchanges at all.
        """
        record = self.table.find(address)
        if record is None or record.state is not MemberState.ALIVE:
            return
        self._unreachable_until[address] = Millis(
            self.clock.now() + UNREACHABLE_HOLD_MS
        )
        if self._is_reached_by_others(address):
            log_event(logger, "path-failed", peer=address, reason="others-reach-it")
            return
        if not self._has_recent_exchange():
            return
        dead = self.table.mark(address, MemberState.DEAD)
        if dead is None:
            return
        self._member_gossip.put(address, dead, self.count_alive())
        self.pool.close_idle(address)
        log_event(logger, "member-changed", peer=address, state="dead")
        self.bus.publish("members")

    def _is_reached_by_others(self, address: Address) -> bool:
        """Return whether another member reaches a peer, by indirect probes."""
        helpers = [item for item in self.table.list_others() if item != address]
        timeout_ms = self.kernel.settings.timing.peer_timeout_ms
        for helper in helpers[:MAX_INDIRECT_PROBES]:
            try:
                if self.pool.call(
                    helper, 2 * timeout_ms, lambda client: client.ping_through(address)
                ):
                    return True
            except PeerCallError:
                continue
        return False

    def ping(self, address: Address) -> bool:
        """Return whether a peer replies to an exchange on a new connection."""
        timeout_ms = self.kernel.settings.timing.peer_timeout_ms
        exchange = self.build_exchange()
        try:
            self.pool.call_on_new_connection(
                address, timeout_ms, lambda client: client.exchange(exchange)
            )
        except PeerCallError:
            return False
        return True
