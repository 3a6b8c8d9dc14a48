"""Command line: base class, discovery and execution of commands."""
