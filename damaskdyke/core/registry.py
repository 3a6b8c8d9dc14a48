"""Registry of named items, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Named items of one kind, such as policies, in the order of registration.

    Parameters
    ----------
    title : str
        Kind of the items, for error messages.
    """

    def __init__(self, title: str):
        self.title = title
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers an item under ``name``.

        Raises
        ------
        ValueError
            If the name is already registered; raised by the decorator.
        """

        def add(item: Item) -> Item:
            if name in self._items:
                raise ValueError(f"{self.title} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> Item:
        """Return the item registered under ``name``.

        Raises
        ------
        KeyError
            If the name is not registered; the text lists the known names.
        """
        if name not in self._items:
            known = ", ".join(self._items)
            raise KeyError(f"no {self.title} {name!r}; known: {known}")
        return self._items[name]

    def names(self) -> tuple[str, ...]:
        """Return the names in the order of registration."""
        return tuple(self._items)

    def __iter__(self) -> Iterator[tuple[str, Item]]:
        return iter(self._items.items())
