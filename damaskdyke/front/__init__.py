"""HTTP interface for callers, the load balancer and operators."""
