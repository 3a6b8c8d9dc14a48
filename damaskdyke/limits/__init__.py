"""Admission control, retry and hedge budgets, and limits of workspaces.

For services of the settings tree. `damaskdyke.dispatch` has the counterpart for
services that the users' platform declares.
"""
