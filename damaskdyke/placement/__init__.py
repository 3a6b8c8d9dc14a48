"""Leases of slots for long work; one proxy grants all slots of an upstream.

Only for services of the settings tree.
"""
