"""Calls to peers over pooled connections, with one call at a time on each."""

import threading
from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from thrift.Thrift import TApplicationException, TException
from thrift.transport.TTransport import TTransportException

from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address
from damaskdyke.peers.gen.peer.Peer import Client
from damaskdyke.peers.traffic import CountingSocket, Traffic
from damaskdyke.peers.transport import make_protocol

Reply = TypeVar("Reply")

MAX_IDLE_PER_PEER = 4


class CallStage(Enum):
    """Whether a failed call may have reached the peer."""

    NOT_SENT = "not-sent"
    MAYBE_SENT = "maybe-sent"


class PeerCallError(ProxyError):
    """A call to a peer failed.

    Parameters
    ----------
    address : Address
        Peer that was called.
    stage : CallStage
        Whether the peer may have received the call.
    detail : str
        What happened, as the transport or the peer reported it.
    """

    def __init__(self, address: Address, stage: CallStage, detail: str):
        super().__init__(ErrorKind.PEER_UNAVAILABLE, f"{address}: {detail}")
        self.address = address
        self.stage = stage


class PeerConnection:
    """One open connection to a peer, with its Thrift client."""

    def __init__(self, address: Address, timeout_ms: int, traffic: Traffic):
        host, port = address.rsplit(":", 1)
        self.socket = CountingSocket(traffic, host, int(port))
        self.socket.setTimeout(timeout_ms)
        self.protocol = make_protocol(self.socket)
        self.client = Client(self.protocol)
        self.socket.open()

    def set_timeout(self, timeout_ms: int) -> None:
        """Set the time-out of each read and write, in milliseconds."""
        self.socket.setTimeout(timeout_ms)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


class PeerPool:
    """Idle connections to every peer, and a count of the bytes sent and received.

    A connection on which a call failed is closed and never used again, so that a late
    reply cannot be taken for the reply to another call.
    """

    def __init__(self):
        self.traffic = Traffic()
        self._lock = threading.Lock()
        self._idle: dict[Address, list[PeerConnection]] = defaultdict(list)

    def call(
        self,
        address: Address,
        timeout_ms: int,
        function: Callable[[Client], Reply],
    ) -> Reply:
        """Call a peer and return its reply.

        Parameters
        ----------
        address : Address
            Peer to call.
        timeout_ms : int
            Time-out for opening a connection, and for each read and write.
        function : callable
            Makes the call with the client that it is given.

        Raises
        ------
        PeerCallError
            If the peer cannot be reached, or does not reply in time.
        """
        connection = self._pop_idle(address)
        if connection is None:
            connection = self._connect(address, timeout_ms)
        try:
            connection.set_timeout(max(1, timeout_ms))
            reply = function(connection.client)
        except (TException, OSError, ValueError, EOFError) as error:
            connection.close()
            raise self._make_error(address, error) from error
        except BaseException:
            connection.close()
            raise
        self._release(address, connection)
        return reply

    def call_on_new_connection(
        self,
        address: Address,
        timeout_ms: int,
        function: Callable[[Client], Reply],
    ) -> Reply:
        """Call a peer on a new connection, after closing the idle ones to it.

        Raises
        ------
        PeerCallError
            As :meth:`call`.
        """
        self.close_idle(address)
        return self.call(address, timeout_ms, function)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a peer."""
        with self._lock:
            connections = self._idle.pop(address, [])
        for connection in connections:
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            addresses = list(self._idle)
        for address in addresses:
            self.close_idle(address)

    def _connect(self, address: Address, timeout_ms: int) -> PeerConnection:
        try:
            return PeerConnection(address, max(1, timeout_ms), self.traffic)
        except (TTransportException, OSError, ValueError) as error:
            raise PeerCallError(address, CallStage.NOT_SENT, str(error)) from error

    def _pop_idle(self, address: Address) -> PeerConnection | None:
        with self._lock:
            idle = self._idle.get(address)
            return idle.pop() if idle else None

    def _release(self, address: Address, connection: PeerConnection) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < MAX_IDLE_PER_PEER:
                idle.append(connection)
                return
        connection.close()

    def _make_error(self, address: Address, error: Exception) -> PeerCallError:
        detail = f"{type(error).__name__}: {error}"
        if isinstance(error, TApplicationException):
            detail = f"the peer reported: {error}"
        return PeerCallError(address, CallStage.MAYBE_SENT, detail)
