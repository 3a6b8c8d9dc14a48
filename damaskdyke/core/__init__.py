"""Core of a process: kernel with component bus, clock, ids, errors and registries."""
