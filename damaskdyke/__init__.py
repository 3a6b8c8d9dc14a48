"""Proxy fleet for upstreams with gray failures."""

__version__ = "0.1.0"
