"""Tells all proxies which requests crashed upstreams, and which were served since.

Load pattern: reports are rare, but urgent: a caller repeats such a request at another
proxy some milliseconds after the answer. Each report is therefore sent to the whole
zone and to members of each other zone by the thread that saw the crash, before the
request is answered or sent again. As datagrams get lost, it is repeated for about 2 s;
a proxy that asks another one for members, as it does when it starts, is told of all. A
report carries its age, so that late copies are recognised on any clock.
"""

import heapq
import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from damaskdyke.catalogue.types import Instance
from damaskdyke.core.clock import MILLIS_PER_SECOND, Clock, Millis
from damaskdyke.core.ids import RequestId, UpstreamId, ZoneName
from damaskdyke.dispatch.quarantine import (
    Fingerprint,
    QuarantineState,
    QuarantineTable,
)
from damaskdyke.fleet.gen.fleet.ttypes import News, RequestReport
from damaskdyke.fleet.messages import make_relayed
from damaskdyke.utils.logs import log_event
from damaskdyke.utils.threads import spawn_restarting

logger = logging.getLogger("damaskdyke.fleet")

# Times after a report at which it is repeated.
REPEAT_DELAYS_MS = (30, 100, 300, 700, 1_300, 1_900)
# Longest time for which the repeating thread does not look for new reports.
MAX_SLEEP_MS = REPEAT_DELAYS_MS[0]
# Entries that fit into one datagram below the usual limit of a packet.
REPORTS_PER_DATAGRAM = 16
# Reports that are being repeated, at most; others are sent once.
MAX_REPEATED = 1_000
# Latest requests that a proxy is told of when it asks for members.
MAX_TOLD_REQUESTS = 64
# Time after which the same proxy is told again, and proxies that are told within it.
TOLD_AGAIN_MS = 2_000
MAX_TOLD_PROXIES = 1_000
# Value of the log field ``source`` for a crash that this proxy saw itself.
OWN_SOURCE = "own"


class ReportChannel(Protocol):
    """What sends and receives the reports; `GossipChannel` does."""

    handlers: list[Callable[[News, str], None]]

    @property
    def zone(self) -> ZoneName:
        """Availability zone of this proxy."""

    def make_datagram(self) -> News:
        """Return a datagram without content."""

    def send(self, datagram: News, ips: list[str]) -> None:
        """Send a datagram to proxies."""

    def send_to_zone(self, datagram: News) -> None:
        """Send a datagram to the other members of this zone."""

    def send_to_fleet(self, datagram: News) -> None:
        """Send a datagram to this zone and to some members of each other zone."""


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """Crash of an upstream while a request was in progress, or a good response to it.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    upstream : UpstreamId or None
        The upstream, ``None`` for a good response.
    incarnation : int or None
        Its incarnation.
    at : Millis
        Time of the event on the clock of this proxy.
    """

    fingerprint: Fingerprint
    upstream: UpstreamId | None
    incarnation: int | None
    at: Millis


class QuarantineExchange:
    """Quarantine table of this proxy, which it shares with the fleet.

    It is a context manager; no repeats are sent after the context.

    Parameters
    ----------
    clock : Clock
        Source of time.
    channel : ReportChannel or None
        Sends the reports; without it they stay on this proxy.
    """

    def __init__(self, clock: Clock, channel: ReportChannel | None = None):
        self._clock = clock
        self._channel = channel
        # Guards the table and what is to be repeated.
        self._lock = threading.Lock()
        self._table = QuarantineTable()
        # Heap of the time of the next repeat, a number that orders equal times, the
        # event, and the repeats so far.
        self._repeats: list[tuple[int, int, RequestEvent, int]] = []
        self._numbers = itertools.count()
        self._is_repeating = False
        # Time at which each proxy that asked for members was told lately.
        self._told_at: dict[str, Millis] = {}
        self._stopping = threading.Event()
        if channel is not None:
            channel.handlers.append(self.receive)

    def __enter__(self) -> "QuarantineExchange":
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()

    # Queries.

    @property
    def is_active(self) -> bool:
        """Return whether any request is recorded; if not, all are clear."""
        return not self._table.is_empty

    def get_state(self, fingerprint: Fingerprint) -> QuarantineState:
        """Return whether, and how, a request may be sent."""
        with self._lock:
            return self._table.get_state(fingerprint, self._clock.now())

    def get_remaining_ms(self, fingerprint: Fingerprint) -> int:
        """Return the time until a request is clear, 0 if it is."""
        with self._lock:
            return self._table.get_remaining_ms(fingerprint, self._clock.now())

    def count(self, state: QuarantineState) -> int:
        """Return the number of requests in a state other than clear."""
        with self._lock:
            entries = self._table.list_recent(self._clock.now())
        return sum(1 for entry in entries if entry.state is state)

    # Reports of this proxy.

    def record_end(
        self, fingerprint: Fingerprint, instance: Instance, request: RequestId
    ) -> None:
        """Record that an upstream crashed while a request was in progress there.

        The fleet is told before this returns.
        """
        event = RequestEvent(
            fingerprint, instance.id, instance.incarnation, self._clock.now()
        )
        if self._apply_end(event, OWN_SOURCE, request):
            self._publish(event)

    def record_good(self, fingerprint: Fingerprint, request: RequestId) -> None:
        """Record a good response; tell the fleet if the request was not clear."""
        now = self._clock.now()
        with self._lock:
            was_known = self._table.record_good(fingerprint, now)
        if not was_known:
            return
        log_event(
            logger,
            "request-cleared",
            request=request,
            fingerprint=fingerprint.hex(),
            source=OWN_SOURCE,
        )
        self._publish(RequestEvent(fingerprint, None, None, now))

    def _may_tell(self, ip: str) -> bool:
        """Return whether a proxy that asks for members is told now.

        The answer is many times as long as the question, whose sender may be forged.
        """
        now = self._clock.now()
        with self._lock:
            for told, at in list(self._told_at.items()):
                if now - at >= TOLD_AGAIN_MS:
                    del self._told_at[told]
            if ip in self._told_at or len(self._told_at) >= MAX_TOLD_PROXIES:
                return False
            self._told_at[ip] = now
        return True

    def _tell(self, ip: str) -> None:
        """Tell a proxy that asks for members of the recorded crashes.

        One that restarted has no other source of the reports sent before.
        """
        now = self._clock.now()
        with self._lock:
            entries = self._table.list_recent(now)[-MAX_TOLD_REQUESTS:]
        reports = [
            encode_request_report(RequestEvent(entry.fingerprint, *key, at), now)
            for entry in entries
            for key, at in entry.ends.items()
        ]
        starts = range(0, len(reports), REPORTS_PER_DATAGRAM)
        for start in starts:
            datagram = self._channel.make_datagram()
            datagram.requests = reports[start : start + REPORTS_PER_DATAGRAM]
            # Its zone was told when they happened.
            datagram.is_relayed = True
            self._channel.send(datagram, [ip])

    # Reports of others.

    def receive(self, datagram: News, sender: str) -> None:
        """Apply the reports of another proxy; relay those of another zone in this one.

        They are relayed first, as others may be about to send the request.
        """
        if datagram.wants_members and self.is_active and self._may_tell(sender):
            self._tell(sender)
        if not datagram.requests:
            return
        if datagram.zone != self._channel.zone and not datagram.is_relayed:
            relayed = make_relayed(datagram)
            relayed.requests = datagram.requests
            self._channel.send_to_zone(relayed)
        now = self._clock.now()
        for report in datagram.requests:
            event = decode_request_report(report, now)
            if event.upstream is not None:
                self._apply_end(event, datagram.ip)
                continue
            with self._lock:
                was_known = self._table.record_good(event.fingerprint, now, event.at)
            if was_known:
                log_event(
                    logger,
                    "request-cleared",
                    fingerprint=event.fingerprint.hex(),
                    source=datagram.ip,
                )

    def _apply_end(
        self, event: RequestEvent, source: str, request: RequestId | None = None
    ) -> bool:
        """Record a crash; return whether it is new."""
        now = self._clock.now()
        with self._lock:
            is_new = self._table.record_end(
                event.fingerprint, event.upstream, event.incarnation, event.at, now
            )
            count = self._table.count_ends(event.fingerprint)
        if is_new:
            log_event(
                logger,
                "upstream-ended",
                logging.WARNING,
                request=request,
                upstream=event.upstream,
                incarnation=event.incarnation,
                fingerprint=event.fingerprint.hex(),
                count=count,
                source=source,
            )
        return is_new

    # Sending.

    def _publish(self, event: RequestEvent) -> None:
        if self._channel is None:
            return
        self._send([event])
        with self._lock:
            is_left_out = len(self._repeats) >= MAX_REPEATED
            if not is_left_out:
                self._schedule(event, 0)
            has_thread = self._is_repeating
            self._is_repeating = has_thread or not is_left_out
        if is_left_out:
            log_event(
                logger,
                "repeat-left-out",
                logging.WARNING,
                fingerprint=event.fingerprint.hex(),
            )
            return
        if has_thread:
            return
        try:
            spawn_restarting("quarantine-repeats", self._repeat)
        except RuntimeError as error:
            # The system has no further thread; the next report tries again.
            with self._lock:
                self._is_repeating = False
            log_event(logger, "thread-refused", logging.ERROR, error=repr(error))

    def _schedule(self, event: RequestEvent, repeats: int) -> None:
        """Queue the next repeat of a report, if any; called with the lock held."""
        now = self._clock.now()
        for number, delay_ms in enumerate(REPEAT_DELAYS_MS[repeats:], repeats):
            due_at = event.at + delay_ms
            # A process that was suspended sends one of the repeats that it missed.
            if due_at > now:
                item = (due_at, next(self._numbers), event, number)
                heapq.heappush(self._repeats, item)
                return

    def _repeat(self) -> None:
        """Repeat reports until none is left. Runs in a thread that exists meanwhile."""
        while True:
            with self._lock:
                if not self._repeats or self._stopping.is_set():
                    self._is_repeating = False
                    return
                now = self._clock.now()
                due_at = self._repeats[0][0]
                events = self._take_due(now)
            if events:
                self._send(events)
            elif due_at > now:
                sleep_ms = min(due_at - now, MAX_SLEEP_MS)
                self._stopping.wait(sleep_ms / MILLIS_PER_SECOND)

    def _take_due(self, now: Millis) -> list[RequestEvent]:
        """Return the reports to repeat now, at most one datagram's.

        A crash is not repeated once the request is clear.
        """
        events = []
        while self._repeats and len(events) < REPORTS_PER_DATAGRAM:
            due_at, _, event, repeats = self._repeats[0]
            if due_at > now:
                break
            heapq.heappop(self._repeats)
            state = self._table.get_state(event.fingerprint, now)
            if event.upstream is not None and state is QuarantineState.CLEAR:
                continue
            events.append(event)
            self._schedule(event, repeats + 1)
        return events

    def _send(self, events: list[RequestEvent]) -> None:
        """Send reports with their present ages."""
        now = self._clock.now()
        datagram = self._channel.make_datagram()
        datagram.requests = [encode_request_report(event, now) for event in events]
        self._channel.send_to_fleet(datagram)


def encode_request_report(event: RequestEvent, now: Millis) -> RequestReport:
    """Return a report with its age at ``now``."""
    return RequestReport(
        event.fingerprint, event.upstream, event.incarnation, now - event.at
    )


def decode_request_report(report: RequestReport, now: Millis) -> RequestEvent:
    """Return the event that a report received at ``now`` is about."""
    upstream = None if report.upstream is None else UpstreamId(report.upstream)
    return RequestEvent(
        Fingerprint(report.fingerprint),
        upstream,
        report.born,
        Millis(now - report.age_ms),
    )
