"""Kernel: clock, ids, errors, registries and the component bus."""
