"""Command that explains how a proxy would route a request."""

import json
from argparse import ArgumentParser, Namespace
from typing import Any
from urllib.parse import urlencode

from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.management.client import ProxyClient
from damaskdyke.management.tables import format_table

COLUMNS = ("upstream", "zone", "state", "leaving", "in flight", "connections")


class Command(BaseCommand):
    """Show rule, limits and upstream states that apply to a request."""

    help = "Explain how a proxy would route a request, and by which settings."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for proxy and request."""
        parser.add_argument("proxy", metavar="IP:PORT")
        parser.add_argument("path")
        parser.add_argument("--method", default="GET")
        parser.add_argument("--json", action="store_true")

    def handle(self, options: Namespace) -> ExitCode:
        """Ask the proxy and print its explanation."""
        query = urlencode({"method": options.method, "path": options.path})
        answer = ProxyClient(options.proxy).call("GET", f"/-/explain?{query}")
        report = answer.read_json()
        if answer.status != 200:
            raise CommandError(
                report.get("detail", f"the proxy answered with status {answer.status}")
            )
        if options.json:
            print(json.dumps(report, indent=2))
        else:
            self.print_report(report)
        return ExitCode.OK if "rule" in report else ExitCode.FAILED

    def print_report(self, report: dict[str, Any]) -> None:
        """Print the explanation as text."""
        for key in ("method", "path", "decision", "phase", "service", "branch"):
            if key in report:
                print(f"{key}: {report[key]}")
        for part in ("rule", "limits"):
            for key, value in report.get(part, {}).items():
                print(f"{part}.{key}: {value}")
        rows = [
            (
                item["id"],
                item["zone"],
                item["state"],
                str(item["leaving"]).lower(),
                str(item["in_flight"]),
                str(item["connections"]),
            )
            for item in report.get("upstreams", [])
        ]
        if rows:
            print(format_table(COLUMNS, rows))
