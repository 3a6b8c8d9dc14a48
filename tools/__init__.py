"""Tools for developers: tests, models, generated code and the binary."""
