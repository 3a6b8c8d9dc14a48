import socket
import threading
import unittest

from damaskdyke.testbed.relay import Relay, reset_on_close


class RelayTest(unittest.TestCase):
    """A reset at the target reached the other end as an ordinary end."""

    def connect(self):
        """Return both ends of a connection through a relay."""
        listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
        target = f"127.0.0.1:{listener.getsockname()[1]}"
        relay = self.enterContext(Relay("127.0.0.1:0", target))
        host, port = relay.address.rsplit(":", 1)
        near = self.enterContext(socket.create_connection((host, int(port)), 20))
        far, _ = listener.accept()
        self.addCleanup(far.close)
        return near, far

    def test_reset_is_passed_on(self):
        near, far = self.connect()
        far.sendall(b"half")
        self.assertEqual(near.recv(10), b"half")
        reset_on_close(far)
        far.close()
        with self.assertRaises(ConnectionResetError):
            near.recv(10)

    def test_ordinary_end_is_passed_on(self):
        near, far = self.connect()
        threading.Thread(target=lambda: (far.sendall(b"all"), far.close())).start()
        self.assertEqual(near.makefile("rb").read(), b"all")
