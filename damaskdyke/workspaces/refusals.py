"""Recent refusals of workspaces' requests, with the inputs of each decision.

Load pattern: a hot workspace or a partition has hundreds of requests refused each
second, and an operator asks for one of them. The number that is kept is bounded, and
nothing is kept where no workspaces are configured.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import RequestId, WorkspaceName

# A proxy of a busy fleet refuses some hundred requests a second at most; an entry takes
# about a kilobyte.
MAX_REFUSALS = 500
# Callers choose the ids, which may be as long as a header.
MAX_ID_LENGTH = 128


class Decision(Enum):
    """Reason for which a request of a workspace was not forwarded."""

    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    KEY_UNPROVEN = "key-unproven"
    OVER_QUOTA = "over-quota"
    NO_ROOM = "no-room"
    # It waited for a slot and none became free.
    WAITED = "waited"


# Decisions for lack of a slot.
LACK_OF_ROOM = frozenset({Decision.NO_ROOM.value, Decision.WAITED.value})


@dataclass(frozen=True, slots=True)
class Refusal:
    """One refused request.

    Parameters
    ----------
    workspace : WorkspaceName or None
        Its workspace, ``None`` if its key is not known.
    decision : Decision
        Why it was refused.
    refused_at : Millis
        Time of the decision.
    inputs : dict
        What was decided on, by name; times that end in ``_age_ms`` are ages at the time
        of the decision.
    """

    workspace: WorkspaceName | None
    decision: Decision
    refused_at: Millis
    inputs: dict[str, float | int | None] = field(default_factory=dict)


class RefusalLog:
    """The last refusals by request id; safe in any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._refusals: OrderedDict[str, Refusal] = OrderedDict()

    def __len__(self) -> int:
        return len(self._refusals)

    def record(self, request: RequestId, refusal: Refusal) -> None:
        """Keep a refusal; the oldest one gives way."""
        key = request[:MAX_ID_LENGTH]
        with self._lock:
            self._refusals.pop(key, None)
            self._refusals[key] = refusal
            if len(self._refusals) > MAX_REFUSALS:
                self._refusals.popitem(last=False)

    def find(self, request: RequestId) -> Refusal | None:
        """Return the last refusal of a request, ``None`` if it is not kept."""
        with self._lock:
            return self._refusals.get(request[:MAX_ID_LENGTH])
