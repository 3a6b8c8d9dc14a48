"""A fleet of quota tables on a manual clock, with late and lost messages between them.

The proxies of a zone report their sends to each other after 50 to 150 ms, as totals,
and the hub relays them to the sender too. Two proxies of each zone announce its rates
to the other zones every 500 ms, as `ZoneRateExchange` does.
"""

import random

from damaskdyke.conf.vm import DEFAULT_BOUNDS
from damaskdyke.core.clock import ManualClock
from damaskdyke.dispatch.totals import OwnTotals, PeerTotals
from damaskdyke.fleet.contact import ZoneContact
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.quotas import FleetView, QuotaTable
from damaskdyke.workspaces.types import Workspace

ZONES = ("a", "b", "c")
STEP_MS = 5
UPDATE_MS = 250
ANNOUNCEMENT_MS = 500
REPORT_DELAYS_MS = (50, 150)
ANNOUNCEMENT_DELAYS_MS = (20, 150)
START_MS = 1_000_000
# Time after which upstreams have refused a request for good, and in which a refund
# reaches the peers.
REFUSAL_DELAYS_MS = (5, 240)
REFUND_DELAYS_MS = (50, 250)
# Proxies that start together hear from each other after this time, and know the size of
# the fleet after `SIZE_KNOWN_MS`.
CONTACT_MS = 1_000
SIZE_KNOWN_MS = 1_500
COUNTING_MS = 2_000


HUB = "10.0.0.1"


class QuotaProxy:
    """Quota table of one proxy, with what it knows of its zone."""

    def __init__(self, zone, number, boot, table, now):
        self.zone = zone
        self.number = number
        self.boot = boot
        self.table = table
        self.contact = ZoneContact(now)
        self.own_totals = OwnTotals()
        self.peer_totals = PeerTotals()

    def update_contact(self, now):
        self.table.set_contact(self.contact.get_state(True, now), now)

    def receive(self, sender, name, total, sent_at, now):
        self.contact.record_heard(now)
        if sender is self:
            self.contact.record_relayed(sent_at)
            return
        count = self.peer_totals.count_new(
            sender.number, sender.boot, name, total, True, now
        )
        if count:
            self.table.record_peer_send(name, now, count)


class QuotaFleet:
    """Proxies in three zones that admit the requests of workspaces."""

    def __init__(self, zone_proxies, workspaces, seed, loss=0.02, uptime_ms=60_000):
        self.clock = ManualClock(START_MS)
        self.random = random.Random(seed)
        self.seed = seed
        self.zone_proxies = zone_proxies
        self.loss = loss
        self.directory = Directory(workspaces)
        # Share of the sends that upstreams refuse, so that they do not run.
        self.refusal_share = 0.0
        # Whether zones hear from each other.
        self.is_cut = False
        # Zones in which no load report arrives, as while a hub does not relay them.
        self.silent_zones = set()
        # Proxies without a path to the others, as pairs of a zone and a proxy.
        self.isolated = set()
        self.boots = 0
        self.messages = {}
        # Times of the requests that ran, by workspace.
        self.runs = {item.name: [] for item in workspaces}
        self.asked = dict.fromkeys(self.runs, 0)
        self.refused = dict.fromkeys(self.runs, 0)
        self.admissions = []
        self.updates = self.schedule_updates()
        self.proxies = []
        self.restart_all(uptime_ms)

    def describe(self):
        limits = [
            (item.rate_per_second, item.burst) for item in self.directory.list_all()
        ]
        return f"{self.zone_proxies} proxies a zone, limits {limits}, seed {self.seed}"

    def restart_all(self, uptime_ms=0):
        """Replace every process by one without state; messages under way are lost."""
        now = self.clock.now()
        self.messages.clear()
        self.proxies = [
            [
                self.make_proxy(zone, number, now - uptime_ms)
                for number in range(self.zone_proxies)
            ]
            for zone in range(len(ZONES))
        ]
        self.started_at = now - uptime_ms
        if uptime_ms:
            self.introduce_all()

    def make_proxy(self, zone, number, started_at):
        table = QuotaTable(
            DEFAULT_BOUNDS, ZONES[zone], started_at, random.Random(self.random.random())
        )
        table.set_limits(self.directory, self.clock.now())
        self.boots += 1
        return QuotaProxy(zone, number, self.boots, table, started_at)

    def restart(self, zone, number):
        """Replace a process by one without state."""
        self.proxies[zone][number] = self.make_proxy(zone, number, self.clock.now())

    def list_proxies(self):
        return [proxy for zone in self.proxies for proxy in zone]

    def introduce_all(self):
        """Let every proxy know the fleet, as after some seconds of contact."""
        now = self.clock.now()
        for proxy in self.list_proxies():
            for other in ZONES:
                proxy.table.record_zone_heard(other, now)
            proxy.table.set_fleet(self.describe_fleet(proxy), now)

    @property
    def is_in_contact(self):
        return self.clock.now() - self.started_at >= CONTACT_MS

    def describe_fleet(self, proxy):
        if not self.is_in_contact:
            return FleetView(frozenset({ZONES[proxy.zone]}), is_size_known=False)
        now = self.clock.now()
        return FleetView(
            frozenset(ZONES),
            self.zone_proxies,
            self.zone_proxies,
            now - self.started_at >= SIZE_KNOWN_MS,
        )

    def set_workspaces(self, workspaces):
        self.directory = Directory(workspaces)
        for proxy in self.list_proxies():
            proxy.table.set_limits(self.directory, self.clock.now())

    def run(self, duration_ms, demands):
        """Let callers ask at random times.

        Each demand is a workspace, its requests a second, and the proxies that get them
        as pairs of a zone and a proxy, all if there are none.
        """
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            now = self.clock.now()
            self.deliver(now)
            self.tick(now)
            for name, per_second, proxies in demands:
                due = self.random.expovariate(1.0)
                expected = per_second * STEP_MS / 1_000
                while due < expected:
                    self.ask(name, proxies, now)
                    due += self.random.expovariate(1.0)

    def ask(self, name, proxies, now):
        if proxies:
            zone, number = self.random.choice(proxies)
        else:
            zone = self.random.randrange(len(ZONES))
            number = self.random.randrange(self.zone_proxies)
        proxy = self.proxies[zone][number]
        proxy.update_contact(now)
        admission = proxy.table.admit(self.directory.find(name), now)
        self.asked[name] += 1
        if not admission.is_allowed:
            self.refused[name] += 1
            self.admissions.append(admission)
            return
        proxy.table.record_own_send(name, now)
        if proxy.contact.may_use(HUB, now):
            proxy.contact.record_sent(HUB, now, now)
        total = proxy.own_totals.add(name, now)
        self.send(REPORT_DELAYS_MS, self.report, proxy, name, total, now)
        if self.refusal_share and self.random.random() < self.refusal_share:
            self.send(REFUSAL_DELAYS_MS, self.refund, proxy, name, now)
        else:
            self.runs[name].append(now)

    def report(self, sender, name, total, sent_at, now):
        for proxy in self.list_receivers(sender):
            proxy.receive(sender, name, total, sent_at, now)

    def refund(self, sender, name, sent_at, now):
        if sender.table.refund_own_send(name, sent_at, now):
            self.send(REFUND_DELAYS_MS, self.report_refund, sender, name)

    def report_refund(self, sender, name, now):
        for proxy in self.list_receivers(sender):
            if proxy is not sender:
                proxy.table.refund_peer_send(name, now)

    def list_receivers(self, sender):
        """Return the proxies that a load report reaches, usually the sender too."""
        is_silent = sender.zone in self.silent_zones
        if not self.is_in_contact or is_silent or self.is_isolated(sender):
            return []
        return [
            proxy
            for proxy in self.proxies[sender.zone]
            if not self.is_isolated(proxy) and self.random.random() >= self.loss
        ]

    def is_isolated(self, proxy):
        return (proxy.zone, proxy.number) in self.isolated

    def tick(self, now):
        """Let proxies whose time has come update their shares and announce rates."""
        for zone, number, is_due in self.updates.get(now % ANNOUNCEMENT_MS, ()):
            proxy = self.proxies[zone][number]
            table = proxy.table
            if zone not in self.silent_zones and not self.is_isolated(proxy):
                # Of the hub and the readers one sends a heartbeat about as often.
                proxy.contact.record_message(now)
            proxy.update_contact(now)
            table.set_fleet(self.describe_fleet(proxy), now)
            rates = table.list_zone_rates(now)
            has_started = now - self.started_at >= COUNTING_MS
            if number >= 2 or not is_due or not has_started or self.is_cut:
                continue
            if proxy.contact.find_silence(True, now) is not None:
                continue
            for other in range(len(ZONES)):
                if other != zone and self.random.random() >= self.loss:
                    delays_ms = ANNOUNCEMENT_DELAYS_MS
                    self.send(delays_ms, self.announce, zone, other, rates)

    def schedule_updates(self):
        """Return the proxies that update at each time of an interval, by that time.

        Each announces at the first of its two times, if it is an announcer.
        """
        updates = {}
        for zone in range(len(ZONES)):
            for number in range(self.zone_proxies):
                phase = (zone * 167 + number * 37) // STEP_MS * STEP_MS
                for offset in (0, UPDATE_MS):
                    time = (phase + offset) % ANNOUNCEMENT_MS
                    updates.setdefault(time, []).append((zone, number, not offset))
        return updates

    def announce(self, zone, other, rates, now):
        for proxy in self.proxies[other]:
            if self.is_isolated(proxy):
                continue
            proxy.table.record_zone_heard(ZONES[zone], now)
            for name, per_second in rates:
                proxy.table.record_zone_rate(ZONES[zone], name, per_second, now)

    def send(self, delays_ms, handle, *args):
        due_at = self.clock.now() + self.random.randrange(*delays_ms)
        due_at -= due_at % STEP_MS
        self.messages.setdefault(due_at, []).append((handle, args))

    def deliver(self, now):
        for handle, args in self.messages.pop(now, ()):
            handle(*args, now)


def make_workspace(name="w", rate=20.0, burst=20.0):
    return Workspace(name, (f"key-{name}",), None, rate, burst)
