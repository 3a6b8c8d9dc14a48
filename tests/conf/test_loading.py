import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.conf.loading import SettingsError, check_tree, parse_branch
from damaskdyke.testbed.plans import ServicePlan, UpstreamPlan

GOOD = ServicePlan(
    upstreams=[UpstreamPlan(f"u{n}", f"10.0.0.{n}:80", "suva") for n in range(3)]
).to_toml()


def list_error_ids(name, text):
    try:
        parse_branch(name, text.encode())
    except SettingsError as error:
        return [message.id for message in error.messages]
    return []


class BranchTest(unittest.TestCase):
    def test_good_branch_has_no_errors(self):
        self.assertEqual(list_error_ids("pumps", GOOD), [])

    def test_every_error_is_reported_at_once(self):
        text = GOOD.replace("floor = 1", "floor = 9\ncolour = 3")
        text = text.replace("10.0.0.2:80", "ten")
        self.assertEqual(
            sorted(list_error_ids("pumps", text)), ["tree.E003", "tree.E005"]
        )

    def test_floor_above_the_pool_size_is_an_error(self):
        text = GOOD.replace("floor = 1", "floor = 9")
        self.assertEqual(list_error_ids("pumps", text), ["tree.E011"])

    def test_duplicate_upstream_id_is_an_error(self):
        text = GOOD.replace('id = "u2"', 'id = "u1"')
        self.assertEqual(list_error_ids("pumps", text), ["tree.E013"])

    def test_hedged_order_rule_is_an_error(self):
        text = GOOD.replace('"non-idempotent"', '"non-idempotent"\nhedge = true')
        self.assertEqual(list_error_ids("pumps", text), ["tree.E015"])

    def test_long_work_on_every_slot_is_an_error(self):
        text = GOOD.replace("long_slots = 2", "long_slots = 4")
        self.assertEqual(list_error_ids("pumps", text), ["tree.E012"])

    def test_branch_over_a_megabyte_is_an_error(self):
        self.assertEqual(list_error_ids("pumps", "#" * 1_000_001), ["tree.E001"])

    def test_vms_outside_the_vm_branch_are_an_error(self):
        row = '[[vms]]\naddress = "10.0.0.1:1"\nrole = "proxy"\n'
        text = row + 'state = "live"\nzone = "suva"\n'
        self.assertEqual(list_error_ids("pumps", text), ["tree.E017"])
        self.assertEqual(list_error_ids("vms", text), [])

    def test_service_and_route_in_two_branches_are_errors(self):
        branches = tuple(parse_branch(name, GOOD.encode()) for name in ("a", "b"))
        ids = [message.id for message in check_tree(branches)]
        self.assertEqual(ids, ["tree.E021", "tree.E022"])

    @given(st.one_of(st.binary(max_size=400), st.text(max_size=400).map(str.encode)))
    def test_any_text_is_parsed_or_refused_with_messages(self, text):
        try:
            parse_branch("pumps", text)
        except SettingsError as error:
            self.assertTrue(error.messages)

    @given(st.integers(min_value=0, max_value=len(GOOD) - 1), st.characters())
    def test_damaged_branch_is_parsed_or_refused_with_messages(self, place, mark):
        text = GOOD[:place] + mark + GOOD[place + 1 :]
        try:
            parse_branch("pumps", text.encode("utf-8", "replace"))
        except SettingsError as error:
            self.assertTrue(all(message.hint for message in error.messages))
