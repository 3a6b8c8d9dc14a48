"""Stand-ins for outside systems, a relay with faults, and the load tool."""
