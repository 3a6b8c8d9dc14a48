"""Test with proxy and upstream processes of a request that terminates upstreams."""

import re
import tempfile
import unittest
from pathlib import Path

import urllib3

from damaskdyke.gateway.daemon import METRICS_PORT
from damaskdyke.platform import names
from damaskdyke.testbed.deployment import Deployment
from damaskdyke.testbed.processes import ChildProcess, make_address, wait_for
from damaskdyke.testbed.serving import CONTROL_PREFIX

HARMLESS = "/lookup/x"
DEADLY = "/lookup/x?ms=60&crash=1"
GAUGES = r"^damaskdyke_quarantine_(suspect|quarantined)(?:{.*})? 1\.0$"


class QuarantineDeploymentTest(unittest.TestCase):
    proxies = 4
    upstreams = 5

    def setUp(self):
        self.fleet = self.enterContext(Deployment(self.proxies, 0))
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.processes = []
        for number in range(self.upstreams):
            self.start_upstream(f"s{number}", "ab"[number % 2], directory)
        self.fleet.wait_ready()
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: proxy.call("ready", HARMLESS)[0] == 200,
                "the upstreams",
            )

    def start_upstream(self, name, zone, directory):
        address = make_address("127.0.0.1")
        arguments = ["stand-in", "upstream", "--address", address, "--name", name]
        process = ChildProcess(name, arguments, directory / f"{name}.log")
        process.start()
        self.addCleanup(process.stop)
        self.processes.append(process)
        url = f"http://{address}{CONTROL_PREFIX}stats"

        def is_answering():
            try:
                return urllib3.request("GET", url, retries=False).status == 200
            except urllib3.exceptions.HTTPError:
                return False

        wait_for(is_answering, f"upstream {name}")
        entry = {
            "service": "desk",
            "addr": address,
            "zone": zone,
            "config_version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup_left": "0ms",
            "sequence": 1,
            "born": 1,
        }
        self.fleet.store.put(names.INSTANCE_PREFIX + name, entry)

    def count_crashed(self):
        return sum(not process.is_alive() for process in self.processes)

    def read_states(self, proxy):
        """Return the states in which a proxy has one request, from its metrics."""
        url = f"http://{proxy.host}:{METRICS_PORT}/metrics"
        text = urllib3.request("GET", url).data.decode()
        return re.findall(GAUGES, text, re.MULTILINE)

    def wait_for_state(self, state):
        for proxy in self.fleet.proxies:
            wait_for(lambda proxy=proxy: self.read_states(proxy) == [state], state)

    def test_request_terminates_two_upstreams_and_is_refused_by_all_proxies(self):
        """Each attempt of a caller terminated up to two upstreams more."""
        # A proxy may have no budget for a retry, so that one attempt may not suffice.
        for number, proxy in enumerate(self.fleet.proxies[:2]):
            status, _, _ = proxy.call(f"q1-{number}", DEADLY)
            self.assertEqual(status, 502)
            (state,) = self.read_states(proxy)
            self.wait_for_state(state)
            if state == "quarantined":
                break
        self.assertEqual(state, "quarantined")
        for number, proxy in enumerate(self.fleet.proxies):
            status, _, headers = proxy.call(f"q2-{number}", DEADLY)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 1)
            self.assertEqual(proxy.call(f"q3-{number}", HARMLESS)[0], 200)
        wait_for(lambda: self.count_crashed() >= 2, "the end of the processes")
        self.assertEqual(self.count_crashed(), 2)
        for proxy in self.fleet.proxies:
            log = proxy.process.read_log()
            self.assertIn("event=upstream-ended", log)
            self.assertIn("event=request-quarantined", log)
