import unittest

from damaskdyke.conf.loading import parse_branch
from damaskdyke.core.ids import UpstreamId
from damaskdyke.distribution.view import View, find_rule
from damaskdyke.testbed.plans import ServicePlan, UpstreamPlan, VmPlan


def make_branch(name, service="desk", extra=""):
    plan = ServicePlan(name=service, floor=0)
    plan.upstreams.append(UpstreamPlan(f"{service}-1", "10.0.0.1:80", "suva"))
    return parse_branch(name, (extra + plan.to_toml()).encode())


class ViewTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        extra = '[[routes]]\nprefix = "/desk/late/"\nservice = "night"\n'
        plain, night = make_branch("a"), make_branch("b", "night")
        with_route = parse_branch("c", extra.encode())
        view = View((plain, night, with_route))
        self.assertEqual(view.find_service("/desk/pumps/1").name, "desk")
        self.assertEqual(view.find_service("/desk/late/1").name, "night")
        self.assertIsNone(view.find_service("/else/1"))

    def test_first_branch_by_name_keeps_a_service_defined_twice(self):
        first, second = make_branch("a"), make_branch("b")
        for order in ((first, second), (second, first)):
            self.assertEqual(View(order).services["desk"].branch, "a")

    def test_first_matching_rule_applies(self):
        service = View((make_branch("a"),)).services["desk"]
        self.assertEqual(find_rule(service, "GET", "/desk/pumps/1").id, "lookup")
        self.assertEqual(find_rule(service, "POST", "/desk/callouts").id, "order")
        self.assertIsNone(find_rule(service, "PUT", "/desk/callouts"))

    def test_workspace_has_the_limit_of_its_branch(self):
        extra = 'workspaces = ["w1"]\nworkspace_in_flight = 3\n'
        view = View((make_branch("a", extra=extra),))
        self.assertEqual(view.find_workspace("w1").in_flight, 3)
        self.assertIsNone(view.find_workspace("w2"))

    def test_view_lists_leaving_addresses_and_finds_upstreams_by_id(self):
        row = VmPlan("10.0.0.1:80", "upstream", "leaving", "suva").to_toml()
        view = View((make_branch("a"), parse_branch("vms", row.encode())))
        self.assertEqual(view.leaving, frozenset({"10.0.0.1:80"}))
        listed = view.find_upstream(UpstreamId("desk-1"))
        self.assertEqual(listed.service.name, "desk")
