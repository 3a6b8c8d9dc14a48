"""Developer tools: tests, mutants, models, generated files and the binary."""
