"""Stand-in for the platform's configuration service, with switchable faults."""

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
    """Behaviour that a test switches while the stand-in runs."""

    UP = "up"
    # Breaks the connection of every read.
    DOWN = "down"
    # Serves the revision that was the latest when the mode was switched on.
    STALE = "stale"
    # Serves each revision LAG_MS after it was published.
    LAGGING = "lagging"
    # Serves the revision before the latest.
    OLDER = "older"


LAG_MS = 2_000
LAG_POLL_MS = 50


@dataclass(frozen=True)
class PublishedBranch:
    """One version of a settings branch, as published."""

    version: int
    text: bytes

    @property
    def digest(self) -> str:
        """Return the SHA-256 digest as hexadecimal text."""
        return hashlib.sha256(self.text).hexdigest()


@dataclass(frozen=True)
class Snapshot:
    """Settings tree at one revision; ``published_at`` is in milliseconds."""

    revision: int = 0
    branches: dict[str, PublishedBranch] = field(default_factory=dict)
    published_at: int = 0

    def to_toml(self) -> bytes:
        """Return the index: the version and digest of every branch."""
        lines = [f"revision = {self.revision}", "[branches]"]
        for name, item in sorted(self.branches.items()):
            row = f'{{ version = {item.version}, sha256 = "{item.digest}" }}'
            lines.append(f'"{name}" = {row}')
        return "\n".join(lines).encode() + b"\n"


class PlatformState:
    """All published revisions, the current mode, and the number of reads.

    Parameters
    ----------
    clock : Clock
        Source of time for watches and for the lag.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._changed = threading.Condition()
        self._history = [Snapshot()]
        self._mode = Mode.UP
        self._frozen_snapshot = self._history[0]
        self.reads = 0

    def publish(self, name: str, text: bytes, expected: int | None) -> int:
        """Publish a branch and return its version.

        Return zero and publish nothing if ``expected`` is given and is not the current
        version; an unpublished branch has version zero.
        """
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
        """Switch the mode and wake all watches."""
        with self._changed:
            self._mode = mode
            self._frozen_snapshot = self._history[-1]
            if mode is Mode.OLDER:
                self._frozen_snapshot = self._history[max(0, len(self._history) - 2)]
            self._changed.notify_all()

    def record_read(self) -> bool:
        """Count a read and return whether it is to be answered."""
        with self._changed:
            self.reads += 1
            return self._mode is not Mode.DOWN

    def get_snapshot(self) -> Snapshot:
        """Return the tree that readers are served in the current mode."""
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
        """Wait until a newer revision is served and return it.

        Return ``None`` after ``wait_ms``, or when the mode is ``DOWN``.
        """
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
    """Return the request handler class that serves a state."""

    class PlatformHandler(StandInHandler):
        """Read endpoints for proxies and control endpoints for tests."""

        def do_GET(self) -> None:
            """Answer a read of the index or a branch, a watch, or the statistics."""
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
            """Publish a branch; ``If-Match`` has the expected current version."""
            name = self.path.removeprefix(CONTROL_PREFIX + "branches/")
            expected = self.headers.get("If-Match")
            text = self.read_body()
            version = state.publish(name, text, int(expected) if expected else None)
            self.answer_json({"version": version}, 200 if version else 412)

        def do_POST(self) -> None:
            """Switch to the mode that the path names."""
            state.set_mode(Mode(self.path.removeprefix(CONTROL_PREFIX + "mode/")))
            self.read_body()
            self.answer_json({"mode": "set"})

    return PlatformHandler


def serve_platform(address: str) -> None:
    """Serve on an address until the process is terminated."""
    state = PlatformState(Clock())
    StandInServer(address, make_handler(state)).serve_forever()
