"""Consistent hash ring over the living members."""

import bisect

from damaskdyke.core.ids import Address
from damaskdyke.membership.table import MemberRecord
from damaskdyke.utils.randomness import hash_score

# Members looked at for each one wanted, in search of different zones.
CANDIDATES_PER_MEMBER = 16


class Ring:
    """Members in the order of their hashes.

    Parameters
    ----------
    members : list of MemberRecord
        The living members.
    """

    def __init__(self, members: list[MemberRecord]):
        points = sorted((hash_score(member.address), member) for member in members)
        self._hashes = [score for score, _ in points]
        self._members = [member for _, member in points]

    def find_successors(self, key: str, count: int) -> list[Address]:
        """Return up to ``count`` members for a key, of different zones where possible.

        The first of them is the key's single place of decision.
        """
        start = bisect.bisect(self._hashes, hash_score(key))
        size = len(self._members)
        steps = min(size, CANDIDATES_PER_MEMBER * count)
        candidates = [self._members[(start + step) % size] for step in range(steps)]
        chosen = select_distinct_zones(candidates, count)
        fallbacks = [member for member in candidates if member not in chosen]
        chosen += fallbacks[: count - len(chosen)]
        return [member.address for member in chosen]

    def find_owner(self, key: str) -> Address | None:
        """Return the member that decides for a key."""
        if not self._members:
            return None
        start = bisect.bisect(self._hashes, hash_score(key))
        return self._members[start % len(self._members)].address


def select_distinct_zones(
    candidates: list[MemberRecord], count: int
) -> list[MemberRecord]:
    """Return the first member of each zone, ``count`` at most."""
    chosen: list[MemberRecord] = []
    zones: set[str] = set()
    for member in candidates:
        if len(chosen) == count:
            break
        if member.zone not in zones:
            zones.add(member.zone)
            chosen.append(member)
    return chosen
