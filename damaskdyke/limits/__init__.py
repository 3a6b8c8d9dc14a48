"""Admission control, retry and hedge budgets, and limits of workspaces."""
