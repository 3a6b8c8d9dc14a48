"""Health of upstreams: evidence, diagnosis, active probes, ejection and its floor."""
