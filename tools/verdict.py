"""Nose2 plugin that counts outcomes and knows the tests listed in KNOWN-RED.txt."""

from pathlib import Path

from nose2.events import Plugin

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


class Verdict(Plugin):
    """Collects the ids of tests that passed and failed."""

    configSection = "verdict"
    alwaysOn = True

    def __init__(self):
        Verdict.current = self
        self.passed: list[str] = []
        self.failed: list[str] = []
        self.skipped: list[str] = []

    def testOutcome(self, event):
        """Take in one outcome."""
        name = event.test.id()
        if event.outcome == "passed":
            self.passed.append(name)
        elif event.outcome == "skipped":
            self.skipped.append(name)
        else:
            self.failed.append(name)


def read_known_red() -> dict[str, str]:
    """Return the listed tests and what is said of them."""
    if not KNOWN_RED.exists():
        return {}
    known = {}
    for line in KNOWN_RED.read_text().splitlines():
        name, _, text = line.partition(" | ")
        if name.strip() and not name.startswith("#"):
            known[name.strip()] = text.strip()
    return known
