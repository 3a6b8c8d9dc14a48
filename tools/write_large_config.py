"""Writes a configuration at the target size, to measure `damaskdyke check-config`.

Two versions with other seeds differ in the keys, quotas and services of a part of the
entries.
"""

import json
import random
import sys
from pathlib import Path

ROUTES = 17_000
WORKSPACES = 170_000
SERVICES = 400
HOSTS = 50
KEYS_PER_WORKSPACE = 2
# Part of the entries that depend on the seed.
CHANGED_SHARE = 0.01


def make_route(number: int, rng: random.Random) -> dict:
    """Return one route; its service may depend on the seed."""
    service = number % SERVICES
    if rng.random() < CHANGED_SHARE:
        service = rng.randrange(SERVICES)
    is_order = number % 4 == 0
    return {
        "name": f"route-{number}",
        "host": f"h{number % HOSTS}.example",
        "prefix": f"/team-{number // HOSTS}/",
        "type": "non_idempotent" if is_order else "idempotent",
        "timeout": "2500ms",
        "goal": "800ms",
        "priority": number % 4,
        "attempts": 1 if is_order else 2,
        "service": f"service-{service}",
    }


def make_workspace(number: int, rng: random.Random) -> dict:
    """Return one workspace; its keys and its quota may depend on the seed."""
    is_changed = rng.random() < CHANGED_SHARE
    suffix = rng.getrandbits(64) if is_changed else 0
    return {
        "name": f"workspace-{number}",
        "api_keys": [f"{number:08x}-{k}-{suffix}" for k in range(KEYS_PER_WORKSPACE)],
        "priority": number % 3,
        "rate_per_s": rng.randint(5, 50) if is_changed else 10,
        "burst": 40,
    }


def make_config(seed: int) -> dict:
    """Return the configuration of a seed, which is also its version."""
    rng = random.Random(seed)
    return {
        "config_version": seed,
        "services": [
            {"name": f"service-{number}", "health_path": "/healthz", "max_conns": 330}
            for number in range(SERVICES)
        ],
        "routes": [make_route(number, rng) for number in range(ROUTES)],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout": "3s",
            "idle_timeout": "15s",
        },
        "tenants": [make_workspace(number, rng) for number in range(WORKSPACES)],
    }


def main(arguments: list[str]) -> int:
    """Write the configuration of the given seed to the given file."""
    if len(arguments) != 2 or not arguments[1].isdigit():
        print("usage: python3 -m tools.write_large_config FILE SEED", file=sys.stderr)
        return 2
    Path(arguments[0]).write_text(json.dumps(make_config(int(arguments[1]))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
