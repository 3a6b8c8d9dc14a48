"""Known proxies, their reachability, and the successors of handed-over ledgers."""
