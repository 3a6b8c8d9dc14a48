"""Builds kernels with every registered component, not started, for unit tests."""

import hashlib

from damaskdyke.conf.daemon import DaemonSettings
from damaskdyke.core import plugins  # noqa: F401
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import Address, BranchName, ZoneName
from damaskdyke.core.kernel import Kernel
from damaskdyke.distribution.component import Settings
from damaskdyke.distribution.documents import Document, Version


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


def make_ready_kernel(branch, text, **values):
    """Return a kernel whose settings store holds version 1 of one branch.

    No peer is listed, so the settings count as compared and may be served.
    """
    kernel = make_kernel(**values)
    settings = kernel.get(Settings)
    digest = hashlib.sha256(text).digest()
    settings.store.offer(Document(Version(BranchName(branch), 1, digest), text))
    return kernel
