"""Command that shows the state of proxies."""

import json
from argparse import ArgumentParser, Namespace
from typing import Any

from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.management.client import ProxyClient
from damaskdyke.management.tables import format_table

COLUMNS = ("proxy", "phase", "zone", "members", "tree", "bad", "unfit", "tickets")
PLATFORM_COLUMNS = ("proxy", "phase", "zone", "proxies", "rules", "proof", "active")
WORKSPACE_COLUMNS = (
    "proxy",
    "workspace",
    "tokens",
    "capacity",
    "share/s",
    "sends/s",
    "quota/s",
)


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
            self.print_tables(reports)
        if any(report is None for report in reports.values()):
            return ExitCode.UNREACHABLE
        return ExitCode.OK

    def print_tables(self, reports: dict[str, Any]) -> None:
        """Print a table of each kind of proxy, and the largest workspaces."""
        platform = {
            address: report
            for address, report in reports.items()
            if report is not None and "revision" in report
        }
        others = [
            self.make_row(address, report)
            for address, report in reports.items()
            if address not in platform
        ]
        if others:
            print(format_table(COLUMNS, others))
        if not platform:
            return
        rows = [self.make_platform_row(*pair) for pair in platform.items()]
        print(format_table(PLATFORM_COLUMNS, rows))
        largest = [
            row for pair in platform.items() for row in self.make_workspace_rows(*pair)
        ]
        if largest:
            print(format_table(WORKSPACE_COLUMNS, largest))

    def make_platform_row(self, address: str, report: Any) -> tuple[str, ...]:
        """Return the table row of one proxy of the platform."""
        workspaces = report.get("workspaces")
        proof, active = "-", "-"
        if workspaces is not None:
            active = f"{workspaces['active']} of {workspaces['configured']}"
            if workspaces["proof_required"]:
                age_ms = workspaces["proof_age_ms"]
                proof = "none" if age_ms is None else f"{age_ms} ms"
        return (
            address,
            report["phase"],
            report["zone"],
            str(report["proxies"]),
            str(report["version"]),
            proof,
            active,
        )

    def make_workspace_rows(self, address: str, report: Any) -> list[tuple[str, ...]]:
        """Return a row for each of the largest workspaces with a quota."""
        keys = ("tokens", "capacity", "share_per_second", "sends_per_second", "rate")
        return [
            (address, item["name"], *(f"{item[key]:g}" for key in keys))
            for item in report.get("workspaces", {}).get("largest", [])
        ]

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
