"""Command that places, repeats or withdraws an order."""

import sys
from argparse import ArgumentParser, Namespace

from damaskdyke.core.management.base import BaseCommand, CommandError, ExitCode
from damaskdyke.management.client import ProxyAnswer, ProxyClient

TICKET_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "Order-Outcome"
EXIT_CODES = {"answered": ExitCode.OK, "not-run": ExitCode.NOT_RUN}


class Command(BaseCommand):
    """Send a non-idempotent request under a ticket."""

    help = "Place an order under a ticket, repeat it safely, or withdraw it."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the arguments for proxies, order and ticket."""
        parser.add_argument("proxies", metavar="IP:PORT[,IP:PORT...]")
        parser.add_argument("path", nargs="?", default="")
        parser.add_argument("--method", default="POST")
        parser.add_argument("--body", default="{}")
        parser.add_argument("--ticket", help="repeat under this ticket")
        parser.add_argument("--repeats", type=int, default=3)
        parser.add_argument(
            "--withdraw", action="store_true", help="withdraw the order of --ticket"
        )

    def handle(self, options: Namespace) -> ExitCode:
        """Place or withdraw the order and print the outcome."""
        clients = [ProxyClient(item) for item in options.proxies.split(",")]
        if options.withdraw:
            return self.withdraw_order(clients[0], options.ticket)
        if not options.path:
            raise CommandError("the path of the order is missing", ExitCode.USAGE)
        ticket = options.ticket or self.request_ticket(clients[0])
        print(f"ticket: {ticket}", file=sys.stderr)
        return self.place_order(clients, ticket, options)

    def request_ticket(self, client: ProxyClient) -> str:
        """Request a new ticket from a proxy.

        Raises
        ------
        CommandError
            With the exit code for "not run" if the proxy issues none.
        """
        answer = client.call("POST", "/-/tickets")
        if answer.status != 201:
            raise CommandError(answer.body.decode(), ExitCode.NOT_RUN)
        return answer.headers[TICKET_HEADER]

    def place_order(
        self, clients: list[ProxyClient], ticket: str, options: Namespace
    ) -> ExitCode:
        """Send the order through the proxies in turn until its outcome is final.

        Stop after ``--repeats`` attempts, with the exit code for "unknown".
        """
        headers = {TICKET_HEADER: ticket, "Content-Type": "application/json"}
        body = options.body.encode()
        for number in range(max(1, options.repeats)):
            client = clients[number % len(clients)]
            try:
                answer = client.call(options.method, options.path, body, headers)
            except CommandError as error:
                print(error, file=sys.stderr)
                continue
            if answer.headers.get("Error-Repeat") != "same-ticket":
                return self.report_outcome(answer)
        print("outcome: unknown; repeat with --ticket", file=sys.stderr)
        return ExitCode.UNKNOWN

    def report_outcome(self, answer: ProxyAnswer) -> ExitCode:
        """Print the reply and return the exit code for its outcome."""
        outcome = answer.headers.get(OUTCOME_HEADER, "")
        print(f"outcome: {outcome or answer.status}", file=sys.stderr)
        sys.stdout.write(answer.body.decode("utf-8", "replace"))
        if not outcome:
            return ExitCode.FAILED
        return EXIT_CODES.get(outcome, ExitCode.UNKNOWN)

    def withdraw_order(self, client: ProxyClient, ticket: str | None) -> ExitCode:
        """Withdraw an order and print its outcome."""
        if not ticket:
            raise CommandError("--withdraw needs --ticket", ExitCode.USAGE)
        answer = client.call("DELETE", f"/-/orders/{ticket}")
        return self.report_outcome(answer)
