"""Interface for components that add their state to the exchanges between members."""

from abc import ABC, abstractmethod

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import Address
from damaskdyke.peers.gen.peer.ttypes import Exchange


class ExchangePart(ABC):
    """State of one component that exchange messages carry."""

    @abstractmethod
    def add_to_exchange(self, exchange: Exchange) -> None:
        """Add this component's state to an outgoing request or reply."""

    @abstractmethod
    def receive_exchange(self, sender: Address, exchange: Exchange) -> None:
        """Merge the state in a peer's request or reply.

        The message may be old: after a pause of this process it may have waited in a
        socket buffer for as long as the pause.
        """

    def record_answer(
        self, sender: Address, answer: Exchange, asked_at: Millis
    ) -> None:
        """Handle the reply to an exchange that this proxy began.

        The default does nothing.

        Parameters
        ----------
        sender : Address
            The peer that answered.
        answer : Exchange
            Its reply.
        asked_at : Millis
            Time of this proxy's request; the state in the reply is not older.
        """
