"""Benchmarks with regression limits, mostly on ratios of figures of one run."""
