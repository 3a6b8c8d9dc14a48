import random
import signal
import threading
import time

from damaskdyke.testbed.relay import Flow
from tests.failures.cases import NETWORK_ERRORS, FleetCase

SEED = 7
CALLERS = 6
STEPS = 24
STEP_SECONDS = 0.5
REPEATS = 4


class Record:
    """What callers were told of one order."""

    def __init__(self, name):
        self.name = name
        self.outcomes = set()


class RandomFaultsTest(FleetCase):
    """Orders under random kills, freezes, cuts and upstream faults."""

    plan = {"proxies": 4, "has_relays": True}

    def test_no_order_runs_twice_and_not_run_is_true(self):
        records = []
        is_over = threading.Event()
        threads = [
            threading.Thread(target=self.place_orders, args=(number, records, is_over))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        self.break_things(random.Random(SEED))
        is_over.set()
        for thread in threads:
            thread.join()
        # Late work of frozen proxies and slow upstreams has ended by now.
        time.sleep(4)
        self.check_records(records)

    def check_records(self, records):
        runs = self.fleet.count_runs()
        self.assertGreater(len(records), CALLERS)
        for record in records:
            count = runs.get(record.name, 0)
            self.assertLessEqual(count, 1, record.name)
            if "not-run" in record.outcomes:
                self.assertEqual(count, 0, record.name)
                self.assertNotIn("answered", record.outcomes, record.name)
            if "answered" in record.outcomes:
                self.assertEqual(count, 1, record.name)

    def place_orders(self, number, records, is_over):
        dice = random.Random(SEED * 100 + number)
        while not is_over.is_set():
            try:
                ticket = dice.choice(self.fleet.proxies).take_ticket()
            except (*NETWORK_ERRORS, RuntimeError, KeyError):
                time.sleep(0.05)
                continue
            name, body = self.make_order()
            record = Record(name)
            records.append(record)
            self.place_one(dice, record, ticket, body)

    def place_one(self, dice, record, ticket, body):
        for _ in range(REPEATS):
            proxy = dice.choice(self.fleet.proxies)
            if dice.random() < 0.15:
                record.outcomes.add(self.withdraw(proxy, ticket))
            options = {"timeout": 4, "headers": {"Deadline-Ms": "800"}}
            record.outcomes.add(self.place(proxy, ticket, body, **options))
            time.sleep(0.05)

    def withdraw(self, proxy, ticket):
        try:
            answer = proxy.call("DELETE", f"/-/orders/{ticket}", timeout=4)
            return answer.read_json().get("outcome", "")
        except (*NETWORK_ERRORS, ValueError):
            return ""

    def break_things(self, dice):
        acts = (self.kill, self.freeze, self.cut, self.spoil, self.stop)
        for _ in range(STEPS):
            dice.choice(acts)(dice)

    def kill(self, dice):
        proxy = dice.choice(self.fleet.proxies)
        proxy.process.kill()
        time.sleep(STEP_SECONDS)
        proxy.process.start()

    def stop(self, dice):
        proxy = dice.choice(self.fleet.proxies)
        proxy.process.terminate()
        proxy.process.wait(60)
        proxy.process.start()

    def freeze(self, dice):
        proxy = dice.choice(self.fleet.proxies)
        proxy.process.send(signal.SIGSTOP)
        time.sleep(3 * STEP_SECONDS)
        proxy.process.send(signal.SIGCONT)

    def cut(self, dice):
        relay = dice.choice(self.fleet.proxies).relay
        direction = dice.choice((relay.forward, relay.backward))
        direction.flow = Flow.SWALLOW
        time.sleep(2 * STEP_SECONDS)
        direction.flow = Flow.PASS
        relay.cut_all()

    def spoil(self, dice):
        upstream = dice.choice(self.fleet.upstreams)
        faults = dice.choice(
            (
                {"silent_after_run": True},
                {"reset_after_run": True},
                {"refuse": True},
                {"short": True},
                {"extra_ms": 1_000},
            )
        )
        upstream.set_faults(**faults)
        time.sleep(2 * STEP_SECONDS)
        upstream.set_faults()
