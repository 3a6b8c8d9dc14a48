"""Generates docs/ERRORS.md from the error kinds in ``damaskdyke.core.errors``."""

from pathlib import Path

from damaskdyke.core.errors import ERROR_ANSWERS, RetryAdvice

PAGE = Path(__file__).resolve().parent.parent / "docs" / "ERRORS.md"

# Whether a caller may repeat its request.
REPEAT_TEXT = {
    RetryAdvice.SAFE: "yes; an order was not touched by this answer",
    RetryAdvice.SAME_TICKET: "yes, with the same ticket",
    RetryAdvice.NEW_TICKET: "yes, as a new order with a new ticket",
    RetryAdvice.NO: "no",
}

PAGE_HEAD = """# Errors

Each error answer is JSON with `code`, `detail`, `repeat` and `request`; the headers
`Error-Code` and `Error-Repeat` say the same. Written by `tools/write_errors.py`.

| code | status | meaning | repeat |
| --- | --- | --- | --- |
"""


def make_page() -> str:
    """Return the Markdown text of the page."""
    rows = [
        f"| `{kind.value}` | {answer.status} | {answer.meaning} "
        f"| {REPEAT_TEXT[answer.repeat]} |"
        for kind, answer in ERROR_ANSWERS.items()
    ]
    return PAGE_HEAD + "\n".join(rows) + "\n"


if __name__ == "__main__":
    PAGE.write_text(make_page())
