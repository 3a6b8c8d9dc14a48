"""Stand-in for the platform's configuration service."""

import hashlib
import threading
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from damaskdyke.core.clock import Clock, Deadline
from damaskdyke.testbed.serving import (
    CONTROL_PREFIX,
    StandInHandler,
    StandInServer,
)


class Mode(Enum):
    """Behaviour that can be switched on while the stand-in runs."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"
    LAGGING = "lagging"
    OLDER = "older"


LAG_MS = 2_000
LAG_POLL_MS = 50


@dataclass(frozen=True)
class PublishedBranch:
    """One published branch."""

    version: int
    text: bytes

    @property
    def digest(self) -> str:
        """Return the SHA-256 digest as hexadecimal text."""
        return hashlib.sha256(self.text).hexdigest()


@dataclass(frozen=True)
class Snapshot:
    """The whole tree at one revision."""

    revision: int = 0
    branches: dict[str, PublishedBranch] = field(default_factory=dict)
    published_at: int = 0

    def to_toml(self) -> bytes:
        """Return the root index."""
        lines = [f"revision = {self.revision}", "[branches]"]
        for name, item in sorted(self.branches.items()):
            row = f'{{ version = {item.version}, sha256 = "{item.digest}" }}'
            lines.append(f'"{name}" = {row}')
        return "\n".join(lines).encode() + b"\n"


class PlatformState:
    """Every revision, the mode, and the count of reads.

    Parameters
    ----------
    clock : Clock
        Source of time for watches.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._history = [Snapshot()]
        self._mode = Mode.UP
        self._frozen_snapshot = self._history[0]
        self.reads = 0

    def publish(self, name: str, text: bytes, expected: int | None) -> int:
        """Publish a branch and return its version, zero if another was first."""
        with self._changed:
            newest = self._history[-1]
            current = newest.branches.get(name)
            version = current.version if current else 0
            if expected is not None and expected != version:
                return 0
            branches = dict(newest.branches)
            branches[name] = PublishedBranch(version + 1, text)
            revision = newest.revision + 1
            self._history.append(Snapshot(revision, branches, self._clock.now()))
            self._changed.notify_all()
            return version + 1

    def set_mode(self, mode: Mode) -> None:
        """Switch the behaviour; ``older`` serves the revision before the last."""
        with self._changed:
            self._mode = mode
            self._frozen_snapshot = self._history[-1]
            if mode is Mode.OLDER:
                self._frozen_snapshot = self._history[max(0, len(self._history) - 2)]
            self._changed.notify_all()

    def record_read(self) -> bool:
        """Count a read and return whether the service is up."""
        with self._changed:
            self.reads += 1
            return self._mode is not Mode.DOWN

    def get_snapshot(self) -> Snapshot:
        """Return the tree that readers are served."""
        with self._changed:
            return self._select_snapshot()

    def _select_snapshot(self) -> Snapshot:
        if self._mode in (Mode.STALE, Mode.OLDER):
            return self._frozen_snapshot
        if self._mode is Mode.LAGGING:
            limit = self._clock.now() - LAG_MS
            visible = [item for item in self._history if item.published_at <= limit]
            return visible[-1]
        return self._history[-1]

    def wait_for_newer(self, revision: int, wait_ms: int) -> Snapshot | None:
        """Wait for a revision above the given one."""
        deadline = Deadline(self._clock, wait_ms)
        with self._changed:
            while not deadline.is_past():
                if self._mode is Mode.DOWN:
                    return None
                snapshot = self._select_snapshot()
                if snapshot.revision > revision:
                    return snapshot
                pause_ms = deadline.remaining_ms()
                if self._mode is Mode.LAGGING:
                    pause_ms = min(pause_ms, LAG_POLL_MS)
                self._changed.wait(pause_ms / 1000)
        return None


def make_handler(state: PlatformState) -> type[StandInHandler]:
    """Return the request handler around one state."""

    class PlatformHandler(StandInHandler):
        """Reads for everybody, and the test's control."""

        def do_GET(self) -> None:
            """Answer a read."""
            url = urlsplit(self.path)
            if url.path.startswith(CONTROL_PREFIX):
                self.answer_json({"reads": state.reads})
                return
            if not state.record_read():
                self.abort_connection()
                return
            if url.path == "/index":
                self.answer(200, state.get_snapshot().to_toml())
            elif url.path == "/watch":
                self._watch(parse_qs(url.query))
            else:
                self._send_branch(url.path.removeprefix("/branches/"))

        def _watch(self, values: dict[str, list[str]]) -> None:
            after = int(values["after"][0])
            wait_ms = int(values["wait_ms"][0])
            snapshot = state.wait_for_newer(after, wait_ms)
            if snapshot is None:
                self.answer(304)
            else:
                self.answer(200, snapshot.to_toml())

        def _send_branch(self, name: str) -> None:
            item = state.get_snapshot().branches.get(name)
            if item is None:
                self.answer(404)
            else:
                self.answer(200, item.text, {"Version": str(item.version)})

        def do_PUT(self) -> None:
            """Publish a branch, as an operator's tool would."""
            name = self.path.removeprefix(CONTROL_PREFIX + "branches/")
            expected = self.headers.get("If-Match")
            text = self.read_body()
            version = state.publish(name, text, int(expected) if expected else None)
            self.answer_json({"version": version}, 200 if version else 412)

        def do_POST(self) -> None:
            """Switch the mode."""
            state.set_mode(Mode(self.path.removeprefix(CONTROL_PREFIX + "mode/")))
            self.read_body()
            self.answer_json({"mode": "set"})

    return PlatformHandler


def serve_platform(address: str) -> None:
    """Run the stand-in until the process is ended."""
    state = PlatformState(Clock())
    StandInServer(address, make_handler(state)).serve_forever()
