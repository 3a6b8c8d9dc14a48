import time

from damaskdyke.platform import names
from damaskdyke.testbed.deployment import ORDER_RULE, RULE, make_config
from damaskdyke.testbed.processes import wait_for
from tests.platform.test_deployment import DeploymentCase

ADDED_RULE = RULE | {"prefix": "/added/"}


class RestoreTest(DeploymentCase):
    upstreams = 3

    def restore(self, copy):
        """Let the store be away for a moment and come back from a copy."""
        self.fleet.store.status = 503
        time.sleep(0.5)
        self.fleet.store.restore(copy)
        self.fleet.store.status = 200

    def lose_changes(self):
        """Write configurations that all proxies have in force; return a copy before."""
        copy = self.fleet.store.copy()
        for version in range(2, 8):
            self.fleet.store.put(
                names.RULES_KEY, make_config(version, RULE, ORDER_RULE)
            )
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: "version=7 " in proxy.process.read_log(),
                "the last version",
            )
        return copy

    def test_route_added_after_a_restore_is_served_by_every_proxy(self):
        self.restore(self.lose_changes())
        rules = make_config(8, RULE, ORDER_RULE, ADDED_RULE)
        self.fleet.store.put(names.RULES_KEY, rules)
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: self.call(proxy, "/added/x")[0] == 200,
                "the added route",
            )

    def test_upstream_that_left_before_a_restore_gets_no_requests_after_it(self):
        copy = self.lose_changes()
        left, leaving = self.fleet.upstreams[:2]
        self.fleet.store.remove(names.INSTANCE_PREFIX + left.name)
        self.fleet.publish(leaving, state="draining")
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: "upstreams=2\n" in proxy.process.read_log(),
                "the removal",
            )
        time.sleep(1)
        before = sum(left.runs.values()) + sum(leaving.runs.values())
        self.restore(copy)
        self.fleet.store.put(names.RULES_KEY, make_config(8, RULE, ORDER_RULE))
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: "version=8 " in proxy.process.read_log(),
                "a version after the restore",
            )
            for _ in range(10):
                self.assertEqual(self.call(proxy)[0], 200)
        after = sum(left.runs.values()) + sum(leaving.runs.values())
        self.assertEqual(after, before)

    def test_proxy_restarted_after_a_restore_does_not_serve_an_older_version(self):
        copy = self.lose_changes()
        rules = make_config(8, RULE, ORDER_RULE, ADDED_RULE)
        self.fleet.store.put(names.RULES_KEY, rules)
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: self.call(proxy, "/added/x")[0] == 200,
                "the added route",
            )
        self.restore(copy)
        restarted = self.fleet.proxies[-1]
        restarted.process.kill()
        restarted.process.start()
        wait_for(restarted.is_ready, "readiness")
        wait_for(
            lambda: self.call(restarted, "/added/x")[0] == 200,
            "the route that the store lost",
        )
