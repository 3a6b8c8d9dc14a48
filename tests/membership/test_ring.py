import unittest

from damaskdyke.membership.ring import Ring
from damaskdyke.membership.table import MemberRecord, MemberState


def make_members(count, zones=3):
    return [
        MemberRecord(
            f"10.0.{number // 250}.{number % 250}:9",
            number + 1,
            f"zone-{number % zones}",
            MemberState.ALIVE,
            1,
        )
        for number in range(count)
    ]


class RingTest(unittest.TestCase):
    def test_successors_are_distinct_and_of_different_zones(self):
        members = make_members(60)
        zones = {member.address: member.zone for member in members}
        for number in range(200):
            found = Ring(members).find_successors(f"up-{number}", 3)
            self.assertEqual(len(set(found)), 3)
            self.assertEqual(len({zones[address] for address in found}), 3)

    def test_small_fleets_give_all_their_members(self):
        for count in range(4):
            found = Ring(make_members(count)).find_successors("up", 3)
            self.assertEqual(len(set(found)), min(3, count))

    def test_one_loss_moves_only_the_keys_of_the_lost_member(self):
        members = make_members(50)
        before, after = Ring(members), Ring(members[1:])
        for number in range(300):
            first = before.find_owner(f"up-{number}")
            if first != members[0].address:
                self.assertEqual(after.find_owner(f"up-{number}"), first)
