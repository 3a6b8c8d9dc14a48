"""Tests of the reader of a configuration for the checks, beside the proxy's decoder."""

import copy
import json
import re
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import example, given, settings
from hypothesis import strategies as st

from damaskdyke.conf.checks.configuration import Field
from damaskdyke.platform.configuration import (
    PATHS,
    UnreadableConfiguration,
    read_configuration,
)
from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.platform.expectations import (
    EXAMPLE_DOCUMENT,
    EXAMPLE_ROUTE,
    EXAMPLE_SPLIT_ROUTE,
    EXAMPLE_WORKSPACE,
    find_expectation,
)
from tests.catalogue.test_state import make_config
from tests.management.test_commands import run_command
from tests.platform.test_documents import VALUES

ROUTE = make_config(1)["routes"][0]
SERVICE = make_config(1)["services"][0]
WORKSPACE = {
    "name": "w1",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "rate_per_s": 5,
    "burst": 10,
}
SPLIT = [{"service": "desk", "weight": 1}, {"service": "till", "weight": 0}]


def make_document(**fields):
    """Return a valid document of which some fields are replaced."""
    document = make_config(3) | {
        "services": [SERVICE, SERVICE | {"name": "till"}],
        "routes": [
            ROUTE,
            ROUTE | {"prefix": "/split/", "split": SPLIT},
            ROUTE | {"prefix": "/q/", "public": True},
        ],
        "tenants": [
            WORKSPACE,
            WORKSPACE | {"name": "w2", "api_keys": ["k3"]},
            {"name": "w3", "api_keys": []},
        ],
    }
    return copy.deepcopy(document | fields)


def read(document):
    return read_configuration(json.dumps(document).encode())


def list_errors(document):
    """Return place and id of the decoder's errors."""
    findings = read(document).findings
    return [(f.place, f.id) for f in findings if f.severity.value == "error"]


def list_paths(value, path=()):
    """Return the paths of all values in a document."""
    paths = [path] if path else []
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths += list_paths(item, (*path, key))
    return paths


PATHS_IN_DOCUMENT = list_paths(make_document())
# Values that are nearly valid find more than arbitrary ones.
NEAR_VALUES = st.sampled_from(
    ["", "/", "/p/", "/p", "1s", "-1s", "1", "1e999s", "desk", "nobody", "k1", "k 1"]
    + ["upload", "w1", 0, 1, -1, 2**31, 2**63, 1.5, True, None, [], {}, [1], [{}], "é"]
)
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(PATHS_IN_DOCUMENT),
        st.one_of(st.just("delete"), st.just("repeat"), st.just("rename")),
        st.one_of(st.none(), NEAR_VALUES.map(lambda v: [v]), VALUES.map(lambda v: [v])),
    ),
    max_size=4,
)


def change(document, path, operation, replacement):
    """Change one value of a document, unless an earlier change removed it."""
    holder = document
    try:
        for part in path[:-1]:
            holder = holder[part]
        value = holder[path[-1]]
        if replacement is not None:
            holder[path[-1]] = copy.deepcopy(replacement[0])
        elif operation == "delete":
            del holder[path[-1]]
        elif operation == "repeat" and isinstance(holder, list):
            holder.append(copy.deepcopy(value))
        elif operation == "rename" and isinstance(holder, dict):
            holder[f"{path[-1]}s"] = holder.pop(path[-1])
    except (KeyError, IndexError, TypeError):
        return


def ask_proxy(value):
    """Return the rules that a proxy uses, and the events of what it does not use."""
    with mock.patch("damaskdyke.platform.documents.log_event") as log:
        rules = StoreDecoder().read_rules(value)
    return rules, [call.args[1] for call in log.call_args_list]


class AgreementTest(unittest.TestCase):
    """A file passed the check and was then refused by the proxies, or the reverse."""

    def check(self, value):
        rules, events = ask_proxy(value)
        try:
            configuration = read_configuration(value)
        except UnreadableConfiguration:
            self.assertIsNone(rules)
            self.assertEqual(self.run_check(value)[0], 3)
            return
        errors = [
            item.place
            for item in configuration.findings
            if item.severity.value == "error"
        ]
        self.assertEqual(configuration.is_refused, rules is None)
        is_left_out = "route-left-out" in events or "workspace-left-out" in events
        self.assertEqual(bool(errors), rules is None or is_left_out)
        code, report = self.run_check(value)
        if errors or "workspaces-ambiguous" in events:
            self.assertEqual(code, 1)
        if rules is None:
            return
        for section, event in (
            ("routes", "route-left-out"),
            ("tenants", "workspace-left-out"),
        ):
            pattern = re.compile(rf"{section}\[(\d+)\]")
            places = {m[0] for place in errors if (m := pattern.match(place))}
            self.assertEqual(len(places), events.count(event))
        shared = [f for f in report["findings"] if f["id"] == "keys.shared-key"]
        repeated = [
            f for f in report["findings"] if f["id"] == "keys.repeated-workspace"
        ]
        directory = rules.directory
        self.assertEqual(len(shared), directory.shared_key_count if directory else 0)
        self.assertEqual(
            len(repeated), len(directory.repeated_names if directory else ())
        )
        self.assertEqual(configuration.rules.routes, rules.routes)

    def run_check(self, value):
        with tempfile.TemporaryDirectory() as name:
            file = Path(name, "config.json")
            file.write_bytes(value)
            code, out, _ = run_command("check-config", str(file), "--json")
        return code, json.loads(out) if out else None

    @settings(derandomize=True, max_examples=500, deadline=None, database=None)
    @given(CHANGES)
    # A repeated workspace and a shared key, which the search seldom draws.
    @example([(("tenants", 0), "repeat", None)])
    @example([(("routes",), "delete", [{"a": 1}])])
    @example([(("tenants", 1, "api_keys", 0), "delete", ["k1"])])
    def test_mutated_documents(self, changes):
        document = make_document()
        for item in changes:
            change(document, *item)
        self.check(json.dumps(document).encode())

    @settings(derandomize=True, max_examples=150, deadline=None, database=None)
    @given(
        st.one_of(st.binary(max_size=40), VALUES.map(lambda v: json.dumps(v).encode()))
    )
    @example(b"")
    @example(b"[" * 5_000)
    @example(b'{"a":' * 5_000)
    @example(b"1" * 10_000)
    @example(b"\xff\xfe{")
    def test_arbitrary_files(self, value):
        self.check(value)

    def test_each_value_alone(self):
        # So that no field depends on being drawn by the search above.
        odd = (None, True, -1, 2**63, 1.5, "", "x", [], [[]], {}, {"a": 1})
        for path in PATHS_IN_DOCUMENT:
            for value in (*odd, "delete"):
                with self.subTest(path=path, value=value):
                    document = make_document()
                    replacement = None if value == "delete" else [value]
                    change(document, path, "delete", replacement)
                    self.check(json.dumps(document).encode())


class PlaceTest(unittest.TestCase):
    """A fault was reported late, at another place, or not in a way to find it."""

    def test_every_invalid_field_of_an_entry_is_reported(self):
        # The decoder stops at the first one, so operators corrected them one by one.
        route = ROUTE | {"prefix": "p", "goal": 5, "attempts": "2"}
        del route["host"]
        errors = list_errors(make_document(routes=[ROUTE, route]))
        self.assertCountEqual(
            errors,
            [
                ("routes[1].prefix", "document.invalid-field"),
                ("routes[1].goal", "document.invalid-field"),
                ("routes[1].attempts", "document.invalid-field"),
                ("routes[1].host", "document.missing-field"),
            ],
        )

    def test_errors_of_a_refused_document_are_reported_with_those_of_its_entries(self):
        # An invalid limit hid all errors of routes and workspaces.
        document = make_document(config_version="3")
        del document["limits"]["max_body_bytes"]
        document["services"][1]["max_conns"] = -1
        document["routes"][2]["prefix"] = ""
        document["tenants"][1]["burst"] = "9"
        self.assertCountEqual(
            [place for place, _ in list_errors(document)],
            [
                "config_version",
                "limits.max_body_bytes",
                "services[1].max_conns",
                "routes[2].prefix",
                "tenants[1].burst",
            ],
        )

    def test_unreadable_name_of_a_service_is_the_only_error(self):
        # Every route to the service was reported too.
        document = make_document()
        document["services"][1]["name"] = 7
        self.assertEqual(
            list_errors(document), [("services[1].name", "document.invalid-field")]
        )

    def test_parts_of_a_split_have_places_of_their_own(self):
        document = make_document()
        document["routes"][1]["split"] = [{"service": "dessk", "weight": 1}, {}]
        self.assertCountEqual(
            list_errors(document),
            [
                ("routes[1].split[0].service", "document.unknown-service"),
                ("routes[1].split[1].service", "document.missing-field"),
                ("routes[1].split[1].weight", "document.missing-field"),
            ],
        )

    def test_similar_service_is_suggested(self):
        document = make_document(routes=[ROUTE | {"service": "dessk"}])
        (finding, *_) = read(document).findings
        self.assertIn("'desk'", finding.hint)
        self.assertIn('got "dessk"', finding.message)

    def test_entries_keep_their_indexes_behind_one_that_is_left_out(self):
        # Places named the entry before.
        document = make_document()
        document["routes"][0] = None
        document["tenants"][1] = None
        configuration = read(document)
        self.assertEqual([item.index for item in configuration.routes], [1, 2])
        self.assertEqual([item.index for item in configuration.workspaces], [0, 2])

    def test_indexes_are_right_where_names_repeat(self):
        # The directory holds only the first workspace of a name.
        document = make_document(
            tenants=[None, WORKSPACE, WORKSPACE, WORKSPACE | {"name": "w2"}]
        )
        indexes = [item.index for item in read(document).workspaces]
        self.assertEqual(indexes, [1, 2, 3])

    def test_no_message_quotes_a_key(self):
        # Reports are kept in the logs of a pipeline, where others can read them.
        for key in ("secret 1", ["secret"], {"secret": 1}, "secret\n"):
            for keys in ([key], key):
                document = make_document(
                    tenants=[WORKSPACE | {"api_keys": keys, "burst": "x"}]
                )
                with self.subTest(keys=keys):
                    self.assertNotIn("secret", repr(read(document).findings))
        document = make_document(tenants=[WORKSPACE | {"api_keys": "secret"}])
        self.assertNotIn("secret", repr(read(document).findings))

    def test_every_field_has_an_expectation_and_a_path(self):
        # A field without one ended the command with a KeyError.
        sections = {
            (): EXAMPLE_DOCUMENT,
            ("routes", 0): EXAMPLE_ROUTE | EXAMPLE_SPLIT_ROUTE,
            ("tenants", 0): EXAMPLE_WORKSPACE,
        }
        for prefix, section in sections.items():
            for path in list_paths(section):
                self.assertTrue(find_expectation((*prefix, *path)).hint)
        self.assertEqual(set(PATHS), set(Field))


class NestingTest(unittest.TestCase):
    """A document passed the check that the deeper stack of a proxy could not read."""

    def test_deep_value_in_a_field_that_no_proxy_uses(self):
        for levels, is_found in ((98, False), (99, False), (100, True), (950, True)):
            text = json.dumps(make_document(unused=0))
            nested = "[" * levels + "]" * levels
            text = text.replace('"unused": 0', f'"unused": {nested}')
            findings = read_configuration(text.encode()).findings
            ids = [item.id for item in findings]
            self.assertEqual("document.nesting" in ids, is_found, levels)


class UnusedValueTest(unittest.TestCase):
    """Values that the decoder accepts and does not use as written went unnoticed."""

    def list_warnings(self, document):
        return [(item.place, item.id) for item in read(document).findings]

    def test_misspelt_optional_field(self):
        document = make_document()
        document["tenants"][1]["rate_per_sec"] = document["tenants"][1].pop(
            "rate_per_s"
        )
        document["routes"][0]["time_out"] = document["routes"][0].pop("timeout")
        self.assertCountEqual(
            self.list_warnings(document),
            [
                ("tenants[1]", "document.misspelt-field"),
                ("routes[0]", "document.misspelt-field"),
            ],
        )

    def test_field_that_an_object_repeats(self):
        # A merge left two lists of routes; the first one was lost.
        text = json.dumps(make_document())
        text = text.replace('"routes": [', '"routes": [], "routes": [')
        text = text.replace('"burst": 10', '"burst": 9, "burst": 10', 1)
        findings = read_configuration(text.encode()).findings
        self.assertEqual(
            [(item.id, item.place) for item in findings],
            [
                ("document.repeated-name", "document"),
                ("document.repeated-name", "tenants[0]"),
            ],
        )

    def test_unknown_field_of_a_later_version_is_ignored(self):
        document = make_document(wholly_new=1)
        document["routes"][0]["colour"] = "red"
        self.assertEqual(self.list_warnings(document), [])

    def test_type_and_public_that_are_not_used_as_written(self):
        document = make_document()
        document["routes"][1]["type"] = "idempotnt"
        document["routes"][2]["public"] = "true"
        self.assertCountEqual(
            self.list_warnings(document),
            [
                ("routes[1].type", "document.unknown-type"),
                ("routes[2].public", "document.public"),
            ],
        )
