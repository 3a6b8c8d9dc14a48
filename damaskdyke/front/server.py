"""Front component: the application on CherryPy's HTTP server, cheroot."""

import contextlib
import logging
import threading
from typing import Any

from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10, Server

from damaskdyke.conf.schemas import MAX_BODY_BYTES
from damaskdyke.core.clock import Clock
from damaskdyke.core.kernel import Component, Kernel, components
from damaskdyke.front.application import Application
from damaskdyke.front.lifecycle import Lifecycle
from damaskdyke.utils.closing import LingeringCloser
from damaskdyke.utils.logs import log_event

logger = logging.getLogger("damaskdyke.http")

MAX_HEADER_BYTES = 32_768
IDLE_TIMEOUT_SECONDS = 15
SHUTDOWN_TIMEOUT_SECONDS = 5
LISTEN_BACKLOG = 512
# Accepted connections that wait for a free thread.
MAX_WAITING_CONNECTIONS = 2_000


def make_gateway(lifecycle: Lifecycle) -> type[Gateway_10]:
    """Return a gateway class whose requests are in flight until fully written."""

    class CountingGateway(Gateway_10):
        """Gateway that counts its request as in flight."""

        def respond(self) -> None:
            """Answer the request; while draining, close its connection afterwards."""
            if lifecycle.is_draining:
                self.req.close_connection = True
            with lifecycle.track_request():
                super().respond()

    return CountingGateway


class FrontConnection(HTTPConnection):
    """Connection that is closed once its caller can have received the last answer."""

    def close(self) -> None:
        """End the sending direction; the closer closes the rest later."""
        self.server.closer.close(self.socket, super().close)


class FrontServer(Server):
    """HTTP server that writes its own messages to this process's log.

    Parameters
    ----------
    clock : Clock
        Source of time.
    *args, **kwargs
        As the library's server takes them.
    """

    ConnectionClass = FrontConnection

    def __init__(self, clock: Clock, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.closer = LingeringCloser(clock)

    def error_log(self, msg="", level=logging.INFO, traceback=False) -> None:
        """Log a message of the server at level debug, whatever its own level."""
        log_event(logger, "server", logging.DEBUG, message=msg)


@components.register("front")
class FrontListener(Component):
    """HTTP listener for callers, operators and the load balancer."""

    def __init__(self, kernel: Kernel):
        super().__init__(kernel)
        host, port = kernel.settings.address.rsplit(":", 1)
        self._server = FrontServer(
            kernel.clock,
            (host, int(port)),
            Application(kernel),
            numthreads=kernel.settings.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            accepted_queue_size=MAX_WAITING_CONNECTIONS,
        )
        self._server.gateway = make_gateway(kernel.get(Lifecycle))
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.nodelay = True
        self._exit_stack = contextlib.ExitStack()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Open the listener and serve requests."""
        self._exit_stack.enter_context(self._server.closer)
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="front")
        self._thread.daemon = True
        self._thread.start()

    def stop(self) -> None:
        """Close the listener, and wait a limited time for the requests in flight."""
        self._server.stop()
        self._server.closer.wait_closed()
        self._exit_stack.close()
