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
    """Show rule, limits and upstream states, or why a request was refused."""

    help = "Explain how a proxy would route a request, or why it refused one."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for proxy and request."""
        parser.add_argument("proxy", metavar="IP:PORT")
        parser.add_argument("path", nargs="?")
        parser.add_argument(
            "--request",
            metavar="ID",
            help="explain why this request of a workspace was refused; the port is "
            "that of the metrics",
        )
        parser.add_argument("--method", default="GET")
        parser.add_argument("--json", action="store_true")

    def handle(self, options: Namespace) -> ExitCode:
        """Ask the proxy and print its explanation."""
        if (options.path is None) == (options.request is None):
            raise CommandError("give either a path or --request", ExitCode.USAGE)
        if options.request is not None:
            return self.explain_refusal(options)
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

    def explain_refusal(self, options: Namespace) -> ExitCode:
        """Ask the proxy for a refusal and print the decision with its inputs."""
        query = urlencode({"request": options.request})
        answer = ProxyClient(options.proxy).call("GET", f"/-/explain?{query}")
        if answer.status != 200:
            raise CommandError(f"the proxy answered with status {answer.status}")
        report = answer.read_json()
        if options.json:
            print(json.dumps(report, indent=2))
        else:
            inputs = report.pop("inputs", {})
            for key, value in [
                *report.items(),
                *((f"inputs.{key}", value) for key, value in inputs.items()),
            ]:
                print(f"{key}: {'-' if value is None else value}")
        return ExitCode.OK if "workspace" in report else ExitCode.FAILED

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
