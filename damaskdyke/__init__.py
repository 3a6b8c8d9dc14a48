"""Proxy fleet for upstreams with gray failures."""

import sys

if sys.argv[1:2] == ["proxy"]:
    # SIGHUP asks a proxy to read its settings again and ends a process without a
    # handler; a proxy that starts reads them later anyway. The module `signal` would
    # load others first, for about 1 ms.
    import _signal

    try:
        _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    except ValueError:
        # Another program imports the package in a thread.
        pass

__version__ = "0.1.0"
