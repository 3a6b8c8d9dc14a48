"""Health of upstreams: evidence, diagnosis, active probes, ejection and its floor.

For services of the settings tree. `damaskdyke.dispatch` has the counterpart for
services that the users' platform declares.
"""
