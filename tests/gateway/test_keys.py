"""Tests that requests carry a key and that upstreams learn the workspace, not the key.

Keys were passed on to upstreams, and nobody checked them.
"""

from damaskdyke.catalogue.catalogue import build_catalogue
from damaskdyke.catalogue.types import CallerLimits, Rules, Service
from damaskdyke.core.ids import RequestId
from damaskdyke.gateway.application import Application
from damaskdyke.gateway.callers import CallerWatch
from damaskdyke.gateway.headers import list_forwarded
from damaskdyke.gateway.instruments import Instruments
from damaskdyke.gateway.messages import CallerRequest
from damaskdyke.platform.headers import HEADERS
from damaskdyke.upstreams.messages import Header
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.freshness import FreshnessTracker
from damaskdyke.workspaces.types import Workspace
from tests.gateway.cases import GatewayCase, make_route


class KeyTest(GatewayCase):
    is_view_confirmed = True

    def setUp(self):
        super().setUp()
        public = make_route(name="p", prefix="/public/", is_public=True)
        self.routes = (make_route(), public)
        self.set_directory(Directory([Workspace("w1", ("k1",))]))
        self.freshness = FreshnessTracker(None)
        self.application = Application(
            self.dispatcher,
            self.pool,
            HEADERS,
            Instruments(),
            self.clock,
            lambda: self.view,
            lambda: self.is_view_confirmed,
            lambda: 1,
            self.freshness,
        )

    def set_directory(self, directory):
        services = {"desk": Service("desk", "/healthz", 100)}
        rules = Rules(1, self.routes, services, CallerLimits(), directory)
        instances = {item.name: item.describe() for item in self.instances}
        self.view = build_catalogue(1, rules, instances)

    def ask(self, key="", path="/p/x", workspace=None):
        headers = [Header("Host", "h.example"), Header(HEADERS.request_id, "q")]
        if key:
            headers.append(Header(HEADERS.api_key, key))
        if workspace:
            headers.append(Header(HEADERS.workspace, workspace))
        request = CallerRequest(
            RequestId("q"),
            "GET",
            path,
            "h.example",
            headers,
            b"",
            1_000,
            self.clock.now(),
            key,
        )
        answer = self.application.answer(request, CallerWatch(self.caller))
        return answer.status

    def read_headers(self):
        """Return the values that the upstream last got for the two headers."""
        received = self.upstream.last_headers
        names = (HEADERS.workspace, HEADERS.api_key)
        return tuple(received.get(name.lower()) for name in names)

    def test_upstream_gets_the_workspace_in_place_of_the_key(self):
        self.assertEqual(self.ask(key="k1", workspace="other"), 200)
        self.assertEqual(self.read_headers(), ("w1", None))

    def test_unknown_or_missing_key_is_unauthorized(self):
        for key in ("", "k2", "K1", "k1, k1"):
            with self.subTest(key=key):
                self.assertEqual(self.ask(key=key), 401)
        self.assertEqual(self.upstream.connections, 0)

    def test_unknown_key_is_refused_while_the_view_is_unconfirmed(self):
        # A newer configuration may know the key.
        self.is_view_confirmed = False
        self.assertEqual(self.ask(key="k2"), 503)

    def test_public_route_needs_no_key_and_passes_neither_header_on(self):
        self.assertEqual(self.ask(path="/public/x"), 200)
        self.assertEqual(self.ask("k1", "/public/x", workspace="other"), 200)
        self.assertEqual(self.read_headers(), (None, None))

    def test_headers_pass_unchanged_without_workspaces(self):
        self.set_directory(None)
        self.assertEqual(self.ask(key="k9", workspace="w9"), 200)
        self.assertEqual(self.read_headers(), ("w9", "k9"))

    def test_names_of_the_headers_are_matched_in_any_case(self):
        headers = [
            Header(HEADERS.api_key.upper(), "k1"),
            Header(HEADERS.workspace.lower(), "w"),
        ]
        self.assertEqual(list_forwarded(headers, HEADERS, True), [])

    def test_key_is_not_relied_on_without_a_recent_proof(self):
        # It may have been withdrawn while this proxy was cut off from the store.
        self.freshness.set_max_age_ms(5_000)
        self.assertEqual(self.ask(key="k1"), 503)
        self.freshness.record_watch(self.clock.now(), self.view.revision)
        self.assertEqual(self.ask(key="k1"), 200)
        self.freshness.set_max_age_ms(0)
        self.clock.sleep(5)
        self.assertEqual(self.ask(key="k1"), 503)
        self.assertEqual(self.ask(path="/public/x"), 200)
