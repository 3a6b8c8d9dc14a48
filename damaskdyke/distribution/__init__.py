"""Settings distribution: platform client, pulls from peers and the settings view."""
