"""Loopback networks for fleets whose proxies share their port numbers."""

import contextlib
import random
import socket
from collections.abc import Iterator

# A network is 127.A.B; the first numbers are left to other tests and programs.
FIRST_PART = 20
LAST_PART = 250
# Host and port that the holder of a network binds.
GUARD_HOST = 254
GUARD_PORT = 17_999
MAX_ATTEMPTS = 1_000


@contextlib.contextmanager
def reserve_network() -> Iterator[str]:
    """Reserve a network ``127.A.B`` that no other process uses, for the context.

    Runs beside each other on one machine thus never share an address. The end of the
    process frees its networks in any case.

    Raises
    ------
    OSError
        If no network is free.
    """
    numbers = random.SystemRandom()
    for _ in range(MAX_ATTEMPTS):
        parts = [numbers.randint(FIRST_PART, LAST_PART) for _ in range(2)]
        network = f"127.{parts[0]}.{parts[1]}"
        with socket.socket() as guard:
            try:
                guard.bind((f"{network}.{GUARD_HOST}", GUARD_PORT))
            except OSError:
                continue
            yield network
            return
    raise OSError("no loopback network is free")
