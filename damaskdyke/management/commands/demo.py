"""Command that runs a small local fleet and demonstrates it."""

import json
import signal
from argparse import ArgumentParser, Namespace

from damaskdyke.core.management.base import BaseCommand, ExitCode
from damaskdyke.testbed.fleet import Fleet, FleetPlan
from damaskdyke.utils.signals import SignalQueue

ORDER = json.dumps({"order": "callout-1", "pump": "savusavu-7"}).encode()


class Command(BaseCommand):
    """Start a platform, six upstreams and three proxies, and send requests."""

    help = "Run a fleet of separate processes on this computer and send requests."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the option that keeps the fleet running."""
        parser.add_argument(
            "--keep",
            action="store_true",
            help="keep the fleet running until interrupted",
        )

    def handle(self, options: Namespace) -> ExitCode:
        """Start the fleet, then run the demonstration or wait for an interrupt."""
        print("starting: 1 platform, 6 upstreams, 3 proxies, as separate processes")
        with Fleet(FleetPlan()) as fleet:
            for proxy in fleet.proxies:
                print(f"proxy ready: http://{proxy.address} in {proxy.zone}")
            if options.keep:
                self.wait_for_interrupt(fleet)
                return ExitCode.OK
            return self.run_steps(fleet)

    def wait_for_interrupt(self, fleet: Fleet) -> None:
        """Print the addresses and wait for SIGINT or SIGTERM."""
        print(f"platform: http://{fleet.platform.address}")
        for item in fleet.upstreams:
            print(f"upstream: http://{item.address} ({item.plan.id})")
        print("try: damaskdyke lookup", fleet.proxies[0].address, "/crew-desk/pumps/7")
        print("stop with Ctrl-C", flush=True)
        SignalQueue(signal.SIGINT, signal.SIGTERM).wait()

    def run_steps(self, fleet: Fleet) -> ExitCode:
        """Send a lookup and an order, repeat the order, and stop a proxy.

        The order is repeated through another proxy, and again after the stop. It fails
        unless the replies are equal and the upstreams ran the order once.
        """
        first, second, third = fleet.proxies
        answer = first.call("GET", "/crew-desk/pumps/savusavu-7")
        print(f"lookup through {first.address}: {answer.status}")
        refused = first.call("POST", "/crew-desk/callouts", ORDER)
        ticket = refused.headers["Idempotency-Key"]
        print(f"order without a ticket: {refused.status}, ticket {ticket}")
        done = first.order(ticket, ORDER)
        print(f"order through {first.address}: {done.status}")
        again = second.order(ticket, ORDER)
        print(f"repeated through {second.address}: {again.status}")
        same = done.body == again.body
        print(f"same reply: {same}")
        first.process.terminate()
        code = first.process.wait()
        print(f"clean stop of {first.address}: exit code {code}")
        late = third.order(ticket, ORDER)
        print(f"repeated through {third.address} after the stop: {late.status}")
        runs = fleet.count_runs().get("callout-1", 0)
        print(f"runs of the order counted by the upstreams: {runs}")
        is_as_expected = same and late.body == done.body and runs == 1 and code == 0
        print("result as expected" if is_as_expected else "result NOT as expected")
        return ExitCode.OK if is_as_expected else ExitCode.FAILED
