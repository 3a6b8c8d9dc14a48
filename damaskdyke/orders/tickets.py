"""Tickets: they name the home of an order and are authenticated by that home."""

import base64
import binascii
import hashlib
import hmac
import socket
import struct
from dataclasses import dataclass

from damaskdyke.core.errors import ErrorKind, ProxyError
from damaskdyke.core.ids import Address, BootId, TicketText

# Identifies the format of tickets.
TEXT_PREFIX = "d1."
# IPv4 address and port of the home, its boot id, and the sequence number.
BODY_FORMAT = struct.Struct(">4sHQQ")
# HMAC-SHA-256, truncated to 128 bits.
MAC_BYTES = 16
SECRET_BYTES = 32
MAX_TEXT_LENGTH = 80


@dataclass(frozen=True, slots=True)
class Ticket:
    """Contents of a ticket.

    Parameters
    ----------
    home : Address
        Peer address of the proxy that issued the ticket.
    boot : BootId
        Incarnation of that proxy; only it, or the one successor that its sealed
        ledger was handed to, may dispatch the order.
    sequence : int
        Number of the ticket at its home.
    mac : bytes
        Message authentication code under the secret of the incarnation.
    """

    home: Address
    boot: BootId
    sequence: int
    mac: bytes

    @property
    def text(self) -> TicketText:
        """Return the ticket as callers get it, in unpadded URL-safe base64."""
        packed = pack_body(self.home, self.boot, self.sequence) + self.mac
        encoded = base64.urlsafe_b64encode(packed).rstrip(b"=").decode("ascii")
        return TicketText(TEXT_PREFIX + encoded)

    def is_authentic(self, secret: bytes) -> bool:
        """Return whether the ticket was issued with ``secret``."""
        body = pack_body(self.home, self.boot, self.sequence)
        return hmac.compare_digest(compute_mac(secret, body), self.mac)


def make_ticket(home: Address, boot: BootId, sequence: int, secret: bytes) -> Ticket:
    """Return a ticket that is authenticated with ``secret``."""
    mac = compute_mac(secret, pack_body(home, boot, sequence))
    return Ticket(home, boot, sequence, mac)


def parse_ticket(text: str) -> Ticket:
    """Return the ticket in a caller's header, before it is authenticated.

    Raises
    ------
    ProxyError
        ``ticket-invalid`` if the text is not a ticket.
    """
    if not text.startswith(TEXT_PREFIX) or len(text) > MAX_TEXT_LENGTH:
        raise ProxyError(ErrorKind.TICKET_INVALID, "not a ticket of this system")
    encoded = text[len(TEXT_PREFIX) :]
    try:
        padded = encoded + "=" * (-len(encoded) % 4)
        packed = base64.b64decode(padded.encode("ascii"), b"-_", validate=True)
    except (binascii.Error, UnicodeEncodeError, ValueError) as error:
        raise ProxyError(
            ErrorKind.TICKET_INVALID, "the ticket is not URL-safe base64"
        ) from error
    if len(packed) != BODY_FORMAT.size + MAC_BYTES:
        raise ProxyError(ErrorKind.TICKET_INVALID, "the ticket has the wrong length")
    host, port, boot, sequence = BODY_FORMAT.unpack(packed[: BODY_FORMAT.size])
    home = Address(f"{socket.inet_ntoa(host)}:{port}")
    ticket = Ticket(home, BootId(boot), sequence, packed[BODY_FORMAT.size :])
    if ticket.text != text:
        raise ProxyError(
            ErrorKind.TICKET_INVALID, "the ticket is not in its canonical encoding"
        )
    return ticket


def pack_body(home: Address, boot: BootId, sequence: int) -> bytes:
    """Return the part of a ticket that its code authenticates."""
    host, port = home.rsplit(":", 1)
    return BODY_FORMAT.pack(socket.inet_aton(host), int(port), boot, sequence)


def compute_mac(secret: bytes, body: bytes) -> bytes:
    """Return the message authentication code of a packed ticket body."""
    return hmac.new(secret, body, hashlib.sha256).digest()[:MAC_BYTES]
