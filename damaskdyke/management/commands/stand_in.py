"""Command that runs a stand-in for the platform or an upstream."""

from argparse import ArgumentParser, Namespace

from damaskdyke.core.management.base import BaseCommand, ExitCode
from damaskdyke.testbed.platform import serve_platform
from damaskdyke.testbed.upstream import Limits, serve_upstream


class Command(BaseCommand):
    """Run a stand-in that can be made to fail, for tests."""

    help = "Run a stand-in for the platform or for an upstream, for tests."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for kind, address and limits of the stand-in."""
        parser.add_argument("kind", choices=("platform", "upstream"))
        parser.add_argument("--address", required=True, metavar="IP:PORT")
        parser.add_argument("--name", default="upstream")
        parser.add_argument("--slots", type=int, default=4)
        parser.add_argument("--queue", type=int, default=8)
        parser.add_argument("--connections", type=int, default=330)
        parser.add_argument("--cold-ms", type=int, default=0)

    def handle(self, options: Namespace) -> ExitCode:
        """Serve until the process is ended."""
        if options.kind == "platform":
            serve_platform(options.address)
        limits = Limits(
            options.slots, options.queue, options.connections, options.cold_ms
        )
        serve_upstream(options.address, options.name, limits)
        return ExitCode.OK
