"""Workspaces: the callers' keys, quotas over the fleet, and fair shares.

Nothing of this is active unless the operators' configuration lists workspaces.
"""
