"""Command that shows the state of proxies."""

import json
from argparse import ArgumentParser, Namespace
from typing import Any

from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.management.client import ProxyClient
from damaskdyke.management.tables import format_table

COLUMNS = ("proxy", "phase", "zone", "members", "tree", "bad", "unfit", "tickets")


class Command(BaseCommand):
    """Show the state of the given proxies."""

    help = "Show the state of one or more proxies, as a table or as JSON."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for the proxies and the format."""
        parser.add_argument("proxies", nargs="+", metavar="IP:PORT")
        parser.add_argument("--json", action="store_true")

    def handle(self, options: Namespace) -> ExitCode:
        """Request the status of every proxy and print them together."""
        reports: dict[str, Any] = {}
        for address in options.proxies:
            reports[address] = self.fetch_report(address)
        if options.json:
            print(json.dumps(reports, indent=2))
        else:
            rows = [self.make_row(*pair) for pair in reports.items()]
            print(format_table(COLUMNS, rows))
        if any(report is None for report in reports.values()):
            return ExitCode.UNREACHABLE
        return ExitCode.OK

    def fetch_report(self, address: str) -> Any:
        """Return one proxy's status report, or ``None`` if the call failed."""
        try:
            return ProxyClient(address).call("GET", "/-/status").read_json()
        except CommandError:
            return None

    def make_row(self, address: str, report: Any) -> tuple[str, ...]:
        """Return the table row of one proxy."""
        if report is None:
            return (address, "unreachable", "", "", "", "", "", "")
        alive = [item for item in report["members"] if item["state"] == "alive"]
        bad = [item["name"] for item in report["branches"] if item["error"]]
        unfit = [
            f"{item['id']}={item['state']}"
            for service in report["services"]
            for item in service["upstreams"]
            if item["state"] != "fit"
        ]
        return (
            address,
            report["phase"],
            report["zone"],
            str(len(alive)),
            report["tree"][:8],
            ",".join(bad) or "-",
            ",".join(unfit) or "-",
            str(report["tickets"]),
        )
