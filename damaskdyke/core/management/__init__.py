"""Command line: the base of commands and their discovery."""
