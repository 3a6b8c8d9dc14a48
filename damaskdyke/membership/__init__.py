"""Known proxies, their reachability, and the successors of handed-over ledgers.

For services of the settings tree. `damaskdyke.fleet` has the counterpart for services
that the users' platform declares.
"""
