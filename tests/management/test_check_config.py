"""Tests of the command that checks a configuration."""

import json
import tempfile
import unittest
from pathlib import Path

from damaskdyke.testbed.deployment import SETTINGS
from tests.management.test_commands import run_command
from tests.platform.test_configuration import ROUTE, WORKSPACE, make_document

EXAMPLES = Path("examples/check-config")
TEN_FAULTS = {
    ("error", "document.invalid-field", "routes[0].prefix"),
    ("error", "document.invalid-field", "routes[0].timeout"),
    ("warning", "limits.order-attempts", "routes[1].attempts"),
    ("warning", "limits.timeout-below-goal", "routes[2].timeout"),
    ("error", "matching.duplicate-route", "routes[3].prefix"),
    ("error", "document.unknown-service", "routes[4].service"),
    ("error", "document.zero-weights", "routes[5].split"),
    ("error", "keys.shared-key", "tenants[0].api_keys[1]"),
    ("warning", "keys.no-keys", "tenants[2].api_keys"),
    ("warning", "limits.rate-below-burst", "tenants[3].rate_per_s"),
}
GOOD = {
    "routes": [ROUTE],
    "tenants": [WORKSPACE],
    "services": make_document()["services"][:1],
}


class CheckConfigTest(unittest.TestCase):
    """A pipeline or an operator could not rely on the exit code or the report."""

    def setUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, name, content):
        """Write a file and return its path."""
        path = self.directory / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text)
        return str(path)

    def check(self, document, *arguments):
        return run_command("check-config", self.write("c.json", document), *arguments)

    def test_all_faults_of_the_example_are_reported_in_one_run(self):
        # Only the first fault was named, so that ten runs were needed.
        file = str(EXAMPLES / "ten-faults.json")
        code, out, _ = run_command("check-config", file, "--json")
        report = json.loads(out)
        found = [(f["severity"], f["id"], f["place"]) for f in report["findings"]]
        self.assertEqual(len(found), 10)
        self.assertEqual(set(found), TEN_FAULTS)
        self.assertEqual(code, 1)
        self.assertEqual(report["counts"], {"error": 6, "warning": 4, "note": 0})
        for finding in report["findings"]:
            self.assertIn("expected", finding["message"])
            self.assertTrue(finding["hint"])

    def test_text_has_a_line_for_each_finding(self):
        file = str(EXAMPLES / "ten-faults.json")
        code, out, _ = run_command("check-config", file)
        lines = [line for line in out.splitlines() if line.startswith(f"{file}: ")]
        self.assertEqual((code, len(lines)), (1, 10))
        # Among thousands of routes an index alone is hard to find.
        self.assertIn("routes[4].service ('reports'): error", out)
        self.assertTrue(out.endswith("errors: 6, warnings: 4, notes: 0\n"))

    def test_version_in_force_of_the_example_has_no_findings(self):
        code, out, _ = run_command("check-config", str(EXAMPLES / "in-force.json"))
        self.assertEqual(code, 0)
        self.assertTrue(out.endswith("errors: 0, warnings: 0, notes: 0\n"))

    def test_exit_code_tells_the_heaviest_finding(self):
        # A pipeline deploys on 0, and on 2 where warnings are accepted.
        unused = make_document()["services"][1:]
        late = [ROUTE | {"timeout": "100ms"}]
        cases = (
            ({}, 0),
            ({"services": GOOD["services"] + unused}, 0),
            ({"routes": late}, 2),
            ({"routes": late, "config_version": "1"}, 1),
        )
        for fields, expected in cases:
            with self.subTest(expected=expected):
                document = make_document(**GOOD | fields)
                self.assertEqual(self.check(document)[0], expected)

    def test_file_that_cannot_be_read_ends_with_3(self):
        good = self.write("good.json", make_document())
        missing = str(self.directory / "missing.json")
        broken = self.write("broken.json", "{")
        refused = self.write("refused.json", {})
        cases = (
            [missing],
            [broken],
            [good, "--against", missing],
            [good, "--against", broken],
            [good, "--against", refused],
            [good, "--settings", missing],
            [good, "--settings", broken],
        )
        for arguments in cases:
            with self.subTest(arguments=arguments):
                code, out, err = run_command("check-config", *arguments)
                self.assertEqual((code, out), (3, ""))
                self.assertIn(arguments[-1], err)

    def test_wrong_arguments_do_not_end_like_warnings(self):
        # 2 is the usual exit code for them, on which a pipeline may deploy.
        good = self.write("good.json", make_document())
        for arguments in ([], [good, "--agianst", good], [good, good]):
            self.assertEqual(run_command("check-config", *arguments)[0], 3)
        self.assertEqual(run_command("trace")[0], 2)

    def test_tree_of_the_project_is_told_the_other_command(self):
        for path in ("examples/viti", "examples/viti/vms.toml"):
            code, _, err = run_command("check-config", path)
            self.assertEqual(code, 3)
            self.assertIn("damaskdyke check DIRECTORY", err)

    def test_place_of_a_dropped_route_is_in_the_other_file(self):
        # It was looked for in the new file, which no longer has it.
        old = self.write("old.json", make_document())
        _, out, _ = self.check(
            make_document(config_version=4, routes=[ROUTE]), "--against", old, "--json"
        )
        files = {
            finding["file"]
            for finding in json.loads(out)["findings"]
            if finding["id"] == "differences.route-dropped"
        }
        self.assertEqual(files, {old})

    def test_keys_in_odd_places_are_not_shown(self):
        """Names of fields and values were quoted where a key had been put instead."""
        for tenants in (
            '[{"name": "w", "api_keys": {"SECRET": true, "SECRET": true}}]',
            '[{"name": "w", "api_keys": {"SECRET": {"a": 1, "a": 2}}}]',
            '{"SECRET": {"name": "w", "name": "x"}}',
            '["SECRET"]',
        ):
            text = json.dumps(make_document(**GOOD) | {"tenants": 0})
            text = text.replace('"tenants": 0', f'"tenants": {tenants}')
            path = self.write("keys.json", text)
            _, out, err = run_command("check-config", path)
            with self.subTest(tenants):
                self.assertNotIn("SECRET", out + err)

    def test_repeated_field_below_a_name_like_a_path(self):
        """The name was read as the path of an entry, and the command crashed."""
        for name in ("x[0]", "routes[7]"):
            text = json.dumps(make_document(**GOOD) | {name: 0})
            text = text.replace(f'"{name}": 0', f'"{name}": {{"a": 1, "a": 2}}')
            path = self.write("odd.json", text)
            code, out, _ = run_command("check-config", path)
            self.assertEqual(code, 2, out)

    def test_settings_of_a_vm_are_checked_too(self):
        text = SETTINGS.format(
            number=1,
            host="127.0.0.1",
            zone="a",
            inner=1,
            inner_last=2,
            seeds="",
            caller=3,
            ready=4,
            control=5,
            store="127.0.0.1:6",
        )
        roomy = self.write("vm.toml", text)
        small = self.write("small.toml", f"{text}[limits]\nmemory_mb = 100\n")
        document = make_document(**GOOD)
        document["limits"] = document["limits"] | {"max_body_bytes": 67_108_864}
        self.assertEqual(self.check(document, "--settings", roomy)[0], 0)
        code, out, _ = self.check(document, "--settings", small)
        self.assertEqual(code, 2)
        self.assertIn("limits.body-over-memory", out)
        self.assertNotIn("without --settings", out)

    def test_what_was_not_checked_is_said(self):
        # A check without settings looked like one with them.
        _, out, _ = self.check(make_document())
        self.assertEqual(out.count("not checked: "), 2)
        _, out, _ = self.check(make_document(), "--json")
        self.assertEqual(len(json.loads(out)["skipped"]), 2)
