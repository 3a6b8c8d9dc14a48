"""Reads a configuration for the checks, with every problem and its place."""

import difflib
import json
import re
import tomllib
from collections.abc import Iterator
from functools import lru_cache, partial
from types import MappingProxyType
from typing import Any

from damaskdyke.catalogue.types import Rules
from damaskdyke.conf.checks.configuration import Configuration, Field, Placed
from damaskdyke.conf.checks.findings import Finding, Severity, quote
from damaskdyke.platform.documents import (
    IDEMPOTENCE_BY_TYPE,
    MAX_LOGGED_CHARS,
    EntryKind,
    decode_route,
    decode_rules,
    decode_services,
    decode_workspace,
    describe_error,
)
from damaskdyke.platform.expectations import (
    EXAMPLE_DOCUMENT,
    EXAMPLE_LIMITS,
    EXAMPLE_ROUTE,
    EXAMPLE_SERVICE,
    EXAMPLE_SERVICE_ITEM,
    EXAMPLE_SPLIT_ROUTE,
    EXAMPLE_WORKSPACE,
    TYPES,
    Path,
    find_expectation,
    format_path,
    get_example,
)
from damaskdyke.platform.problems import (
    MISSING,
    CollectedProblems,
    Problem,
    find_problems,
)
from damaskdyke.platform.repeated_names import NameCheckingParser

SECTIONS = {EntryKind.ROUTE: "routes", EntryKind.WORKSPACE: "tenants"}
PATHS = MappingProxyType(
    {
        Field.DOCUMENT: "document",
        Field.VERSION: "config_version",
        Field.ROUTES: "routes",
        Field.ROUTE: "routes[{}]",
        Field.ROUTE_HOST: "routes[{}].host",
        Field.ROUTE_PREFIX: "routes[{}].prefix",
        Field.ROUTE_TYPE: "routes[{}].type",
        Field.ROUTE_TIMEOUT: "routes[{}].timeout",
        Field.ROUTE_GOAL: "routes[{}].goal",
        Field.ROUTE_PRIORITY: "routes[{}].priority",
        Field.ROUTE_ATTEMPTS: "routes[{}].attempts",
        Field.ROUTE_SERVICE: "routes[{}].service",
        Field.ROUTE_SPLIT: "routes[{}].split",
        Field.ROUTE_PUBLIC: "routes[{}].public",
        Field.SERVICE: "services[{}]",
        Field.SERVICE_NAME: "services[{}].name",
        Field.SERVICE_HEALTH_PATH: "services[{}].health_path",
        Field.SERVICE_CONNECTIONS: "services[{}].max_conns",
        Field.LIMIT_HEADER: "limits.max_header_bytes",
        Field.LIMIT_BODY: "limits.max_body_bytes",
        Field.LIMIT_HEADER_TIMEOUT: "limits.header_timeout",
        Field.LIMIT_IDLE_TIMEOUT: "limits.idle_timeout",
        Field.WORKSPACES: "tenants",
        Field.WORKSPACE: "tenants[{}]",
        Field.WORKSPACE_NAME: "tenants[{}].name",
        Field.WORKSPACE_KEYS: "tenants[{}].api_keys",
        Field.WORKSPACE_KEY: "tenants[{}].api_keys[{}]",
        Field.WORKSPACE_PRIORITY: "tenants[{}].priority",
        Field.WORKSPACE_RATE: "tenants[{}].rate_per_s",
        Field.WORKSPACE_BURST: "tenants[{}].burst",
    }
)
# Start of the path of an entry, or of a field of one.
ENTRY_PATH = re.compile(r"(\w+)\[(\d+)\]")
# Field whose values are secrets, in which no message may quote a value.
KEYS_FIELD = "api_keys"
WORKSPACES_FIELD = "tenants"
# Part of a value that a message quotes.
MAX_QUOTED_CHARS = 60
# Levels of lists and objects; entries have five. How many a proxy can read depends on
# the depth of its stack: at about 1,000 the decoder fails.
MAX_LEVELS = 100
# Similarity from which an unknown field counts as a misspelt known one.
MISSPELT_SIMILARITY = 0.75


class UnreadableConfiguration(Exception):
    """Raised for a file that holds no JSON document."""


def read_configuration(value: bytes) -> Configuration:
    """Return the configuration that a document holds, with all problems of the decoder.

    Raises
    ------
    UnreadableConfiguration
        If the bytes are not JSON.
    """
    parser = NameCheckingParser()
    fields = parse_document(value, parser)
    collected = CollectedProblems()
    findings = list(find_structure_problems(fields, parser))
    refused: list[Problem] = []
    try:
        rules = decode_rules(fields, collected)
    except Exception:
        refused = find_problems(fields, EXAMPLE_DOCUMENT, decode_quietly)
        findings += [make_finding(problem, fields) for problem in refused]
        fields = repair_document(fields, refused)
        collected = CollectedProblems()
        rules = decode_rules(fields, collected)
    # An unreadable list or name of a service would make routes to it invalid too.
    are_services_known = not any(is_service_name(problem.path) for problem in refused)
    for problem in find_entry_problems(rules, collected):
        if are_services_known or not is_unknown_service(problem):
            findings.append(make_finding(problem, fields))
    findings += find_unused_values(fields, collected)
    workspaces = collected.ambiguous
    if workspaces is None:
        workspaces = rules.directory.list_all() if rules.directory else ()
    return Configuration(
        rules=rules,
        is_refused=bool(refused),
        routes=place_entries(rules.routes, collected, EntryKind.ROUTE),
        services=place_services(fields["services"]),
        workspaces=place_entries(workspaces, collected, EntryKind.WORKSPACE),
        findings=tuple(findings),
        paths=PATHS,
        find_name=partial(find_name, fields),
    )


def parse_document(value: bytes, parser: NameCheckingParser) -> Any:
    """Return the JSON value in a file.

    Raises
    ------
    UnreadableConfiguration
        If the bytes are not JSON; the text names the place.
    """
    try:
        return parser.parse(value)
    except (ValueError, RecursionError) as error:
        failure = str(error)[:MAX_LOGGED_CHARS]
    if is_toml(value):
        raise UnreadableConfiguration(
            "expected the JSON document of the store, got TOML. Use `damaskdyke check "
            "DIRECTORY` for a settings tree, `damaskdyke check --vm FILE` for a VM's "
            "settings."
        )
    raise UnreadableConfiguration(
        f"expected a JSON document, got an error: {failure}. Correct the syntax there."
    )


def is_toml(value: bytes) -> bool:
    """Return whether a file holds a TOML document that is not empty."""
    try:
        return bool(tomllib.loads(value.decode()))
    except (ValueError, RecursionError):
        return False


def decode_quietly(fields: Any) -> Rules:
    """Return the rules in a document, without a report of the entries left out."""
    return decode_rules(fields, CollectedProblems())


def repair_document(fields: Any, problems: list[Problem]) -> dict:
    """Return a copy of a refused document with valid values for the invalid ones."""
    for problem in problems:
        fields = replace_value(fields, problem.path, get_example(problem.path))
    return fields


def replace_value(holder: Any, path: Path, value: Any) -> Any:
    """Return a copy of an object or a list with another value at a path in it."""
    if not path:
        return value
    first, *rest = path
    copied = holder.copy()
    copied[first] = replace_value(holder[first], rest, value) if rest else value
    return copied


def is_service_name(path: Path) -> bool:
    """Return whether the value with a path is, or holds, the name of a service."""
    is_field_of_service = len(path) == len(("services", 0, "name"))
    return path[:1] in ((), ("services",)) and (
        not is_field_of_service or path[-1] == "name"
    )


def find_entry_problems(
    rules: Rules, collected: CollectedProblems
) -> Iterator[Problem]:
    """Yield every problem of the entries that were left out one by one."""
    example = decode_services([EXAMPLE_SERVICE_ITEM])
    services = rules.services | example
    quiet = CollectedProblems()
    for kind, entries in collected.left_out.items():
        for entry in entries:
            path = (SECTIONS[kind], entry.index)
            if kind is EntryKind.WORKSPACE:
                yield from find_problems(
                    entry.item, EXAMPLE_WORKSPACE, decode_workspace, path
                )
                continue
            has_split = isinstance(entry.item, dict) and entry.item.get("split")
            found = find_problems(
                entry.item,
                EXAMPLE_SPLIT_ROUTE if has_split else EXAMPLE_ROUTE,
                lambda item: decode_route(item, services, quiet),
                path,
            )
            yield from found or [Problem(path, entry.item, entry.error)]


def is_unknown_service(problem: Problem) -> bool:
    """Return whether the problem is a name that is no service's."""
    path = problem.path
    return path[0] == "routes" and path[-1] == "service" and type(problem.value) is str


def make_finding(problem: Problem, fields: Any) -> Finding:
    """Return the finding for a value that the decoder refuses."""
    path = problem.path
    expectation = find_expectation(path)
    hint = expectation.hint
    got = describe_value(problem.value, may_be_key(path))
    if problem.value is MISSING:
        name = "document.missing-field"
        hint = "Add the field."
    elif path and is_unknown_service(problem):
        name = "document.unknown-service"
        hint = suggest_service(problem.value, fields) or hint
    elif path and path[-1] == "split" and is_list_of_zero_weights(problem.value):
        name = "document.zero-weights"
        got = "weight 0 for every service"
    else:
        name = "document.invalid-field"
        if path and isinstance(problem.value, dict | list) and path[0] == "routes":
            got += f" ({describe_error(problem.error)})"
    return Finding(
        name,
        Severity.ERROR,
        format_path(path) or PATHS[Field.DOCUMENT],
        f"expected {expectation.values}, got {got}: {describe_effect(path)}",
        hint,
    )


def may_be_key(path: Path) -> bool:
    """Return whether a value may be the key of a workspace, which is not shown.

    That includes keys in the place of a workspace, or of all of them.
    """
    return KEYS_FIELD in path or (path[:1] == (WORKSPACES_FIELD,) and len(path) <= 2)


def hide_keys(path: Path) -> Path:
    """Return a path without names in it that may be keys."""
    if KEYS_FIELD in path:
        return path[: path.index(KEYS_FIELD) + 1]
    if path[:1] == (WORKSPACES_FIELD,) and len(path) > 1 and type(path[1]) is str:
        return path[:1]
    return path


def describe_effect(path: Path) -> str:
    """Return what a proxy does because of an invalid value."""
    if path[:1] == ("routes",) and len(path) > 1:
        return "the route is left out"
    if path[:1] == ("tenants",) and len(path) > 1:
        return "the workspace is left out"
    return "the document is refused"


def is_list_of_zero_weights(value: Any) -> bool:
    """Return whether a value is a split that gives no service a weight."""
    return isinstance(value, list) and not any(
        item.get("weight") for item in value if isinstance(item, dict)
    )


def suggest_service(name: str, fields: Any) -> str | None:
    """Return the hint that names a service with a similar name, if there is one."""
    known = tuple(
        item["name"] for item in fields["services"] if item["name"] != EXAMPLE_SERVICE
    )
    similar = find_similar(name, known)
    return f"Did you mean {similar!r}? Otherwise define it." if similar else None


@lru_cache(maxsize=1_000)
def find_similar(name: str, known: tuple[str, ...]) -> str | None:
    """Return the known name that is most like another one, if any is.

    Thousands of routes may name the same service that was dropped.
    """
    similar = difflib.get_close_matches(name, known, n=1)
    return similar[0] if similar else None


def describe_value(value: Any, is_secret: bool = False) -> str:
    """Return a value as a message names it."""
    if value is MISSING:
        return "nothing"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, dict):
        return f"an object with {len(value)} fields"
    if is_secret:
        length = len(value) if isinstance(value, str) else 0
        return f"a string of {length} characters" if length else "an unusable value"
    text = json.dumps(value)
    if len(text) > MAX_QUOTED_CHARS:
        text = f"{text[:MAX_QUOTED_CHARS]}..."
    return text


def find_unused_values(fields: dict, collected: CollectedProblems) -> Iterator[Finding]:
    """Yield a warning for what the decoder accepts, but does not use as written."""
    positions = {id(item): index for index, item in enumerate(fields["routes"])}
    for item, name in collected.unknown_types:
        yield Finding(
            "document.unknown-type",
            Severity.WARNING,
            PATHS[Field.ROUTE_TYPE].format(positions[id(item)]),
            f"expected {' or '.join(IDEMPOTENCE_BY_TYPE)}, got "
            f"{describe_value(name)}: its requests run at most once",
            f"Use one of {TYPES}, unless proxies of a later version know the type.",
        )
    for index, item in enumerate(fields["routes"]):
        is_public = item.get("public") if isinstance(item, dict) else None
        if is_public is not None and type(is_public) is not bool:
            yield Finding(
                "document.public",
                Severity.WARNING,
                PATHS[Field.ROUTE_PUBLIC].format(index),
                f"expected true or false, got {describe_value(is_public)}: the "
                "route is not public",
                "Write true or false without quotes.",
            )
    yield from find_misspelt_fields(fields)


def find_structure_problems(
    document: Any, parser: NameCheckingParser
) -> Iterator[Finding]:
    """Yield findings for too many levels, or else for repeated names of fields."""
    if is_deeper(document, MAX_LEVELS):
        yield Finding(
            "document.nesting",
            Severity.ERROR,
            PATHS[Field.DOCUMENT],
            f"expected at most {MAX_LEVELS} levels of lists and objects, got more: a "
            "proxy may refuse the document",
            "Remove the nested value, which no proxy uses.",
        )
        return
    for path, name in parser.find_repeated(document):
        shown = hide_keys(path)
        is_hidden = shown != path or KEYS_FIELD in path or path == (WORKSPACES_FIELD,)
        yield Finding(
            "document.repeated-name",
            Severity.WARNING,
            escape(format_path(shown)) or PATHS[Field.DOCUMENT],
            f"expected each field once, got {'one' if is_hidden else quote(name)} "
            "more than once: only the last one counts",
            "Remove or merge the others.",
        )


def is_deeper(document: Any, levels: int) -> bool:
    """Return whether lists and objects are nested to more than some levels."""
    level = [document]
    for _ in range(levels):
        holders = [item for item in level if type(item) in (dict, list)]
        if not holders:
            return False
        level = []
        for holder in holders:
            level += holder.values() if type(holder) is dict else holder
    return any(type(item) in (dict, list) for item in level)


def escape(path: str) -> str:
    """Return a path without line ends and other characters that a terminal obeys."""
    return quote(path)[1:-1]


def find_misspelt_fields(fields: dict) -> Iterator[Finding]:
    """Yield a warning for each unknown field with a name like that of a known one.

    Other unknown fields are ignored, as by proxies: they may be for later versions.
    """
    known_route = EXAMPLE_ROUTE.keys() | EXAMPLE_SPLIT_ROUTE.keys()
    sections = [
        ((), [fields], EXAMPLE_DOCUMENT.keys()),
        (("limits",), [fields["limits"]], EXAMPLE_LIMITS.keys()),
        (("services",), fields["services"], EXAMPLE_SERVICE_ITEM.keys()),
        (("routes",), fields["routes"], known_route),
        (("tenants",), fields.get("tenants") or [], EXAMPLE_WORKSPACE.keys()),
    ]
    similar_by_name: dict[tuple[Path, str], list[str]] = {}
    for path, items, known in sections:
        for index, item in enumerate(items):
            if not isinstance(item, dict) or item.keys() <= known:
                continue
            for name in item.keys() - known:
                key = (path, name)
                if key not in similar_by_name:
                    similar_by_name[key] = difflib.get_close_matches(
                        name, known, n=1, cutoff=MISSPELT_SIMILARITY
                    )
                similar = similar_by_name[key]
                if not similar or similar[0] in item:
                    continue
                is_list = path not in ((), ("limits",))
                place = format_path((*path, index) if is_list else path)
                yield Finding(
                    "document.misspelt-field",
                    Severity.WARNING,
                    place or PATHS[Field.DOCUMENT],
                    f"expected the field {similar[0]!r}, got {quote(name)}, which is "
                    "ignored",
                    f"Rename it to {similar[0]!r} if this is meant.",
                )


def find_name(fields: dict, place: str) -> str | None:
    """Return the name of the entry that a path leads into, if it is a string."""
    match = ENTRY_PATH.match(place)
    items = fields.get(match[1]) if match else None
    # The decoder also iterates over objects and strings in place of a list. A field
    # may have a name that looks like the path of an entry.
    if not isinstance(items, list) or int(match[2]) >= len(items):
        return None
    item = items[int(match[2])]
    name = item.get("name") if isinstance(item, dict) else None
    return name if type(name) is str and name != EXAMPLE_SERVICE else None


def place_entries(
    decoded: Any, collected: CollectedProblems, kind: EntryKind
) -> tuple[Placed, ...]:
    """Return decoded entries with their indexes, which skip those left out."""
    left_out = {entry.index for entry in collected.left_out[kind]}
    if not left_out:
        return tuple(Placed(*pair) for pair in enumerate(decoded))
    count = len(decoded) + len(left_out)
    indexes = (index for index in range(count) if index not in left_out)
    return tuple(Placed(*pair) for pair in zip(indexes, decoded, strict=True))


def place_services(items: list[dict]) -> tuple[Placed, ...]:
    """Return the services of a readable list with their indexes."""
    placed = []
    for index, item in enumerate(items):
        (service,) = decode_services([item]).values()
        if service.name != EXAMPLE_SERVICE:
            placed.append(Placed(index, service))
    return tuple(placed)
