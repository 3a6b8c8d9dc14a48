"""Which upstreams are fit for work: evidence, verdicts, ejection and floor."""
