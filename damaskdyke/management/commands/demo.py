"""Run a small fleet and show what it does."""

import json
import signal
import threading
from argparse import ArgumentParser, Namespace

from damaskdyke.core.management.base import BaseCommand, ExitCode
from damaskdyke.testbed.fleet import Fleet, FleetPlan

ORDER = json.dumps({"order": "callout-1", "pump": "savusavu-7"}).encode()


class Command(BaseCommand):
    """Start a platform, six upstreams and three proxies, and use them."""

    help = "Run a fleet of separate processes on this machine and show it at work."

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare whether the fleet keeps running."""
        parser.add_argument("--keep", action="store_true", help="until interrupted")

    def handle(self, options: Namespace) -> ExitCode:
        """Run the demonstration."""
        print("starting: 1 platform, 6 upstreams, 3 proxies, as separate processes")
        with Fleet(FleetPlan()) as fleet:
            for proxy in fleet.proxies:
                print(f"proxy ready: http://{proxy.address} in {proxy.zone}")
            if options.keep:
                self.wait_for_interrupt(fleet)
                return ExitCode.OK
            return self.run_steps(fleet)

    def wait_for_interrupt(self, fleet: Fleet) -> None:
        """Print the addresses and wait for an interrupt."""
        print(f"platform: http://{fleet.platform.address}")
        for item in fleet.upstreams:
            print(f"upstream: http://{item.address} ({item.plan.id})")
        print("try: damaskdyke lookup", fleet.proxies[0].address, "/crew-desk/pumps/7")
        print("stop with Ctrl-C", flush=True)
        done = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: done.set())
        done.wait()

    def run_steps(self, fleet: Fleet) -> ExitCode:
        """Do a lookup, an order, the order again, and a clean stop."""
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
        is_right = same and late.body == done.body and runs == 1 and code == 0
        print("as it should be" if is_right else "NOT as it should be")
        return ExitCode.OK if is_right else ExitCode.FAILED
