"""HTTP interface for callers, the balancer and operators."""
