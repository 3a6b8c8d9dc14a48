"""Periodic exchange of state with one neighbor, in a thread of its own."""

import logging
import threading
from typing import TYPE_CHECKING

from damaskdyke.core.ids import Address
from damaskdyke.peers.client import PeerCallError
from damaskdyke.utils.logs import log_event

if TYPE_CHECKING:
    from damaskdyke.membership.component import Membership

logger = logging.getLogger("damaskdyke.membership")

FAILURES_BEFORE_REPORT = 2


class PeerLink:
    """Exchanges state with one neighbor until the link is ended.

    Parameters
    ----------
    membership : Membership
        Component that carries out the exchanges.
    address : Address
        Peer address of the neighbor.
    """

    def __init__(self, membership: "Membership", address: Address):
        self._membership = membership
        self._address = address
        self._wake = threading.Event()
        self._is_ended = False

    def wake(self) -> None:
        """Cut the present wait short, so that the next exchange begins at once."""
        self._wake.set()

    def end(self) -> None:
        """Make the thread end after its present exchange."""
        self._is_ended = True
        self._wake.set()

    def run(self) -> None:
        """Exchange at each gossip interval until the link or the process ends.

        Two failures in a row and each further one report the neighbor as unreachable.
        """
        kernel = self._membership.kernel
        failures = 0
        while not self._is_ended and not kernel.is_stopping:
            failures = 0 if self._exchange(failures) else failures + 1
            if failures >= FAILURES_BEFORE_REPORT:
                self._membership.report_unreachable(self._address)
            self._wake.wait(kernel.settings.timing.gossip_ms / 1000)
            self._wake.clear()

    def _exchange(self, failures: int) -> bool:
        try:
            self._membership.exchange_with(self._address, fresh=failures > 0)
        except PeerCallError as error:
            log_event(
                logger,
                "exchange-failed",
                logging.DEBUG,
                peer=self._address,
                error=error.detail,
            )
            return False
        except Exception as error:
            log_event(
                logger,
                "exchange-error",
                logging.ERROR,
                peer=self._address,
                error=repr(error),
            )
            return False
        return True
