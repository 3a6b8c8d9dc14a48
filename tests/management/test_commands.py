import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from damaskdyke.core.management.runner import run
from tests.failures.cases import FleetCase


def run_command(*arguments):
    """Run one command; return its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = run(list(arguments))
        except SystemExit as end:
            code = end.code
    return code, out.getvalue(), err.getvalue()


class FleetCommandTest(FleetCase):
    plan = {"proxies": 2, "upstreams": 2}

    def setUp(self):
        self.address = self.fleet.proxies[0].address
        self.other = self.fleet.proxies[1].address

    def test_status_is_a_table_or_json(self):
        code, out, _ = run_command("status", self.address, self.other)
        self.assertEqual(code, 0)
        self.assertEqual(out.count("ready"), 2)
        code, out, _ = run_command("status", "--json", self.address)
        self.assertEqual(json.loads(out)[self.address]["phase"], "ready")

    def test_status_reports_an_unreachable_proxy(self):
        code, out, _ = run_command("status", "127.0.0.1:9")
        self.assertEqual(code, 3)
        self.assertIn("unreachable", out)

    def test_explain_names_rule_and_upstreams(self):
        code, out, _ = run_command("explain", self.address, "/crew-desk/pumps/7")
        self.assertEqual(code, 0)
        self.assertIn("rule.id: lookup", out)
        self.assertIn("crew-desk-1", out)
        code, out, _ = run_command("explain", self.address, "/nowhere")
        self.assertEqual(code, 1)
        self.assertIn("unknown-route", out)

    def test_lookup_prints_the_reply(self):
        code, out, _ = run_command("lookup", self.address, "/crew-desk/pumps/7")
        self.assertEqual(code, 0)
        self.assertIn("/crew-desk/pumps/7", out)
        self.assertEqual(run_command("lookup", self.address, "/nowhere")[0], 1)

    def test_order_is_repeated_under_its_ticket(self):
        name, body = self.make_order()
        both = f"{self.address},{self.other}"
        path = "/crew-desk/callouts"
        code, out, err = run_command("order", both, path, "--body", body.decode())
        self.assertEqual(code, 0)
        ticket = err.split("ticket: ")[1].split()[0]
        again = ("order", self.other, path, "--body", body.decode(), "--ticket", ticket)
        self.assertEqual(run_command(*again)[:2], (0, out))
        self.assertEqual(self.count_runs(name), 1)

    def test_withdrawn_order_ends_with_its_own_code(self):
        ticket = self.fleet.proxies[0].take_ticket()
        code, _, err = run_command(
            "order", self.other, "--withdraw", "--ticket", ticket
        )
        self.assertEqual(code, 5)
        self.assertIn("not-run", err)


class CheckCommandTest(unittest.TestCase):
    def test_every_error_of_a_tree_is_printed(self):
        with tempfile.TemporaryDirectory() as name:
            Path(name, "pumps.toml").write_text("colour = 1\n[services.desk]\n")
            Path(name, "other.toml").write_text("not toml")
            code, out, _ = run_command("check", name)
        self.assertEqual(code, 2)
        for text in ("tree.E002", "tree.E003", "tree.E004", "services.desk.floor"):
            self.assertIn(text, out)

    def test_example_settings_have_no_errors(self):
        for name in ("viti", "muscat"):
            self.assertEqual(run_command("check", f"examples/{name}")[0], 0)

    def test_every_command_has_help_and_version(self):
        for command in ("proxy", "check", "explain", "status", "lookup", "order"):
            self.assertEqual(run_command(command, "--help")[0], 0)
            self.assertIn("damaskdyke 0.", run_command(command, "--version")[1])

    def test_invalid_daemon_file_exits_with_usage_error(self):
        with tempfile.TemporaryDirectory() as name:
            file = Path(name, "proxy.toml")
            file.write_text('zone = "Suva"\n')
            code, _, err = run_command("proxy", "--settings", str(file))
        self.assertEqual(code, 2)
        self.assertIn("required key is missing", err)
