"""Helpers for logging, sockets, threads, hashes and random ids."""
