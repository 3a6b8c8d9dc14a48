"""Parses a JSON document and finds objects in which a name occurs more than once.

The last value of a name counts, for proxies too; a merge of two versions may leave the
other values behind unnoticed.

Load pattern: 200,000 objects, of which none or few repeat a name. One parse both reads
the document and finds them, as a second one would take a fifth of the command's time.
"""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from damaskdyke.platform.expectations import Path


class NameCheckingParser:
    """Parser with the result of ``json.loads`` that notes repeated names."""

    def __init__(self) -> None:
        # By the id of the object; the objects are kept so that the ids stay theirs.
        self._repeated: dict[int, list[str]] = {}
        self._holders: list[dict] = []

    def parse(self, value: bytes) -> Any:
        """Return the JSON value.

        Raises
        ------
        ValueError, RecursionError
            If the bytes are not JSON, or nested too deeply.
        """
        return json.loads(value, object_pairs_hook=self._build_object)

    def find_repeated(self, document: Any) -> list[tuple[Path, str]]:
        """Return the path of each object that repeats a name, and the name."""
        if not self._repeated:
            return []
        return [
            (path, name)
            for path, holder in list_objects(document)
            for name in self._repeated.get(id(holder), ())
        ]

    def _build_object(self, pairs: list[tuple[str, Any]]) -> dict:
        built = dict(pairs)
        if len(built) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            names = [name for name, count in counts.items() if count > 1]
            self._repeated[id(built)] = names
            self._holders.append(built)
        return built


def list_objects(document: Any) -> Iterator[tuple[Path, dict]]:
    """Yield each object in a document with its path, in the order of the document."""
    waiting: list[tuple[Path, Any]] = [((), document)]
    while waiting:
        path, value = waiting.pop()
        items: list[tuple[str | int, Any]] = []
        if isinstance(value, dict):
            yield path, value
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        for key, item in reversed(items):
            if isinstance(item, dict | list):
                waiting.append(((*path, key), item))
