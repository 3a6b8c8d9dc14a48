"""What the fields of a configuration must hold, for messages to operators.

`damaskdyke.platform.documents` decides what is valid; this module only describes it.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from damaskdyke.platform.documents import (
    IDEMPOTENCE_BY_TYPE,
    MAX_INT,
    MAX_LONG,
)

# Name of a service that no document has, for the examples.
EXAMPLE_SERVICE = "\0example"
EXAMPLE_SERVICE_ITEM = {"name": EXAMPLE_SERVICE, "health_path": "/", "max_conns": 1}
# Valid entries that have every field which the decoder reads. A route has either a
# service or a split.
EXAMPLE_ROUTE = {
    "name": "example",
    "host": "h.example",
    "prefix": "/",
    "type": "idempotent",
    "timeout": "1s",
    "goal": "1s",
    "priority": 0,
    "attempts": 1,
    "public": False,
    "service": EXAMPLE_SERVICE,
}
EXAMPLE_SPLIT_ROUTE = {
    **{name: value for name, value in EXAMPLE_ROUTE.items() if name != "service"},
    "split": [{"service": EXAMPLE_SERVICE, "weight": 1}],
}
EXAMPLE_WORKSPACE = {
    "name": "example",
    "api_keys": ["example"],
    "priority": 0,
    "rate_per_s": 1,
    "burst": 1,
}
EXAMPLE_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000,
    "header_timeout": "3s",
    "idle_timeout": "15s",
}
EXAMPLE_DOCUMENT = {
    "config_version": 1,
    "services": [EXAMPLE_SERVICE_ITEM],
    "routes": [],
    "limits": EXAMPLE_LIMITS,
    "tenants": [],
}


@dataclass(frozen=True, slots=True)
class Expectation:
    """Description of the valid values of a field, and advice how to correct others."""

    values: str
    hint: str


def expect_integer(low: int, high: int, hint: str) -> Expectation:
    """Return the expectation of an integer between two bounds."""
    return Expectation(f"an integer from {low} to {high}", hint)


DURATION = "a duration such as 1500ms or 2.5s"
DURATION_HINT = "Write a number and its unit, ms or s, as one string."
TYPES = ", ".join(IDEMPOTENCE_BY_TYPE)
LIST_HINT = "Write a list in brackets, also for a single entry."
OBJECT_HINT = "Write the entry as an object in braces."
SERVICE = Expectation(
    "the name of a service under services", "Define the service, or correct the name."
)
HEADER_VALUE = "a string of printable ASCII characters without spaces"
AMOUNT = "a number of 0 or more"
PRIORITY = expect_integer(-MAX_INT, MAX_INT, "0 is the most urgent.")

# By path, with ``[]`` for the index of a list.
EXPECTATIONS = MappingProxyType(
    {
        "": Expectation(
            "an object with " + ", ".join(EXAMPLE_DOCUMENT),
            "Start from a copy of the configuration in force.",
        ),
        "config_version": expect_integer(
            0, MAX_LONG, "Use a number above that of the version in force."
        ),
        "services": Expectation("a list of services", LIST_HINT),
        "services[]": Expectation(
            "an object with " + ", ".join(EXAMPLE_SERVICE_ITEM), OBJECT_HINT
        ),
        "services[].name": Expectation("a string", "Give the service a name."),
        "services[].health_path": Expectation(
            "a string", "Give the path of the health check, such as /healthz."
        ),
        "services[].max_conns": expect_integer(
            0, MAX_LONG, "Give the connections that one upstream accepts."
        ),
        "routes": Expectation("a list of routes", LIST_HINT),
        "routes[]": Expectation(
            "an object with " + ", ".join(EXAMPLE_ROUTE), OBJECT_HINT
        ),
        "routes[].name": Expectation("a name", "Give the route a name for the logs."),
        "routes[].host": Expectation(
            "a string", "Give the host name that callers send, without a port."
        ),
        "routes[].prefix": Expectation(
            "a string that begins and ends with a slash", "Write it as /name/."
        ),
        "routes[].type": Expectation(
            f"one of {TYPES}", "Use non_idempotent where requests must run once."
        ),
        "routes[].timeout": Expectation(
            DURATION, DURATION_HINT + " Without one only the caller's deadline binds."
        ),
        "routes[].goal": Expectation(DURATION, DURATION_HINT),
        "routes[].priority": PRIORITY,
        "routes[].attempts": expect_integer(
            -MAX_INT, MAX_INT, "1 for a request that is sent once."
        ),
        "routes[].public": Expectation("true or false", "Write it without quotes."),
        "routes[].service": SERVICE,
        "routes[].split": Expectation(
            "a list of services with weights, one of them above 0",
            "Give a service a weight above 0.",
        ),
        "routes[].split[]": Expectation("an object with service, weight", OBJECT_HINT),
        "routes[].split[].service": SERVICE,
        "routes[].split[].weight": expect_integer(
            0, MAX_INT, "Give the part of the requests in relation to the other ones."
        ),
        "limits": Expectation(
            "an object with " + ", ".join(EXAMPLE_LIMITS), OBJECT_HINT
        ),
        "limits.max_header_bytes": expect_integer(0, MAX_LONG, "Give bytes."),
        "limits.max_body_bytes": expect_integer(0, MAX_LONG, "Give bytes."),
        "limits.header_timeout": Expectation(DURATION, DURATION_HINT),
        "limits.idle_timeout": Expectation(DURATION, DURATION_HINT),
        "tenants": Expectation(
            "a list of workspaces", LIST_HINT + " Leave it out if callers need no keys."
        ),
        "tenants[]": Expectation(
            "an object with " + ", ".join(EXAMPLE_WORKSPACE), OBJECT_HINT
        ),
        "tenants[].name": Expectation(HEADER_VALUE, "It is sent as a header."),
        "tenants[].api_keys": Expectation("a list of keys", LIST_HINT),
        "tenants[].api_keys[]": Expectation(
            HEADER_VALUE, "It is sent as a header; look for a space or a line end."
        ),
        "tenants[].priority": PRIORITY,
        "tenants[].rate_per_s": Expectation(
            AMOUNT, "Give requests per second without quotes; 0 sets no limit."
        ),
        "tenants[].burst": Expectation(AMOUNT, "Give requests without quotes."),
    }
)
Path = tuple[str | int, ...]


def format_path(path: Path) -> str:
    """Return a path as text, such as ``routes[3].timeout``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def find_expectation(path: Path) -> Expectation:
    """Return what the field with a path must hold."""
    pattern = ""
    for part in path:
        pattern += "[]" if isinstance(part, int) else f".{part}"
    return EXPECTATIONS[pattern.removeprefix(".")]


def get_example(path: Path) -> Any:
    """Return a valid value of a field of the document."""
    value: Any = EXAMPLE_DOCUMENT
    for part in path:
        value = value[0 if isinstance(part, int) else part]
    return value
