"""Extension point for state that travels with every exchange."""

from abc import ABC, abstractmethod

from damaskdyke.core.clock import Millis
from damaskdyke.core.ids import Address
from damaskdyke.peers.gen.peer.ttypes import Exchange


class ExchangePart(ABC):
    """State of another component that rides on the exchanges between members."""

    @abstractmethod
    def add_to_exchange(self, offer: Exchange) -> None:
        """Add what this proxy has to say to an outgoing exchange."""

    @abstractmethod
    def receive_exchange(self, sender: Address, offer: Exchange) -> None:
        """Take in what a peer said, which may have been sent long ago."""

    def record_answer(
        self, sender: Address, answer: Exchange, asked_at: Millis
    ) -> None:
        """Take note of an answer to an exchange that this proxy began itself.

        Parameters
        ----------
        sender : Address
            The peer that answered.
        answer : Exchange
            What it said.
        asked_at : Millis
            When this proxy asked; what the peer said is not older.
        """
