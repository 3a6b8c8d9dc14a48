"""Base of tests that run a fleet of processes."""

import itertools
import json
import threading
import unittest

import urllib3

from damaskdyke.testbed.fleet import Fleet, FleetPlan, ServicePlan
from damaskdyke.testbed.processes import wait_for

FAST_TIMING = """
[timing]
gossip_ms = 100
peer_timeout_ms = 600
settings_lease_ms = 1500
watch_ms = 1000
boot_grace_ms = 1500
drain_notice_ms = 300
"""

NETWORK_ERRORS = (urllib3.exceptions.HTTPError, OSError)


class FleetCase(unittest.TestCase):
    """Starts one fleet for all tests of the class."""

    plan = {}
    service = {}

    @classmethod
    def setUpClass(cls):
        values = {"proxies": 3, "upstreams": 3, "proxy_settings": FAST_TIMING}
        values.update(cls.plan)
        plan = FleetPlan(services=[ServicePlan(**cls.service)], **values)
        cls.fleet = cls.enterClassContext(Fleet(plan))
        cls.names = (f"order-{number}" for number in itertools.count())

    def tearDown(self):
        for item in self.fleet.upstreams:
            if item.process.is_alive():
                item.set_faults()

    def make_order(self):
        name = next(type(self).names)
        return name, json.dumps({"order": name}).encode()

    def set_all_faults(self, **faults):
        for item in self.fleet.upstreams:
            item.set_faults(**faults)

    def count_runs(self, name):
        return self.fleet.count_runs().get(name, 0)

    def place(self, proxy, ticket, body, **options):
        """Return the outcome of one submission, empty if there is no answer."""
        headers = {"Idempotency-Key": ticket, **options.pop("headers", {})}
        path = options.pop("path", "/crew-desk/callouts")
        try:
            answer = proxy.call("POST", path, body, headers, **options)
        except NETWORK_ERRORS:
            return ""
        return answer.headers.get("Order-Outcome", "")

    def start_thread(self, function, *args):
        """Run a function in a thread and return the thread and its results."""
        results = []
        thread = threading.Thread(target=lambda: results.append(function(*args)))
        thread.start()
        self.addCleanup(thread.join)
        return thread, results

    def wait_for(self, condition, what):
        wait_for(condition, what)
