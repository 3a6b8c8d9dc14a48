"""Choice of upstreams and the path of a lookup."""
