"""Load balancing over upstreams, and handling of lookups with retries and hedges."""
