"""Finds objects of a JSON document in which a name occurs more than once.

The last value of a name counts, for proxies too; a merge of two versions may leave the
other values behind unnoticed.

Load pattern: one more pass over a document of 200,000 objects, of which none or few
repeat a name.
"""

import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from damaskdyke.platform.expectations import Path


def find_repeated_names(value: bytes) -> list[tuple[Path, str]]:
    """Return the path of each object that repeats a name, and the name.

    Raises
    ------
    ValueError
        If the bytes are not JSON.
    """
    repeated: dict[int, list[str]] = {}
    # Keeps the objects alive, so that their ids stay theirs.
    holders: list[dict] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict:
        built = dict(pairs)
        if len(built) < len(pairs):
            counts = Counter(name for name, _ in pairs)
            repeated[id(built)] = [name for name, n in counts.items() if n > 1]
            holders.append(built)
        return built

    document = json.loads(value, object_pairs_hook=build_object)
    if not repeated:
        return []
    return [
        (path, name)
        for path, holder in list_objects(document)
        for name in repeated.get(id(holder), ())
    ]


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
