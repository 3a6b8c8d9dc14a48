"""OpenTelemetry metrics of a process."""
