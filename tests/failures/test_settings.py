import signal
import threading

from damaskdyke.testbed.processes import wait_for
from tests.failures.cases import NETWORK_ERRORS, FleetCase

SLOW_TARGET = "/crew-desk/records/1?ms=2500"


class SettingsCase(FleetCase):
    plan = {"proxies": 4}

    def setUp(self):
        self.addCleanup(self.restore)
        self.fleet.set_platform("up")

    def restore(self):
        self.fleet.set_platform("up")
        for proxy in self.fleet.proxies:
            proxy.process.send(signal.SIGCONT)
        self.fleet.wait_ready()

    def publish(self, deadline_ms):
        service = self.fleet.plan.services[0]
        service.deadline_ms = deadline_ms
        return self.fleet.publish(service.name, service.to_toml())

    def get_version(self, proxy, name="crew-desk"):
        for branch in proxy.read_status()["branches"]:
            if branch["name"] == name:
                return branch["in_force"]
        return 0

    def wait_for_version(self, version, proxies=None):
        for proxy in proxies or self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: self.get_version(proxy) >= version,
                f"version {version}",
            )


class PropagationTest(SettingsCase):
    def test_change_reaches_every_proxy(self):
        self.wait_for_version(self.publish(1_900))

    def test_lagging_platform_brings_the_change_and_takes_nothing_back(self):
        version = self.publish(1_950)
        self.wait_for_version(version)
        self.fleet.set_platform("lagging")
        later = self.publish(1_960)
        self.assertGreaterEqual(self.get_version(self.fleet.proxies[0]), version)
        self.wait_for_version(later)

    def test_stale_and_older_platform_never_revert_a_change(self):
        version = self.publish(1_800)
        self.wait_for_version(version)
        for mode in ("older", "stale", "down"):
            self.fleet.set_platform(mode)
            self.fleet.proxies[1].restart()
            self.fleet.wait_ready()
            for proxy in self.fleet.proxies:
                self.assertGreaterEqual(self.get_version(proxy), version, mode)

    def test_bad_branch_keeps_the_last_good_one_and_says_so(self):
        version = self.publish(1_500)
        self.wait_for_version(version)
        bad = self.fleet.publish("crew-desk", "[services.crew-desk]\nfloor = 99\n")
        proxy = self.fleet.proxies[2]
        wait_for(lambda: self.has_branch_error(proxy), "the refusal of the branch")
        self.assertEqual(self.get_version(proxy), version)
        self.assertEqual(proxy.call("GET", "/crew-desk/pumps/1").status, 200)
        metrics = proxy.call("GET", "/-/metrics").body.decode()
        self.assertRegex(metrics, r"damaskdyke_settings_bad\{[^}]*\} 1\.0")
        self.assertIn("branch-refused", proxy.process.read_log())
        self.wait_for_version(self.publish(1_400))
        self.assertGreater(self.get_version(proxy), bad)

    def has_branch_error(self, proxy):
        branches = proxy.read_status()["branches"]
        return any(branch["error"] for branch in branches)

    def test_two_operators_race_and_one_change_wins_everywhere(self):
        current = self.publish(1_300)
        text = self.fleet.plan.services[0].to_toml().encode()
        headers = {"If-Match": str(current)}
        path = "/control/branches/crew-desk"
        statuses = []

        def write():
            answer = self.fleet.platform.call("PUT", path, text, headers)
            statuses.append(answer.status)

        threads = [threading.Thread(target=write) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(statuses), [200, 412])
        self.wait_for_version(current + 1)
        trees = {proxy.read_status()["tree"] for proxy in self.fleet.proxies}
        self.assertEqual(len(trees), 1)


class DelayedPeersTest(SettingsCase):
    """Peers answer with a delay, so that what a starting proxy serves can be seen."""

    plan = {"proxies": 4, "has_relays": True}

    def tearDown(self):
        for proxy in self.fleet.proxies:
            proxy.relay.backward.delay_ms = 0

    def delay_peers(self):
        for proxy in self.fleet.proxies:
            proxy.relay.backward.delay_ms = 150

    def publish_without_lookups(self):
        """Publish a change under which lookups are refused with 405."""
        text = self.fleet.plan.services[0].to_toml()
        return self.fleet.publish("crew-desk", text.replace("/pumps/", "/wells/"))

    def get_status(self, proxy):
        try:
            return proxy.call("GET", "/crew-desk/pumps/1?ms=1").status
        except NETWORK_ERRORS:
            return 503

    def wait_for_answer(self, proxy):
        """Return the first status other than 503, the refusal of a starting proxy."""
        statuses = []
        wait_for(
            lambda: statuses.append(self.get_status(proxy)) or statuses[-1] != 503,
            "a response other than 503",
        )
        return statuses[-1]

    def test_proxies_that_start_together_never_serve_the_older_version(self):
        self.wait_for_version(self.publish(1_700))
        self.wait_for_version(self.publish_without_lookups())
        self.fleet.set_platform("older")
        self.delay_peers()
        starting = self.fleet.proxies[1:]
        for proxy in starting:
            proxy.process.kill()
        for proxy in starting:
            proxy.process.start()
        waits = [self.start_thread(self.wait_for_answer, proxy) for proxy in starting]
        for thread, _ in waits:
            thread.join()
        self.assertEqual([results for _, results in waits], [[405]] * 3)

    def test_frozen_proxy_wakes_with_the_change_before_it_serves(self):
        self.wait_for_version(self.publish(1_600))
        frozen = self.fleet.proxies[3]
        frozen.process.send(signal.SIGSTOP)
        version = self.publish_without_lookups()
        self.wait_for_version(version, self.fleet.proxies[:3])
        self.delay_peers()
        self.fleet.set_platform("down")
        # The request waits in the listen queue of the frozen proxy and is the first
        # that it reads when it resumes.
        thread, results = self.start_thread(self.get_status, frozen)
        # Longer than the lease of the settings (settings_lease_ms = 1500).
        threading.Event().wait(2.5)
        frozen.process.send(signal.SIGCONT)
        thread.join()
        self.assertEqual(results, [405])


class IsolationTest(SettingsCase):
    plan = {"proxies": 2}

    def test_proxy_that_hears_neither_platform_nor_peers_refuses_orders(self):
        isolated = self.fleet.proxies[0]
        self.fleet.set_platform("down")
        self.fleet.proxies[1].process.send(signal.SIGSTOP)
        wait_for(
            lambda: (
                isolated.call("GET", "/-/health").read_json()["phase"] == "isolated"
            ),
            "isolation",
        )
        self.assertEqual(isolated.call("GET", "/crew-desk/pumps/1").status, 200)
        answer = isolated.call("POST", "/-/tickets")
        self.assertEqual(answer.headers["Error-Code"], "isolated")


class LeavingUpstreamTest(FleetCase):
    def test_leaving_upstream_gets_nothing_new_and_finishes_its_work(self):
        upstream = self.fleet.upstreams[0]
        slow = [
            self.start_thread(self.fleet.proxies[0].call, "GET", SLOW_TARGET)
            for _ in range(6)
        ]
        wait_for(lambda: upstream.read_stats()["running"] > 0, "slow requests to run")
        self.fleet.leaving.add(upstream.address)
        self.fleet.publish_vms()
        for proxy in self.fleet.proxies:
            wait_for(
                lambda proxy=proxy: self.is_leaving(proxy, upstream),
                "the leaving upstream",
            )
        stats = upstream.read_stats()
        before = stats["served"] + stats["running"]
        for number in range(60):
            proxy = self.fleet.proxies[number % 3]
            answer = proxy.call("GET", "/crew-desk/pumps/1?ms=1")
            self.assertEqual(answer.status, 200)
        for thread, _ in slow:
            thread.join()
        statuses = [answer.status for _, results in slow for answer in results]
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(upstream.read_stats()["served"], before)

    def is_leaving(self, proxy, upstream):
        services = proxy.read_status()["services"]
        return any(
            item["leaving"]
            for item in services[0]["upstreams"]
            if item["id"] == upstream.plan.id
        )
