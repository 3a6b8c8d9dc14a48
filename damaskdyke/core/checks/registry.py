"""Registries of checks on one branch and on the whole tree."""

from collections.abc import Callable, Iterable

from damaskdyke.conf.tree import Branch
from damaskdyke.core.checks.messages import CheckMessage
from damaskdyke.core.registry import Registry

BranchCheck = Callable[[Branch], Iterable[CheckMessage]]
TreeCheck = Callable[[tuple[Branch, ...]], Iterable[CheckMessage]]

branch_checks: Registry[BranchCheck] = Registry("branch check")
tree_checks: Registry[TreeCheck] = Registry("tree check")
