"""Reports on a proxy of the platform for operators, as JSON.

They are served beside the metrics, below ``/-/`` as those of other proxies are. Reports
name workspaces and never their keys.
"""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from damaskdyke.catalogue.catalogue import Catalogue
from damaskdyke.catalogue.revisions import describe_revision
from damaskdyke.conf.vm import VmSettings
from damaskdyke.core.clock import Clock
from damaskdyke.core.ids import RequestId
from damaskdyke.core.registry import Registry
from damaskdyke.gateway.dispatcher import Dispatcher
from damaskdyke.workspaces.freshness import FreshnessTracker
from damaskdyke.workspaces.refusals import RefusalLog

Report = dict[str, Any]
# Workspaces whose bucket levels a status report lists, those with the most sends first.
MAX_LISTED_WORKSPACES = 10


class GatewayReporter:
    """Builds the reports of one proxy.

    Parameters
    ----------
    get_settings, get_view : callable
        Return the settings and the catalogue in force.
    dispatcher, freshness, refusals, clock : Dispatcher, FreshnessTracker, RefusalLog, \
Clock
        State that is reported on, and time.
    count_proxies : callable
        Returns the number of known proxies in the fleet.
    get_phase : callable
        Returns whether the proxy starts, is ready or drains, as a word.
    """

    def __init__(
        self,
        get_settings: Callable[[], VmSettings],
        get_view: Callable[[], Catalogue],
        dispatcher: Dispatcher,
        freshness: FreshnessTracker,
        refusals: RefusalLog,
        clock: Clock,
        count_proxies: Callable[[], int],
        get_phase: Callable[[], str],
    ):
        self._get_settings = get_settings
        self._get_view = get_view
        self._dispatcher = dispatcher
        self._freshness = freshness
        self._refusals = refusals
        self._clock = clock
        self._count_proxies = count_proxies
        self._get_phase = get_phase

    def describe_proxy(self) -> Report:
        """Return the state of the proxy and, if there are any, of the workspaces."""
        settings, view = self._get_settings(), self._get_view()
        report = {
            "name": settings.name,
            "zone": settings.zone,
            "phase": self._get_phase(),
            "proxies": self._count_proxies(),
            "version": view.version,
            **describe_revision(view.revision),
            "suspects": self._dispatcher.count_suspects(),
        }
        if view.directory is not None:
            report["workspaces"] = self._describe_workspaces(view)
        return report

    def _describe_workspaces(self, view: Catalogue) -> Report:
        now = self._clock.now()
        activity = self._dispatcher.describe_workspaces(MAX_LISTED_WORKSPACES)
        return {
            "configured": len(view.directory),
            "active": activity.active,
            "proof_required": self._freshness.is_required,
            "proof_age_ms": self._freshness.get_age_ms(view.revision, now),
            "buckets": activity.buckets,
            "largest": [
                {
                    "name": item.name,
                    "tokens": round(item.level, 2),
                    "capacity": round(item.capacity, 2),
                    "share_per_second": round(item.share, 2),
                    "sends_per_second": round(item.sends_per_second, 2),
                    "rate": item.rate,
                }
                for item in activity.largest
            ],
        }

    def explain_refusal(self, request: RequestId) -> Report:
        """Return why a request of a workspace was refused, with the inputs."""
        refusal = self._refusals.find(request)
        if refusal is None:
            return {"request": request, "decision": "not-kept"}
        return {
            "request": request,
            "workspace": refusal.workspace,
            "decision": refusal.decision.value,
            "ago_ms": self._clock.now() - refusal.refused_at,
            "inputs": refusal.inputs,
        }


Page = Callable[[GatewayReporter, dict[str, list[str]]], Report]
pages: Registry[Page] = Registry("report page")


@pages.register("/-/status")
def show_status(reporter: GatewayReporter, query: dict[str, list[str]]) -> Report:
    """Report on the proxy."""
    return reporter.describe_proxy()


@pages.register("/-/explain")
def show_refusal(reporter: GatewayReporter, query: dict[str, list[str]]) -> Report:
    """Report on the refusal of the request that the query names."""
    return reporter.explain_refusal(RequestId(query.get("request", [""])[0]))


def render_page(reporter: GatewayReporter, uri: str) -> bytes | None:
    """Return the page at a URI as JSON, ``None`` if there is none."""
    try:
        parts = urlsplit(uri)
    except ValueError:
        # No URI, for instance one with half of an IPv6 address.
        return None
    if parts.path not in pages.names():
        return None
    report = pages.get(parts.path)(reporter, parse_qs(parts.query))
    return json.dumps(report).encode()
