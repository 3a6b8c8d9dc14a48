"""Checks of settings; all errors are reported together."""

from damaskdyke.core.checks.messages import CheckMessage
from damaskdyke.core.checks.registry import branch_checks, tree_checks

__all__ = ["CheckMessage", "branch_checks", "tree_checks"]
