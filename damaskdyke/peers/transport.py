"""Thrift protocol stack with limits on the size of a peer's messages."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.protocol.TProtocol import TProtocolBase
from thrift.transport.TTransport import TFramedTransport, TTransportBase

# Size of one message, enough for the largest order and for its reply.
MAX_FRAME_BYTES = 40 * 1024 * 1024
# Elements that one list, set or map of a message may announce.
MAX_CONTAINER_ELEMENTS = 200_000


def make_protocol(socket: TTransportBase) -> TProtocolBase:
    """Return the framed binary protocol over a connected socket."""
    framed = TFramedTransport(socket, max_frame_size=MAX_FRAME_BYTES)
    return TBinaryProtocolAccelerated(
        framed,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_CONTAINER_ELEMENTS,
        fallback=True,
    )
