"""Tests of the checks of a configuration and of the differences of two."""

import dataclasses
import unittest

from damaskdyke.conf.checks.findings import Severity, Version
from damaskdyke.conf.checks.runner import run_checks
from damaskdyke.conf.vm import DEFAULT_BOUNDS, StoreSettings, VmSettings
from tests.platform.test_configuration import (
    ROUTE,
    SERVICE,
    WORKSPACE,
    make_document,
    read,
)

ROOMY = dataclasses.replace(DEFAULT_BOUNDS, retry_ratio=0.2, retry_slack=58.0)


def make_settings(bounds=ROOMY, memory_mb=512):
    """Return the settings of a VM."""
    return VmSettings(
        name="vm",
        ip="127.0.0.1",
        zone="a",
        caller_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        gossip_port=3,
        view_port=4,
        seeds=(),
        store=StoreSettings("127.0.0.1:5"),
        bounds=bounds,
        memory_mb=memory_mb,
    )


class ChecksCase(unittest.TestCase):
    def list_findings(self, document, in_force=None, vm_settings=None):
        """Return id and place of the findings, and keep these by id."""
        known = None if in_force is None else read(in_force)
        found = run_checks(read(document), known, vm_settings)
        self.by_id = {finding.id: finding for finding in found}
        return [(finding.id, finding.place) for finding in found]


class GoodDocumentTest(ChecksCase):
    def test_good_document_has_no_findings_but_of_its_zero_weight(self):
        # A warning about a good file teaches operators to ignore warnings.
        expected = [("keys.no-keys", "tenants[2].api_keys")]
        expected.append(("matching.zero-weight", "routes[1].split"))
        found = self.list_findings(make_document(), vm_settings=make_settings())
        self.assertEqual(found, expected)


class MatchingTest(ChecksCase):
    """An entry that no request reaches was deployed, or a good one was reported."""

    def test_second_route_with_a_prefix_never_matches(self):
        # Host names are compared without case, so the two looked different.
        document = make_document(routes=[ROUTE, ROUTE | {"host": "H.Example"}])
        found = self.list_findings(document)
        self.assertIn(("matching.duplicate-route", "routes[1].prefix"), found)

    def test_longer_prefix_is_not_shadowed(self):
        # It is used whatever the order of the routes.
        for routes in ([ROUTE, ROUTE | {"prefix": "/p/q/"}], [ROUTE | {"prefix": "/"}]):
            found = dict(self.list_findings(make_document(routes=routes)))
            self.assertNotIn("matching.duplicate-route", found)

    def test_hosts_and_prefixes_that_no_request_has(self):
        cases = {
            "matching.prefix": [{"prefix": p} for p in ("/a b/", "/a?b/", "/é/")],
            "matching.host": [
                {"host": h} for h in ("h.example:80", "http://h.example", "a b")
            ],
        }
        for name, changes in cases.items():
            for change in changes:
                with self.subTest(change=change):
                    document = make_document(routes=[ROUTE | change])
                    self.assertIn(name, dict(self.list_findings(document)))
        # Requests without the header have an empty host.
        for host in ("", "h.example", "10.0.0.1", "[::1]"):
            document = make_document(routes=[ROUTE | {"host": host}])
            self.assertNotIn("matching.host", dict(self.list_findings(document)))

    def test_services_without_routes_and_defined_twice(self):
        # The later definition replaced the earlier one without a word.
        services = [SERVICE, SERVICE | {"max_conns": 5}, SERVICE | {"name": "unused"}]
        found = self.list_findings(make_document(services=services, routes=[ROUTE]))
        self.assertIn(("matching.repeated-service", "services[0].name"), found)
        self.assertIn(("matching.unused-service", "services[2]"), found)

    def test_document_without_routes(self):
        # An empty list is accepted, and every request was answered 404.
        found = self.list_findings(make_document(routes=[]))
        self.assertIn(("matching.no-routes", "routes"), found)


class LimitsTest(ChecksCase):
    """A limit was deployed that has no effect, or refuses requests by mistake."""

    def check_route(self, name, **fields):
        document = make_document(routes=[ROUTE | fields])
        return name in dict(self.list_findings(document, vm_settings=self.settings))

    settings = make_settings()

    def test_time_out_and_goal(self):
        # Requests were given up before the time in which they were to be answered.
        name = "limits.timeout-below-goal"
        self.assertTrue(self.check_route(name, timeout="799ms"))
        self.assertFalse(self.check_route(name, timeout="800ms"))
        # A proxy keeps 12 ms for its answer and sends nothing in the last 40 ms.
        name = "limits.timeout-too-short"
        self.assertTrue(self.check_route(name, timeout="52ms"))
        self.assertFalse(self.check_route(name, timeout="53ms"))

    def test_attempts_without_effect(self):
        name = "limits.order-attempts"
        self.assertTrue(self.check_route(name, type="non_idempotent", attempts=2))
        self.assertTrue(self.check_route(name, type="upload", attempts=2))
        self.assertFalse(self.check_route(name, type="non_idempotent", attempts=1))
        self.assertFalse(self.check_route(name, attempts=9))
        self.assertTrue(self.check_route("limits.no-attempts", attempts=0))

    def test_attempts_and_the_retry_budget(self):
        # Without a budget nothing is sent again, whatever a route allows.
        self.settings = make_settings(DEFAULT_BOUNDS)
        name = "limits.no-retry-budget"
        self.assertTrue(self.check_route(name, attempts=2))
        self.assertFalse(self.check_route(name, attempts=1))
        self.assertFalse(self.check_route(name, type="upload", attempts=2))
        small = dataclasses.replace(DEFAULT_BOUNDS, retry_ratio=0.2, retry_slack=2.2)
        self.settings = make_settings(small)
        # 0.85 of 2.4 extra sends, so that two are allowed.
        self.assertFalse(self.check_route("limits.small-retry-budget", attempts=3))
        self.assertTrue(self.check_route("limits.small-retry-budget", attempts=4))

    def test_quota_whose_rate_does_not_fit_its_burst(self):
        # Rates were given per minute or left out.
        cases = (
            ("limits.rate-below-burst", 4.9, 100, True),
            ("limits.rate-below-burst", 5, 100, False),
            ("limits.rate-below-burst", 0, 100, False),
            ("limits.burst-without-rate", 0, 100, True),
            ("limits.burst-without-rate", 0, 0, False),
        )
        for name, rate, burst, is_found in cases:
            with self.subTest(rate=rate, burst=burst):
                quota = {"rate_per_s": rate, "burst": burst}
                document = make_document(tenants=[WORKSPACE | quota])
                found = self.list_findings(document)
                self.assertEqual((name, "tenants[0].rate_per_s") in found, is_found)

    def test_body_limit_over_the_memory(self):
        # A proxy logs memory-below-body-limit only once it serves.
        document = make_document()
        document["limits"]["max_body_bytes"] = 64 * 1024 * 1024
        for memory_mb, is_found in ((100, True), (512, False)):
            found = self.list_findings(
                document, vm_settings=make_settings(memory_mb=memory_mb)
            )
            self.assertEqual("limits.body-over-memory" in dict(found), is_found)

    def test_service_that_accepts_no_connection(self):
        document = make_document()
        document["services"][0]["max_conns"] = 0
        found = self.list_findings(document)
        self.assertIn(("limits.zero-connections", "services[0].max_conns"), found)


class KeysTest(ChecksCase):
    """Callers were answered 401 since a key or a name occurs twice."""

    def test_key_of_two_workspaces_is_one_finding_that_names_both(self):
        document = make_document()
        document["tenants"][1]["api_keys"] = ["k3", "k2"]
        found = self.list_findings(document)
        self.assertIn(("keys.shared-key", "tenants[0].api_keys[1]"), found)
        message = self.by_id["keys.shared-key"].message
        self.assertIn("'w2' at tenants[1].api_keys[1]", message)

    def test_key_listed_twice_by_one_workspace_is_its_own(self):
        tenants = [WORKSPACE | {"api_keys": ["k", "k"]}]
        found = dict(self.list_findings(make_document(tenants=tenants)))
        self.assertNotIn("keys.shared-key", found)
        self.assertIn("keys.repeated-key", found)

    def test_workspace_with_the_name_of_an_earlier_one(self):
        document = make_document()
        document["tenants"][1]["name"] = "w1"
        found = self.list_findings(document)
        self.assertIn(("keys.repeated-workspace", "tenants[1].name"), found)


class DifferencesTest(ChecksCase):
    """A change had another effect on requests than operators expected."""

    def compare(self, before=None, **fields):
        old = before or make_document()
        new = make_document(**{"config_version": 4} | fields)
        found = self.list_findings(new, old)
        return [item for item in found if item[0].startswith("differences.")]

    def compare_routes(self, before, after):
        return self.compare(make_document(routes=before), routes=after)

    def compare_workspaces(self, before, after):
        return self.compare(make_document(tenants=before), tenants=after)

    def test_equal_versions_do_not_differ(self):
        self.assertEqual(self.compare(), [])
        self.assertEqual(self.compare(config_version=3), [])

    def test_version_that_does_not_rise_is_ignored_by_proxies(self):
        # Proxies went on with the version in force, and nothing told why.
        for version in (2, 3):
            found = self.compare(config_version=version, routes=[ROUTE])
            self.assertIn(("differences.version", "config_version"), found)
            severity = self.by_id["differences.version"].severity
            self.assertIs(severity, Severity.ERROR)

    def test_dropped_route_tells_who_gets_its_requests(self):
        inner = ROUTE | {"name": "inner", "prefix": "/p/q/r/", "service": "till"}
        found = self.compare_routes([ROUTE, inner], [ROUTE])
        self.assertEqual(found, [("differences.route-dropped", "routes[1]")])
        finding = self.by_id["differences.route-dropped"]
        self.assertIs(finding.version, Version.IN_FORCE)
        self.assertIn("they go to route 'r' and service 'desk'", finding.message)
        self.compare_routes([ROUTE, inner], [inner])
        message = self.by_id["differences.route-dropped"].message
        self.assertIn("answered 404", message)

    def test_added_route_tells_whose_requests_it_takes(self):
        inner = ROUTE | {"prefix": "/p/q/", "service": "till"}
        cases = (
            ([ROUTE], [ROUTE, inner], Severity.WARNING),
            ([ROUTE], [ROUTE, inner | {"service": "desk"}], Severity.NOTE),
            ([inner], [inner, ROUTE], Severity.NOTE),
        )
        for before, after, severity in cases:
            found = self.compare_routes(before, after)
            self.assertEqual(found, [("differences.route-added", "routes[1]")])
            finding = self.by_id["differences.route-added"]
            self.assertIs(finding.severity, severity)

    def test_route_of_another_host_takes_nothing(self):
        other = ROUTE | {"host": "other.example", "prefix": "/p/q/"}
        self.compare_routes([ROUTE], [ROUTE, other])
        message = self.by_id["differences.route-added"].message
        self.assertIn("they were answered 404", message)

    def test_moved_route_and_changed_weights(self):
        found = self.compare_routes([ROUTE], [ROUTE | {"service": "till"}])
        self.assertEqual(found, [("differences.route-moved", "routes[0].service")])
        splits = [
            ROUTE | {"split": [{"service": s, "weight": w} for s, w in parts]}
            for parts in (
                (("desk", 1), ("till", 1)),
                (("desk", 1), ("till", 2)),
                (("desk", 1), ("till", 0)),
            )
        ]
        found = self.compare_routes(splits[:1], splits[1:2])
        self.assertEqual(found, [("differences.route-weights", "routes[0].split")])
        # Weight 0 takes all requests from a service.
        found = self.compare_routes(splits[1:2], splits[2:])
        self.assertEqual(found, [("differences.route-moved", "routes[0].split")])

    def test_attributes_of_a_route(self):
        changes = {
            "type": ("upload", Severity.WARNING),
            "timeout": ("1s", Severity.WARNING),
            "goal": ("700ms", Severity.NOTE),
            "priority": (3, Severity.WARNING),
            "attempts": (3, Severity.NOTE),
            "public": (True, Severity.NOTE),
        }
        for name, (value, severity) in changes.items():
            with self.subTest(name):
                found = self.compare_routes([ROUTE], [ROUTE | {name: value}])
                expected = (f"differences.route-{name}", f"routes[0].{name}")
                self.assertEqual(found, [expected])
                self.assertIs(self.by_id[expected[0]].severity, severity)
        without = {name: ROUTE[name] for name in ROUTE if name != "timeout"}
        self.compare_routes([ROUTE], [without])
        message = self.by_id["differences.route-timeout"].message
        self.assertIn("from 1500 ms to none", message)

    def test_key_that_moves_is_not_reported_as_revoked(self):
        other = {"name": "w2", "api_keys": ["k3"]}
        found = self.compare_workspaces(
            [WORKSPACE, other],
            [WORKSPACE | {"api_keys": ["k1"]}, other | {"api_keys": ["k3", "k2"]}],
        )
        self.assertEqual(found, [("differences.keys-moved", "tenants[1].api_keys")])

    def test_revoked_and_added_keys_are_counted(self):
        after = WORKSPACE | {"api_keys": ["k2", "k8", "k9"]}
        found = self.compare_workspaces([WORKSPACE], [after])
        place = "tenants[0].api_keys"
        expected = [("differences.keys-revoked", place)]
        self.assertEqual(found, [*expected, ("differences.keys-added", place)])
        message = self.by_id["differences.keys-revoked"].message
        self.assertIn("revoked keys: 1", message)
        self.assertIn("new keys: 2", self.by_id["differences.keys-added"].message)

    def test_key_that_becomes_shared_is_revoked(self):
        # Neither list of keys got shorter, and its callers got 401.
        other = {"name": "w2", "api_keys": ["k2"]}
        found = self.compare_workspaces([WORKSPACE], [WORKSPACE, other])
        self.assertIn(("differences.keys-revoked", "tenants[0].api_keys"), found)

    def test_key_that_is_no_longer_shared_is_added(self):
        # The list of the workspace that gets its key back did not change.
        other = {"name": "w2", "api_keys": ["k2"]}
        before = [WORKSPACE, other]
        found = self.compare_workspaces(before, [WORKSPACE, other | {"api_keys": []}])
        self.assertEqual(found, [("differences.keys-added", "tenants[0].api_keys")])

    def test_dropped_workspace_with_a_key_that_another_one_takes(self):
        other = {"name": "w2", "api_keys": ["k2"]}
        found = dict(self.compare_workspaces([WORKSPACE], [other]))
        self.assertEqual(
            set(found),
            {f"differences.{x}" for x in ("workspace-dropped", "keys-moved")}
            | {"differences.workspace-added"},
        )
        message = self.by_id["differences.workspace-dropped"].message
        self.assertIn("revoked keys: 1", message)

    def test_quotas_and_priorities(self):
        cases = (
            ({"rate_per_s": 4}, "quota-rate", Severity.WARNING),
            ({"rate_per_s": 6}, "quota-rate", Severity.NOTE),
            # 0 sets no limit, so that it is no lower quota.
            ({"rate_per_s": 0}, "quota-rate", Severity.NOTE),
            ({"burst": 9}, "quota-burst", Severity.WARNING),
            ({"priority": 2}, "workspace-priority", Severity.WARNING),
            ({"priority": 0}, "workspace-priority", Severity.NOTE),
            ({"priority": None}, "workspace-priority", Severity.WARNING),
        )
        for change, name, severity in cases:
            with self.subTest(change):
                found = self.compare_workspaces([WORKSPACE], [WORKSPACE | change])
                self.assertEqual([item[0] for item in found], [f"differences.{name}"])
                self.assertIs(self.by_id[found[0][0]].severity, severity)
        unlimited = WORKSPACE | {"rate_per_s": 0}
        self.compare_workspaces([unlimited], [WORKSPACE])
        severity = self.by_id["differences.quota-rate"].severity
        self.assertIs(severity, Severity.WARNING)

    def test_keys_that_are_needed_from_now_on(self):
        # The first list of workspaces turned every caller without a key away.
        found = self.compare_workspaces(None, [WORKSPACE])
        self.assertEqual(found, [("differences.key-requirement", "tenants")])
        found = self.compare_workspaces([WORKSPACE], None)
        self.assertEqual(found, [("differences.key-requirement", "document")])

    def test_services_and_limits(self):
        document = make_document()
        document["services"][0] |= {"max_conns": 5, "health_path": "/up"}
        document["limits"] = document["limits"] | {"max_body_bytes": 10}
        found = self.compare(services=document["services"], limits=document["limits"])
        self.assertCountEqual(
            found,
            [
                ("differences.service-health-path", "services[0].health_path"),
                ("differences.service-connections", "services[0].max_conns"),
                ("differences.limit-body", "limits.max_body_bytes"),
            ],
        )

    def test_refused_document_is_not_compared(self):
        # It changes nothing: the version in force stays.
        self.assertEqual(self.compare(config_version="x", routes=[]), [])
