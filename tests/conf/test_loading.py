import unittest

from hypothesis import given
from hypothesis import strategies as st

from damaskdyke.conf.loading import SettingsError, check_tree, parse_branch
from damaskdyke.testbed.plans import ServicePlan, UpstreamPlan

GOOD = ServicePlan(
    upstreams=[UpstreamPlan(f"u{n}", f"10.0.0.{n}:80", "suva") for n in range(3)]
).to_toml()


def find_ids(name, text):
    try:
        parse_branch(name, text.encode())
    except SettingsError as error:
        return [message.id for message in error.messages]
    return []


class BranchTest(unittest.TestCase):
    def test_good_branch_has_no_errors(self):
        self.assertEqual(find_ids("pumps", GOOD), [])

    def test_every_error_is_reported_at_once(self):
        text = GOOD.replace("floor = 1", "floor = 9\ncolour = 3")
        text = text.replace("10.0.0.2:80", "ten")
        self.assertEqual(sorted(find_ids("pumps", text)), ["tree.E003", "tree.E005"])

    def test_floor_above_the_pool(self):
        text = GOOD.replace("floor = 1", "floor = 9")
        self.assertEqual(find_ids("pumps", text), ["tree.E011"])

    def test_repeated_upstream(self):
        text = GOOD.replace('id = "u2"', 'id = "u1"')
        self.assertEqual(find_ids("pumps", text), ["tree.E013"])

    def test_hedged_order(self):
        text = GOOD.replace('"non-idempotent"', '"non-idempotent"\nhedge = true')
        self.assertEqual(find_ids("pumps", text), ["tree.E015"])

    def test_long_work_on_every_slot(self):
        text = GOOD.replace("long_slots = 2", "long_slots = 4")
        self.assertEqual(find_ids("pumps", text), ["tree.E012"])

    def test_value_over_a_megabyte(self):
        self.assertEqual(find_ids("pumps", "#" * 1_000_001), ["tree.E001"])

    def test_vms_outside_their_branch(self):
        row = '[[vms]]\naddress = "10.0.0.1:1"\nrole = "proxy"\n'
        text = row + 'state = "live"\nzone = "suva"\n'
        self.assertEqual(find_ids("pumps", text), ["tree.E017"])
        self.assertEqual(find_ids("vms", text), [])

    def test_two_branches_with_one_service(self):
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
