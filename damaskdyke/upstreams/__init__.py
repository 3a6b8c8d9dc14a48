"""Connection pools for upstreams, and HTTP calls to them."""
