"""Checks of one branch that go beyond types and ranges of single keys."""

from collections import Counter
from collections.abc import Iterable, Iterator

from damaskdyke.conf.tree import VM_BRANCH, Branch
from damaskdyke.core.checks.messages import CheckMessage
from damaskdyke.core.checks.registry import branch_checks


def find_duplicates(values: Iterable[str]) -> list[str]:
    """Return the values that occur more than once, each of them once."""
    counts = Counter(values)
    return [value for value, count in counts.items() if count > 1]


@branch_checks.register("floor")
def check_floor(branch: Branch) -> Iterator[CheckMessage]:
    """Report services whose floor exceeds the number of upstreams."""
    for service in branch.services:
        size = len(service.upstreams)
        if service.floor > size:
            yield CheckMessage(
                "tree.E011",
                branch.name,
                f"services.{service.name}.floor",
                f"floor {service.floor} exceeds the number of upstreams, {size}",
                "Lower the floor or add upstreams.",
            )


@branch_checks.register("long-slots")
def check_long_slots(branch: Branch) -> Iterator[CheckMessage]:
    """Report services whose long work could occupy every slot of an upstream."""
    for service in branch.services:
        if service.long_slots >= service.slots:
            yield CheckMessage(
                "tree.E012",
                branch.name,
                f"services.{service.name}.long_slots",
                "long work may occupy every slot of an upstream",
                "Keep long_slots below slots.",
            )


@branch_checks.register("unique-upstreams")
def check_unique_upstreams(branch: Branch) -> Iterator[CheckMessage]:
    """Report upstream ids and addresses that occur more than once in a service."""
    for service in branch.services:
        key = f"services.{service.name}.upstreams"
        ids = find_duplicates(upstream.id for upstream in service.upstreams)
        addresses = find_duplicates(upstream.address for upstream in service.upstreams)
        for value in ids + addresses:
            yield CheckMessage(
                "tree.E013",
                branch.name,
                key,
                f"{value!r} occurs more than once",
                "Give each upstream its own id and address.",
            )


@branch_checks.register("unique-rules")
def check_unique_rules(branch: Branch) -> Iterator[CheckMessage]:
    """Report rule ids that occur more than once in a service."""
    for service in branch.services:
        for value in find_duplicates(rule.id for rule in service.rules):
            yield CheckMessage(
                "tree.E014",
                branch.name,
                f"services.{service.name}.rules",
                f"rule id {value!r} occurs more than once",
                "Give each rule its own id.",
            )


@branch_checks.register("order-attempts")
def check_order_rules(branch: Branch) -> Iterator[CheckMessage]:
    """Report rules for non-idempotent requests that allow hedging."""
    for service in branch.services:
        for rule in service.rules:
            if rule.is_order and rule.hedge:
                yield CheckMessage(
                    "tree.E015",
                    branch.name,
                    f"services.{service.name}.rules.{rule.id}.hedge",
                    "a non-idempotent request cannot be hedged",
                    "Remove hedge or make the rule idempotent.",
                )


@branch_checks.register("vm-branch")
def check_vm_branch(branch: Branch) -> Iterator[CheckMessage]:
    """Report VM rows outside the VM branch, and services or routes inside it."""
    if branch.name == VM_BRANCH and (branch.services or branch.routes):
        yield CheckMessage(
            "tree.E016",
            branch.name,
            "services",
            "the VM branch contains services or routes",
            "Move them to a team's branch.",
        )
    if branch.name != VM_BRANCH and branch.vms:
        yield CheckMessage(
            "tree.E017",
            branch.name,
            "vms",
            "VM rows are allowed only in the VM branch",
            f"Publish them in the branch {VM_BRANCH!r}.",
        )
