"""Formatting of text tables."""

from collections.abc import Sequence


def format_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with a header row; columns are padded to their widest cell."""
    table = [tuple(columns), *[tuple(row) for row in rows]]
    widths = [max(len(row[index]) for row in table) for index in range(len(columns))]
    lines = []
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
