"""Tests of the start of a proxy."""

import gc
from dataclasses import replace
from unittest import TestCase, mock

from damaskdyke.core.clock import Clock
from damaskdyke.core.ids import Address
from damaskdyke.gateway.daemon import GatewayDaemon
from damaskdyke.gateway.server import ThreadedServer
from damaskdyke.platform.adapter import UsersPlatform
from damaskdyke.testbed.networks import reserve_network
from tests.gateway.cases import SETTINGS


class StartTest(TestCase):
    def test_proxy_listens_for_callers_before_it_says_that_it_is_ready(self):
        """Callers that the load balancer sent at once were refused."""
        ip = f"{self.enterContext(reserve_network())}.1"
        settings = replace(
            SETTINGS,
            ip=ip,
            caller_address=Address(f"{ip}:8080"),
            ready_address=Address(f"{ip}:8081"),
            gossip_port=8082,
            view_port=8083,
        )
        started = []
        enter = ThreadedServer.__enter__

        def record(server):
            started.append(server)
            return enter(server)

        daemon = GatewayDaemon(settings, UsersPlatform(), Clock())
        # The objects of other tests must not be frozen.
        with (
            mock.patch.object(ThreadedServer, "__enter__", record),
            mock.patch.object(gc, "freeze"),
            daemon,
        ):
            pass
        self.assertLess(
            started.index(daemon.caller_server),
            started.index(daemon._readiness_server),
        )
