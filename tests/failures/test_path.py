import json
import unittest

from damaskdyke.testbed.fleet import Fleet, FleetPlan


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet(FleetPlan(proxies=3, upstreams=3)))

    def test_lookup_is_answered_by_an_upstream(self):
        answer = self.fleet.proxies[0].call("GET", "/crew-desk/pumps/7?size=500")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(answer.body), 500)

    def test_order_without_ticket_runs_nothing(self):
        body = json.dumps({"order": "no-ticket"}).encode()
        answer = self.fleet.proxies[0].call("POST", "/crew-desk/callouts", body)
        self.assertEqual(answer.status, 428)
        self.assertEqual(answer.headers["Order-Outcome"], "not-run")
        self.assertNotIn("no-ticket", self.fleet.count_runs())

    def test_order_repeated_through_every_proxy_runs_once(self):
        body = json.dumps({"order": "repeated"}).encode()
        ticket = self.fleet.proxies[0].take_ticket()
        answers = [proxy.order(ticket, body) for proxy in self.fleet.proxies]
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.fleet.count_runs()["repeated"], 1)

    def test_unknown_route_is_refused(self):
        answer = self.fleet.proxies[0].call("GET", "/nowhere/")
        self.assertEqual(answer.status, 404)
        self.assertEqual(answer.headers["Error-Code"], "unknown-route")
