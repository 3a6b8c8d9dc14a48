"""Tests of the reports on workspaces that operators get from a proxy.

An operator who was asked why a request was refused had only the logs of each proxy.
"""

import contextlib
import io
import json
import unittest

from damaskdyke.core.ids import Address
from damaskdyke.core.management.base import ExitCode
from damaskdyke.core.management.runner import run
from damaskdyke.dispatch.selection import SelectionCriteria
from damaskdyke.dispatch.waiting import WaitPlan
from damaskdyke.gateway.application import Application
from damaskdyke.gateway.instruments import Instruments
from damaskdyke.gateway.metrics import PrometheusExporter, make_metrics_gateway
from damaskdyke.gateway.reports import GatewayReporter, render_page
from damaskdyke.gateway.server import ThreadedServer
from damaskdyke.platform.headers import HEADERS
from damaskdyke.workspaces.freshness import FreshnessTracker
from damaskdyke.workspaces.refusals import (
    MAX_ID_LENGTH,
    MAX_REFUSALS,
    Decision,
    Refusal,
    RefusalLog,
)
from tests.gateway.cases import SETTINGS, GatewayCase
from tests.gateway.test_quotas import QuotaCase


def run_command(*arguments):
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = run(list(arguments))
    return code, output.getvalue()


def serve_reports(case, refusals, freshness):
    """Serve the reports of a test's proxy and return their address."""
    reporter = GatewayReporter(
        lambda: SETTINGS,
        lambda: case.view,
        case.dispatcher,
        freshness,
        refusals,
        case.clock,
        lambda: 3,
        lambda: "ready",
    )
    exporter = PrometheusExporter(Instruments())
    server = ThreadedServer(
        Address("127.0.0.1:0"), make_metrics_gateway(exporter, reporter), case.clock
    )
    case.enterContext(server)
    case.addCleanup(server.stop_accepting)
    return f"127.0.0.1:{server._listener.getsockname()[1]}"


class WorkspaceReportTest(QuotaCase):
    def setUp(self):
        super().setUp()
        self.freshness = FreshnessTracker(None)
        refusals = RefusalLog()
        self.application = Application(
            self.dispatcher,
            self.pool,
            HEADERS,
            self.instruments,
            self.clock,
            lambda: self.view,
            lambda: True,
            lambda: 1,
            self.freshness,
            refusals,
        )
        self.address = serve_reports(self, refusals, self.freshness)

    def explain(self, request="q"):
        code, text = run_command(
            "explain", self.address, "--request", request, "--json"
        )
        return code, json.loads(text)

    def check_explained(self, decision, workspace, inputs):
        code, report = self.explain()
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(report["decision"], decision)
        self.assertEqual(report["workspace"], workspace)
        self.assertGreaterEqual(report["ago_ms"], 0)
        self.assertLessEqual(inputs, set(report["inputs"]))
        return report["inputs"]

    def test_refusal_over_the_quota(self):
        self.report_sends(50)
        self.ask("k1")
        names = {"tokens", "share_per_second", "zones_age_ms", "retry_after_ms"}
        inputs = self.check_explained("over-quota", "limited", names)
        self.assertLess(inputs["tokens"], 0)

    def test_unknown_key_is_not_shown(self):
        self.ask("a-secret")
        names = {"version", "revision", "proof_age_ms"}
        inputs = self.check_explained("unknown-key", None, names)
        _, text = run_command("explain", self.address, "--request", "q")
        self.assertIn("workspace: -", text)
        self.assertNotIn("a-secret", str(inputs))

    def test_key_without_a_proof(self):
        self.freshness.set_max_age_ms(5_000)
        self.freshness.record_watch(self.clock.now() - 6_000, 1)
        self.ask("k2")
        inputs = self.check_explained("key-unproven", "unlimited", {"revision"})
        self.assertGreaterEqual(inputs["proof_age_ms"], 6_000)

    def test_refusal_for_lack_of_room(self):
        criteria = SelectionCriteria(False, True, workspace="unlimited")
        while self.dispatcher.begin_send("desk", criteria) is not None:
            pass
        self.dispatcher.plan_wait = lambda *_: self.refuse_wait()
        self.ask("k2")
        names = {"use_ms", "fair_share_ms", "reports_age_ms", "waited_ms"}
        self.check_explained("no-room", "unlimited", names)

    def refuse_wait(self):
        return WaitPlan(False, 0, 100)

    def test_request_that_was_not_refused(self):
        self.ask("k2")
        code, report = self.explain()
        self.assertEqual(code, ExitCode.FAILED)
        self.assertEqual(report["decision"], "not-kept")
        code, text = run_command("explain", self.address, "--request", "q")
        self.assertIn("decision: not-kept", text)
        self.assertEqual(run_command("explain", self.address)[0], ExitCode.USAGE)

    def test_status_shows_proof_active_workspaces_and_buckets(self):
        self.freshness.set_max_age_ms(5_000)
        self.freshness.record_watch(self.clock.now(), 1)
        self.ask("k2")
        self.ask("k1")
        code, text = run_command("status", self.address, "--json")
        self.assertEqual(code, ExitCode.OK)
        report = json.loads(text)[self.address]["workspaces"]
        self.assertEqual(report["configured"], 2)
        self.assertEqual((report["active"], report["buckets"]), (2, 1))
        self.assertGreaterEqual(report["proof_age_ms"], 0)
        (largest,) = report["largest"]
        self.assertEqual((largest["name"], largest["rate"]), ("limited", 1.0))
        self.assertLess(largest["tokens"], largest["capacity"])
        self.assertNotIn("k1", text)
        code, text = run_command("status", self.address, "127.0.0.1:9")
        self.assertEqual(code, ExitCode.UNREACHABLE)
        for part in ("2 of 2", "limited", " ms", "unreachable"):
            self.assertIn(part, text)


class NoWorkspacesReportTest(GatewayCase):
    def test_status_without_workspaces(self):
        address = serve_reports(self, RefusalLog(), FreshnessTracker(None))
        code, text = run_command("status", address, "--json")
        self.assertEqual(code, ExitCode.OK)
        self.assertNotIn("workspaces", json.loads(text)[address])
        self.assertIn("ready", run_command("status", address)[1])


class PageTest(unittest.TestCase):
    def test_malformed_uri_is_no_page(self):
        """The error of the parser would end the request without an answer."""
        self.assertIsNone(render_page(None, "//[x"))


class RefusalLogTest(GatewayCase):
    def test_memory_is_bounded_in_number_and_in_length(self):
        # Callers choose the ids, and a hot workspace has any number refused.
        log = RefusalLog()
        refusal = Refusal(None, Decision.NO_KEY, 0)
        for number in range(MAX_REFUSALS + 10):
            log.record(f"{number}-" + "x" * 10_000, refusal)
        self.assertEqual(len(log), MAX_REFUSALS)
        self.assertLessEqual(max(map(len, log._refusals)), MAX_ID_LENGTH)
        self.assertIsNone(log.find("0-" + "x" * 10_000))
        self.assertIs(log.find(f"{MAX_REFUSALS}-" + "x" * 10_000), refusal)
