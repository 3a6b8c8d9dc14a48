"""Which proxies there are, who is reachable, and where sealed ledgers went."""
