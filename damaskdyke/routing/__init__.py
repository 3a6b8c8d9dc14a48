"""Load balancing over upstreams, and handling of lookups with retries and hedges.

For services of the settings tree. `damaskdyke.dispatch` has the counterpart for
services that the users' platform declares.
"""
