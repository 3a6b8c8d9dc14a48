"""Registries that decorators fill."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Named choices for one behaviour, in the order of registration.

    Parameters
    ----------
    title : str
        What the registry holds, for error messages.
    """

    def __init__(self, title: str):
        self.title = title
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that files an item under ``name``.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def add(item: Item) -> Item:
            if name in self._items:
                raise ValueError(f"{self.title} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> Item:
        """Return the item filed under ``name``.

        Raises
        ------
        KeyError
            If nothing is filed under the name.
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
