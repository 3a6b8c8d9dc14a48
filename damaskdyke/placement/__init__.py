"""Slots for long work, granted by one proxy for each upstream."""
