"""Checks of the operators' configuration beyond what its decoder requires."""
