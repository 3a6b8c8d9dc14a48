"""Settings branches: reading, relaying between peers, and the view in force."""
