"""Settings: the daemon's file, the file of a VM and the published settings tree."""
