"""Command that sends a lookup."""

import sys
from argparse import ArgumentParser, Namespace

from damaskdyke.core.management.base import BaseCommand, ExitCode
from damaskdyke.management.client import ProxyClient


class Command(BaseCommand):
    """Send an idempotent request and print the reply."""

    help = "Send a lookup through a proxy and print the reply."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for proxy, path and deadline."""
        parser.add_argument("proxy", metavar="IP:PORT")
        parser.add_argument("path")
        parser.add_argument("--deadline-ms", type=int)

    def handle(self, options: Namespace) -> ExitCode:
        """Send a GET request and print the body of the reply."""
        headers = {}
        if options.deadline_ms:
            headers["Deadline-Ms"] = str(options.deadline_ms)
        answer = ProxyClient(options.proxy).call("GET", options.path, headers=headers)
        sys.stdout.write(answer.body.decode("utf-8", "replace"))
        return ExitCode.OK if answer.status < 400 else ExitCode.FAILED
