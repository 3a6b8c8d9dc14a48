"""Consistent hash ring of the members that are alive."""

import bisect

from damaskdyke.core.ids import Address
from damaskdyke.membership.table import MemberRecord
from damaskdyke.utils.randomness import hash_score

# Members looked at for each one wanted, in search of different zones.
CANDIDATES_PER_MEMBER = 16


class Ring:
    """Assigns keys to members; the loss of one moves only the keys that it had.

    Parameters
    ----------
    members : list of MemberRecord
        Members that are alive.
    """

    def __init__(self, members: list[MemberRecord]):
        points = sorted((hash_score(member.address), member) for member in members)
        self._hashes = [score for score, _ in points]
        self._members = [member for _, member in points]

    def find_successors(self, key: str, count: int) -> list[Address]:
        """Return up to ``count`` members for a key, of different zones where possible.

        The first of them is the owner of the key.
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
        """Return the one member that decides for a key, ``None`` on an empty ring."""
        if not self._members:
            return None
        start = bisect.bisect(self._hashes, hash_score(key))
        return self._members[start % len(self._members)].address


def select_distinct_zones(
    candidates: list[MemberRecord], count: int
) -> list[MemberRecord]:
    """Return the first candidate of each zone, ``count`` of them at most."""
    chosen: list[MemberRecord] = []
    zones: set[str] = set()
    for member in candidates:
        if len(chosen) == count:
            break
        if member.zone not in zones:
            zones.add(member.zone)
            chosen.append(member)
    return chosen
