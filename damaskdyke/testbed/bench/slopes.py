"""Memory and processor time of one process by the size of its state.

The figures feed the growth rates in docs/CAPACITY.md.
"""

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable

from damaskdyke.conf.daemon import OrderSettings
from damaskdyke.core.clock import Clock
from damaskdyke.core.ids import Address, BootId, BranchName, ZoneName
from damaskdyke.distribution.documents import Document, Version
from damaskdyke.distribution.store import Store
from damaskdyke.distribution.view import View
from damaskdyke.membership.ring import Ring
from damaskdyke.membership.table import MemberRecord, MemberState, MemberTable
from damaskdyke.orders.ledger import Ledger
from damaskdyke.testbed.bench.scenarios import Result, scenarios
from damaskdyke.testbed.plans import ServicePlan, UpstreamPlan

# Numbers of services, and what each service has.
SERVICE_SIZES = (2, 100, 400, 1_600)
UPSTREAMS_PER_SERVICE = 18
ROUTES_PER_SERVICE = 11
WORKSPACES_PER_SERVICE = 106
# Numbers of members.
MEMBER_SIZES = (40, 400, 2_700)
# Outstanding tickets.
TICKETS = 4_000
# Bytes.
MEGABYTE = 1e6


def measure_build(build: Callable[[], object]) -> tuple[object, float, float]:
    """Return a built object, its allocated bytes, and the seconds to build it.

    The object is built a second time to measure processor time without memory tracing.
    """
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    build()
    return built, held_bytes, time.process_time() - started


def make_branch(number: int) -> bytes:
    """Return the text of a settings branch of the target's average size."""
    plan = ServicePlan(name=f"service-{number}", floor=9)
    for index in range(UPSTREAMS_PER_SERVICE):
        address = f"10.{number // 250}.{number % 250}.{index + 1}:8080"
        plan.upstreams.append(UpstreamPlan(f"up-{number}-{index}", address, "suva"))
    lines = [plan.to_toml()]
    for index in range(ROUTES_PER_SERVICE - 1):
        prefix = f"/service-{number}/part-{index}/"
        lines.append(f'[[routes]]\nprefix = "{prefix}"\nservice = "{plan.name}"')
    names = [f'"ws-{number}-{index}"' for index in range(WORKSPACES_PER_SERVICE)]
    head = f"workspaces = [{', '.join(names)}]\nworkspace_in_flight = 50\n"
    return (head + "\n".join(lines)).encode()


def make_document(number: int) -> Document:
    """Return version 1 of the settings document of one branch."""
    text = make_branch(number)
    digest = hashlib.sha256(text).digest()
    return Document(Version(BranchName(f"team-{number}"), 1, digest), text)


def fill_store(documents: list[Document]) -> Store:
    """Return a new settings store that holds the documents."""
    store = Store()
    store.offer_all(documents)
    return store


def measure_settings(result: Result) -> None:
    """Measure the settings store by the number of services."""
    for size in SERVICE_SIZES:
        documents = [make_document(number) for number in range(size)]
        store, held_bytes, seconds = measure_build(
            lambda items=documents: fill_store(items)
        )
        text = sum(len(document.text) for document in documents)
        result.record(f"{size} services: text MB", text / MEGABYTE)
        result.record(f"{size} services: settings MB", (held_bytes + text) / MEGABYTE)
        result.record(f"{size} services: parse at start s", seconds)
        started = time.process_time()
        View(store.view.branches)
        rebuild_ms = (time.process_time() - started) * 1000
        result.record(f"{size} services: whole view again ms", rebuild_ms)
        started = time.process_time()
        newer = documents[0]
        version = Version(newer.version.name, 2, newer.version.digest)
        store.offer(Document(version, newer.text))
        change_ms = (time.process_time() - started) * 1000
        result.record(f"{size} services: one change ms", change_ms)


def make_record(number: int) -> MemberRecord:
    """Return the record of an alive member, unique to its number."""
    address = Address(f"10.{number // 250}.{number % 250}.1:9090")
    zone = ZoneName(f"zone-{number % 23}")
    return MemberRecord(address, BootId(number + 1), zone, MemberState.ALIVE, 1)


def measure_members(result: Result) -> None:
    """Measure the member table and the hash ring by the number of members."""
    for size in MEMBER_SIZES:

        def build(size: int = size) -> MemberTable:
            records = [make_record(number) for number in range(size)]
            table = MemberTable(records[0], Clock())
            table.merge(records[1:])
            return table

        table, held_bytes, _ = measure_build(build)
        result.record(f"{size} members: table KB", held_bytes / 1000)
        started = time.process_time()
        ring = Ring(table.list_alive())
        result.record(
            f"{size} members: ring again ms", (time.process_time() - started) * 1000
        )
        started = time.process_time()
        for number in range(100):
            ring.find_successors(f"up-{number}", 3)
        lookup_us = (time.process_time() - started) * 10_000
        result.record(f"{size} members: watchers of an upstream us", lookup_us)


def measure_ledger(result: Result) -> None:
    """Measure the order ledger at the target's number of outstanding tickets."""

    def build() -> Ledger:
        ledger = Ledger(Address("10.0.0.1:9"), BootId(1), OrderSettings(), Clock())
        for _ in range(TICKETS):
            ledger.issue()
        return ledger

    _, held_bytes, seconds = measure_build(build)
    result.record(f"{TICKETS} tickets: ledger KB", held_bytes / 1000)
    result.record("one ticket us", seconds / TICKETS * 1e6)


@scenarios.register("slopes")
def measure_slopes() -> Result:
    """Measure settings, membership and order ledger in this process."""
    result = Result("slopes")
    measure_settings(result)
    measure_members(result)
    measure_ledger(result)
    return result
