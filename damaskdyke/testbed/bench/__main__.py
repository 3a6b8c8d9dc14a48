"""Runs benchmark scenarios and exits with status 1 if a figure exceeds its limit."""

import sys

from damaskdyke.testbed.bench import catalogue  # noqa: F401
from damaskdyke.testbed.bench.report import format_bounds, write_report
from damaskdyke.testbed.bench.scenarios import scenarios

# Shorter than Python's default, so that the threads of the load generator wait less
# for the interpreter lock.
SWITCH_INTERVAL_SECONDS = 0.0005


def main(names: list[str]) -> int:
    """Run the named scenarios, by default all, and return the exit status."""
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    results = []
    for name, scenario in scenarios:
        if names and name not in names:
            continue
        print(f"running {name}", flush=True)
        result = scenario()
        results.append(result)
        for key, value in result.figures.items():
            print(f"  {key}: {value}")
        print("\n".join(format_bounds(result.bounds)), flush=True)
    write_report(results)
    failed = [
        f"{result.name}: {bound.name} = {bound.value}, limit {bound.limit}"
        for result in results
        for bound in result.bounds
        if not bound.is_kept
    ]
    for line in failed:
        print(f"failed: {line}")
    print(f"{len(results)} scenarios, {len(failed)} bounds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
