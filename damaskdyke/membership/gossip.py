"""Queue of gossip items, each sent a number of times logarithmic in the fleet size."""

import math
import threading
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")

# Number of sends of one item for each doubling of the number of members, and the
# minimum number of sends.
SENDS_PER_SIZE_DOUBLING = 3
MIN_SENDS = 6


@dataclass
class GossipItem(Generic[Item]):
    """One item and the number of times it will still be sent."""

    item: Item
    remaining_sends: int


class GossipQueue(Generic[Item]):
    """Latest item for each key, in order of the remaining sends. Thread-safe.

    Parameters
    ----------
    batch : int
        Maximum number of items in one exchange.
    """

    def __init__(self, batch: int):
        self._batch_size = batch
        self._lock = threading.Lock()
        self._items: dict[Hashable, GossipItem[Item]] = {}

    def put(self, key: Hashable, item: Item, members: int) -> None:
        """Queue ``item`` for ``members`` proxies, replacing an older one of the key.

        Parameters
        ----------
        key : Hashable
            Identity of what the item describes.
        item : Item
            What to send.
        members : int
            Number of proxies, on which the number of sends depends.
        """
        doublings = math.ceil(math.log2(members + 1))
        sends = max(MIN_SENDS, SENDS_PER_SIZE_DOUBLING * doublings)
        with self._lock:
            self._items[key] = GossipItem(item, sends)

    def next_batch(self) -> list[Item]:
        """Return the items for one exchange and count them as sent once.

        Items with the most remaining sends come first, which are mostly new ones.
        """
        with self._lock:
            if not self._items:
                return []
            order = sorted(
                self._items.items(),
                key=lambda pair: pair[1].remaining_sends,
                reverse=True,
            )
            chosen = order[: self._batch_size]
            for key, entry in chosen:
                entry.remaining_sends -= 1
                if entry.remaining_sends <= 0:
                    del self._items[key]
            return [entry.item for _, entry in chosen]

    def __len__(self) -> int:
        with self._lock:
            return len(self._items)
