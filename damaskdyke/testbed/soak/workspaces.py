"""Workspaces of the callers of a soak test, and the keys that they present."""

import random
from dataclasses import dataclass

from damaskdyke.core.ids import WorkspaceName
from damaskdyke.workspaces.types import ApiKey, Workspace

# Time after which a withdrawn key must not work, as in the proxies' settings. Faults of
# the store, which take up to 3.5 s, exceed it.
REVOKE_MS = 2_500
BOUNDS = ("strict_revoke=true", f"revoke={REVOKE_MS}ms")
# Workspace of most requests, which has no quota, and its key.
SOAK_WORKSPACE = WorkspaceName("soak")
SOAK_KEY = ApiKey("soak-key")
# Workspace with a quota that its callers exceed several times.
METERED = Workspace(
    WorkspaceName("metered"), (ApiKey("metered-key"),), None, rate_per_second=8, burst=8
)
METERED_SHARE = 0.15
# Workspace whose key is another one in each version of the settings. Its callers go on
# to present the keys of earlier versions.
ROTATING_WORKSPACE = WorkspaceName("rotating")
ROTATING_SHARE = 0.1


@dataclass(frozen=True)
class Identity:
    """Workspace and key of one request.

    Parameters
    ----------
    version : int
        Settings version that has the key, 0 if all have it.
    """

    workspace: WorkspaceName = SOAK_WORKSPACE
    key: ApiKey = SOAK_KEY
    version: int = 0


def make_rotating_key(version: int) -> ApiKey:
    """Return the key that only one version of the settings has."""
    return ApiKey(f"rotating-key-{version}")


def add_workspaces(config: dict) -> dict:
    """Return a configuration in which callers need the key of a workspace."""
    rotating_key = make_rotating_key(config["config_version"])
    workspaces = [
        {"name": SOAK_WORKSPACE, "api_keys": [SOAK_KEY]},
        {
            "name": METERED.name,
            "api_keys": list(METERED.keys),
            "rate_per_s": METERED.rate_per_second,
            "burst": METERED.burst,
        },
        {"name": ROTATING_WORKSPACE, "api_keys": [rotating_key]},
    ]
    return config | {"tenants": workspaces}


def pick_identity(rng: random.Random, newest: int) -> Identity:
    """Select the identity of a request while a settings version is the newest."""
    number = rng.random()
    if number < METERED_SHARE:
        return Identity(METERED.name, METERED.keys[0])
    if number < METERED_SHARE + ROTATING_SHARE:
        version = rng.randint(1, newest)
        return Identity(ROTATING_WORKSPACE, make_rotating_key(version), version)
    return Identity()
