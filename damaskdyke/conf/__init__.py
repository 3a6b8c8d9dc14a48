"""Settings: the daemon's own file and the published tree of branches."""
