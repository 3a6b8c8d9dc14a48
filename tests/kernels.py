"""Kernels with every component, not started."""

from damaskdyke.conf.daemon import DaemonSettings
from damaskdyke.core import plugins  # noqa: F401
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import Address, ZoneName
from damaskdyke.core.kernel import Kernel


def make_settings(**values):
    return DaemonSettings(
        **{
            "address": Address("127.0.0.1:18080"),
            "peer_address": Address("127.0.0.1:19090"),
            "zone": ZoneName("suva"),
            "platform": Address("127.0.0.1:17070"),
            **values,
        }
    )


def make_kernel(**values):
    kernel = Kernel(make_settings(**values), ManualClock(1_000_000))
    kernel.add_registered()
    return kernel
