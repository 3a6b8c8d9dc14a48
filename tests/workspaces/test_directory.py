"""Tests of the lookup of keys and of the configuration that lists them."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdyke.platform.documents import StoreDecoder
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.types import Workspace
from tests.catalogue.test_state import make_config

WORKSPACE = {"name": "w1", "api_keys": ["k1", "k2"], "rate_per_s": 5, "burst": 10}


def read_rules(fields):
    return StoreDecoder().read_rules(json.dumps(fields).encode())


def read_directory(*workspaces):
    return read_rules(make_config(1) | {"tenants": list(workspaces)}).directory


class DirectoryTest(unittest.TestCase):
    def test_each_key_leads_to_its_workspace(self):
        directory = read_directory(WORKSPACE, {"name": "w2", "api_keys": ["k3"]})
        found = [directory.find_by_key(key) for key in ("k1", "k2", "k3", "k4", "")]
        names = [workspace and workspace.name for workspace in found]
        self.assertEqual(names, ["w1", "w1", "w2", None, None])

    def test_key_of_two_workspaces_belongs_to_none(self):
        # Otherwise callers of one could act for the other.
        directory = Directory([Workspace("w1", ("k", "k1")), Workspace("w2", ("k",))])
        self.assertIsNone(directory.find_by_key("k"))
        self.assertEqual(directory.find_by_key("k1").name, "w1")

    def test_key_of_a_repeated_name_belongs_to_nobody_else(self):
        workspaces = [Workspace("a", ("k1",)), Workspace("a", ("k2",))]
        directory = Directory([*workspaces, Workspace("b", ("k2",))])
        self.assertEqual(directory.find_by_key("k1").name, "a")
        self.assertIsNone(directory.find_by_key("k2"))

    def test_key_that_a_workspace_lists_twice_stays_its_own(self):
        directory = Directory([Workspace("w1", ("k", "k"))])
        self.assertEqual(directory.find_by_key("k").name, "w1")

    def test_configuration_without_workspaces_asks_for_no_keys(self):
        self.assertIsNone(read_rules(make_config(1)).directory)

    def test_empty_list_of_workspaces_knows_no_key(self):
        self.assertIsNone(read_directory().find_by_key("k"))

    def test_odd_workspaces_are_left_out_and_others_kept(self):
        odd = (
            {"name": "w"},
            {"name": "", "api_keys": []},
            {"name": "w\r\nX: y", "api_keys": []},
            {"name": "w", "api_keys": ["a b"]},
            {"name": "w", "api_keys": "k1"},
            {"name": "w", "api_keys": [1]},
            {"name": "w", "api_keys": [], "rate_per_s": -1},
            {"name": "w", "api_keys": [], "rate_per_s": "5"},
            {"name": "w", "api_keys": [], "burst": True},
            {"name": "w", "api_keys": [], "priority": "0"},
            None,
            "w",
            [],
        )
        for item in odd:
            with self.subTest(item=item):
                directory = read_directory(item, WORKSPACE)
                self.assertEqual(len(directory), 1)
                self.assertEqual(directory.find_by_key("k1").name, "w1")

    def test_workspaces_that_are_no_list_make_the_document_unreadable(self):
        # No key could be told from another, so the version before stays in force.
        for value in ({}, "w", 1, True):
            with self.subTest(value=value):
                self.assertIsNone(read_rules(make_config(1) | {"tenants": value}))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.lists(st.sampled_from("abcdef"), max_size=4), max_size=6))
    def test_key_is_found_exactly_if_one_workspace_holds_it(self, key_lists):
        workspaces = [Workspace(f"w{i}", tuple(k)) for i, k in enumerate(key_lists)]
        directory = Directory(workspaces)
        for key in "abcdef":
            holders = [item for item in workspaces if key in item.keys]
            expected = holders[0] if len(holders) == 1 else None
            self.assertIs(directory.find_by_key(key), expected)


class RouteKindTest(unittest.TestCase):
    """Routes of the kind ``upload`` were left out, so that callers got 404."""

    def test_upload_and_unknown_kinds_run_at_most_once(self):
        for kind in ("upload", "non_idempotent", "of-a-later-version"):
            with self.subTest(kind=kind):
                rules = read_rules(make_config(1, type=kind))
                self.assertEqual([r.is_idempotent for r in rules.routes], [False])

    def test_route_without_time_out_is_bounded_by_the_deadline_only(self):
        config = make_config(1)
        del config["routes"][0]["timeout"]
        (route,) = read_rules(config).routes
        self.assertGreater(route.timeout_ms, 86_400_000)
