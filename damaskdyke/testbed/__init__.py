"""Test doubles: platform and upstream stand-ins, a fault relay, a load generator."""
