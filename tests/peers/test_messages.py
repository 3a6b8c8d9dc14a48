import unittest

from hypothesis import given
from hypothesis import strategies as st
from thrift.transport.TTransport import TMemoryBuffer

from damaskdyke.peers.component import PeerHandler
from damaskdyke.peers.gen.peer.Peer import Client, Processor
from damaskdyke.peers.transport import make_protocol
from tests.kernels import make_kernel


class MessageFuzzTest(unittest.TestCase):
    """Arbitrary or damaged bytes on the peer port must not exhaust memory.

    They are answered or raise another exception, on which the server closes the
    connection.
    """

    @classmethod
    def setUpClass(cls):
        cls.kernel = make_kernel()
        cls.processor = Processor(PeerHandler(cls.kernel))

    def process(self, data):
        source, sink = TMemoryBuffer(data), TMemoryBuffer()
        try:
            self.processor.process(make_protocol(source), make_protocol(sink))
        except MemoryError:
            raise
        except Exception:
            return b""
        return sink.getvalue()

    @given(st.binary(max_size=300))
    def test_any_bytes_raise_or_are_answered(self, data):
        self.process(data)
        self.process(len(data).to_bytes(4, "big") + data)

    @given(st.binary(max_size=100), st.integers(min_value=0, max_value=120))
    def test_damaged_message_raises_or_is_answered(self, noise, index):
        buffer = TMemoryBuffer()
        client = Client(make_protocol(buffer))
        client.send_get_order("request", "d1.ticket")
        data = bytearray(buffer.getvalue())
        data[index : index + len(noise)] = noise
        self.process(bytes(data))

    def test_whole_message_is_answered(self):
        buffer = TMemoryBuffer()
        Client(make_protocol(buffer)).send_get_order("request", "not-a-ticket")
        self.assertIn(b"not a ticket", self.process(buffer.getvalue()))

    def test_huge_announced_size_is_refused_without_allocating_it(self):
        self.assertEqual(self.process(b"\x7f\xff\xff\xff" + b"x" * 10), b"")
