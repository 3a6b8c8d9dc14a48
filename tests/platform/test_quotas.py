"""Test of a quota over proxy processes in two zones that share it by gossip."""

import contextlib
import io
import threading
import time
import unittest

from damaskdyke.core.management.runner import run
from damaskdyke.gateway.daemon import METRICS_PORT
from damaskdyke.platform import names
from damaskdyke.testbed.deployment import deploy, make_config
from damaskdyke.testbed.processes import wait_for
from damaskdyke.testbed.quotas import compute_bound, find_busiest_window
from tests.workspaces.fleets import make_workspace

RATE, BURST = 20, 10
WORKSPACES = [
    {"name": "busy", "api_keys": ["k1"], "rate_per_s": RATE, "burst": BURST},
    {"name": "other", "api_keys": ["k2"]},
]
LOAD_SECONDS = 8
PAUSE_SECONDS = 0.02


class QuotaDeploymentTest(unittest.TestCase):
    proxies = 4

    def setUp(self):
        self.fleet = self.enterContext(deploy(self.proxies, 3))
        config = make_config(2) | {"tenants": WORKSPACES}
        self.fleet.store.put(names.RULES_KEY, config)
        for proxy in self.fleet.proxies:
            wait_for(lambda proxy=proxy: self.call(proxy, "") == 401, "the workspaces")
        self.answers = {"k1": [], "k2": []}

    def call(self, proxy, key):
        with contextlib.closing(proxy.open()) as connection:
            return self.call_on(connection, key)[0]

    def call_on(self, connection, key):
        headers = {
            "Host": "h.example",
            names.REQUEST_ID: "q",
            names.DEADLINE_MS: "2000",
            names.API_KEY: key,
        }
        connection.request("GET", "/lookup/x", headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers["Retry-After"]

    def load(self, proxy, key, end):
        with contextlib.closing(proxy.open()) as connection:
            while time.monotonic() < end:
                answer = self.call_on(connection, key)
                self.answers[key].append((time.monotonic() * 1_000, *answer))
                time.sleep(PAUSE_SECONDS)

    def test_operators_see_the_bucket_and_the_refusal(self):
        # The reports were served by none of the proxy's listeners.
        proxy = self.fleet.proxies[0]
        while self.call(proxy, "k1") != 429:
            pass
        address = f"{proxy.host}:{METRICS_PORT}"
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            run(["status", address])
            run(["explain", address, "--request", "q"])
        self.assertIn("busy", output.getvalue())
        self.assertIn("decision: over-quota", output.getvalue())

    def test_busy_workspace_stays_below_its_quota_on_all_proxies_together(self):
        # Each proxy, or each zone, admitted the whole quota.
        end = time.monotonic() + LOAD_SECONDS
        threads = [
            threading.Thread(target=self.load, args=(proxy, key, end))
            for proxy in self.fleet.proxies
            for key in self.answers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({status for _, status, _ in self.answers["k1"]}, {200, 429})
        self.assertEqual({status for _, status, _ in self.answers["k2"]}, {200})
        for _, status, retry_after in self.answers["k1"]:
            self.assertEqual(status == 429, retry_after is not None)
        times = sorted(at for at, status, _ in self.answers["k1"] if status == 200)
        bound = compute_bound(make_workspace(rate=RATE, burst=BURST))
        self.assertLessEqual(find_busiest_window(times), bound)
        late = [at for at in times if at > times[-1] - 4_000]
        self.assertGreaterEqual(len(late), 0.6 * 4 * RATE)
