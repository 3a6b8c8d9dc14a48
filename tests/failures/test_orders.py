import signal
import threading

from damaskdyke.testbed.relay import Flow
from tests.failures.cases import FleetCase

SLOW_PATH = "/crew-desk/callouts?ms=800"


class RepeatedOrderTest(FleetCase):
    def test_many_callers_through_every_proxy_run_it_once(self):
        name, body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        answers = []

        def repeat(proxy):
            answers.append(proxy.order(ticket, body, "/crew-desk/callouts?ms=100"))

        threads = [
            threading.Thread(target=repeat, args=(self.fleet.proxies[number % 3],))
            for number in range(24)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.count_runs(name), 1)

    def test_same_ticket_with_another_body_is_refused(self):
        name, body = self.make_order()
        other, other_body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        self.fleet.proxies[0].order(ticket, body)
        answer = self.fleet.proxies[1].order(ticket, other_body)
        self.assertEqual(answer.headers["Error-Code"], "ticket-mismatch")
        self.assertEqual(self.count_runs(other), 0)

    def test_withdrawn_order_never_runs(self):
        name, body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        answer = self.fleet.proxies[1].call("DELETE", f"/-/orders/{ticket}")
        self.assertEqual(answer.read_json()["outcome"], "not-run")
        self.assertEqual(self.place(self.fleet.proxies[2], ticket, body), "not-run")
        self.assertEqual(self.count_runs(name), 0)

    def test_forged_ticket_runs_nothing(self):
        name, body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        last = "A" if ticket[-5] != "A" else "B"
        forged = ticket[:-5] + last + ticket[-4:]
        for proxy in self.fleet.proxies:
            self.assertIn(self.place(proxy, forged, body), ("invalid", ""))
        self.assertEqual(self.count_runs(name), 0)

    def test_ticket_of_an_unknown_home_is_never_called_not_run(self):
        from damaskdyke.orders.tickets import make_ticket

        name, body = self.make_order()
        ticket = make_ticket("127.0.0.99:9", 5, 1, b"s" * 32).text
        self.assertEqual(self.place(self.fleet.proxies[0], ticket, body), "unknown")
        self.assertEqual(self.count_runs(name), 0)


class UpstreamFaultTest(FleetCase):
    def place_with(self, **faults):
        name, body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        self.set_all_faults(**faults)
        outcome = self.place(self.fleet.proxies[1], ticket, body)
        self.set_all_faults()
        again = self.place(self.fleet.proxies[2], ticket, body)
        return outcome, again, self.count_runs(name)

    def test_silence_after_the_run_is_unknown_and_never_run_again(self):
        outcomes = self.place_with(silent_after_run=True)
        self.assertEqual(outcomes, ("unknown", "unknown", 1))

    def test_reset_after_the_run_is_unknown_and_never_run_again(self):
        outcomes = self.place_with(reset_after_run=True)
        self.assertEqual(outcomes, ("unknown", "unknown", 1))

    def test_short_reply_is_unknown_and_never_run_again(self):
        self.assertEqual(self.place_with(short=True), ("unknown", "unknown", 1))

    def test_reply_for_another_request_is_unknown(self):
        self.assertEqual(self.place_with(wrong=True), ("unknown", "unknown", 1))

    def test_silence_before_the_run_is_unknown(self):
        self.assertEqual(self.place_with(silent=True), ("unknown", "unknown", 0))

    def test_refusal_by_every_upstream_is_not_run(self):
        self.assertEqual(self.place_with(refuse=True), ("not-run", "not-run", 0))

    def test_refusal_by_one_upstream_runs_at_another(self):
        name, body = self.make_order()
        self.fleet.upstreams[0].set_faults(refuse=True)
        self.fleet.upstreams[1].set_faults(refuse=True)
        ticket = self.fleet.proxies[0].take_ticket()
        outcome = self.place(self.fleet.proxies[0], ticket, body)
        self.assertEqual((outcome, self.count_runs(name)), ("answered", 1))

    def test_caller_that_gave_up_finds_the_reply_by_its_ticket(self):
        name, body = self.make_order()
        ticket = self.fleet.proxies[0].take_ticket()
        options = {"path": SLOW_PATH, "timeout": 0.2}
        gone = self.place(self.fleet.proxies[1], ticket, body, **options)
        later = self.place(self.fleet.proxies[2], ticket, body, path=SLOW_PATH)
        self.assertEqual((gone, later, self.count_runs(name)), ("", "answered", 1))


class HomeLossTest(FleetCase):
    plan = {"proxies": 4}

    def setUp(self):
        self.home = self.fleet.proxies[0]
        self.others = self.fleet.proxies[1:]
        self.addCleanup(self.restore)

    def restore(self):
        self.home.process.send(signal.SIGCONT)
        if not self.home.process.is_alive():
            self.home.process.start()
        self.fleet.wait_ready()

    def place_everywhere(self, ticket, body, path):
        return [self.place(proxy, ticket, body, path=path) for proxy in self.others]

    def test_home_killed_before_the_dispatch(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        self.home.process.kill()
        outcomes = self.place_everywhere(ticket, body, "/crew-desk/callouts")
        self.assertLessEqual(set(outcomes), {"unknown", "pending"})
        self.assertEqual(self.count_runs(name), 0)

    def test_home_killed_during_the_dispatch(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        thread, results = self.start_thread(
            lambda: self.place(self.others[0], ticket, body, path=SLOW_PATH)
        )
        self.wait_for(
            lambda: any(item.read_stats()["running"] for item in self.fleet.upstreams),
            "the dispatch",
        )
        self.home.process.kill()
        thread.join()
        outcomes = results + self.place_everywhere(ticket, body, SLOW_PATH)
        self.assertLessEqual(set(outcomes), {"unknown", "pending"})
        self.wait_for(lambda: self.count_runs(name) == 1, "the late run")
        self.assertEqual(self.count_runs(name), 1)

    def test_replacement_with_empty_memory_is_not_the_home(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        self.home.order(ticket, body)
        self.home.restart()
        self.fleet.wait_ready()
        outcomes = self.place_everywhere(ticket, body, "/crew-desk/callouts")
        outcomes.append(self.place(self.home, ticket, body))
        self.assertEqual(set(outcomes), {"unknown"})
        self.assertEqual(self.count_runs(name), 1)

    def test_home_frozen_past_the_deadline_and_woken(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        self.home.process.send(signal.SIGSTOP)
        options = {"headers": {"Deadline-Ms": "300"}}
        outcome = self.place(self.others[0], ticket, body, **options)
        self.assertIn(outcome, ("pending", "unknown"))
        self.home.process.send(signal.SIGCONT)
        self.fleet.wait_ready()
        # The late submission finds its deadline passed, or runs once.
        final = self.place(self.others[1], ticket, body)
        self.assertIn(final, ("answered", "not-run"))
        expected = 1 if final == "answered" else 0
        self.assertEqual(self.count_runs(name), expected)


class PlannedStopTest(FleetCase):
    def test_ticket_lives_on_at_the_successor(self):
        home, other, third = self.fleet.proxies
        done_name, done_body = self.make_order()
        done = home.take_ticket()
        first = home.order(done, done_body)
        open_name, open_body = self.make_order()
        opened = home.take_ticket()
        home.process.terminate()
        self.assertEqual(home.process.wait(), 0)
        for proxy in (other, third):
            again = proxy.order(done, done_body)
            self.assertEqual((again.status, again.body), (first.status, first.body))
        self.assertEqual(self.place(third, opened, open_body), "answered")
        self.assertEqual(self.place(other, opened, open_body), "answered")
        self.assertEqual(self.count_runs(done_name), 1)
        self.assertEqual(self.count_runs(open_name), 1)
        self.check_second_stop(other, third, done, done_body, first)

    def check_second_stop(self, other, third, ticket, body, first):
        other.process.terminate()
        self.assertEqual(other.process.wait(), 0)
        again = third.order(ticket, body)
        self.assertEqual((again.status, again.body), (first.status, first.body))


class CutTest(FleetCase):
    plan = {"has_relays": True}

    def setUp(self):
        self.home, self.entry, self.third = self.fleet.proxies
        self.addCleanup(self.heal)

    def heal(self):
        for proxy in self.fleet.proxies:
            proxy.relay.forward.flow = Flow.PASS
            proxy.relay.backward.flow = Flow.PASS
            proxy.relay.cut_all()
        self.fleet.wait_ready()

    def test_entry_that_does_not_reach_the_home(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        self.home.relay.forward.flow = Flow.SWALLOW
        outcome = self.place(self.entry, ticket, body)
        self.assertIn(outcome, ("pending", "unknown"))
        self.assertEqual(self.count_runs(name), 0)
        self.assertEqual(self.place(self.home, ticket, body), "answered")
        self.assertEqual(self.count_runs(name), 1)

    def test_entry_that_does_not_hear_the_home(self):
        name, body = self.make_order()
        ticket = self.home.take_ticket()
        self.home.relay.backward.flow = Flow.SWALLOW
        outcome = self.place(self.entry, ticket, body)
        self.assertIn(outcome, ("pending", "unknown"))
        self.heal()
        self.assertEqual(self.place(self.third, ticket, body), "answered")
        self.assertEqual(self.count_runs(name), 1)

    def test_hand_over_whose_answer_is_lost_never_runs_twice(self):
        name, body = self.make_order()
        home = self.fleet.add_proxy(3)
        self.fleet.wait_ready()
        ticket = home.take_ticket()
        for proxy in self.fleet.proxies[:3]:
            proxy.relay.backward.flow = Flow.SWALLOW
        home.process.terminate()
        self.assertEqual(home.process.wait(30), 0)
        self.fleet.proxies.remove(home)
        home.relay.__exit__()
        self.heal()
        outcomes = {self.place(item, ticket, body) for item in self.fleet.proxies}
        self.assertLessEqual(outcomes, {"answered", "unknown", "pending"})
        self.assertLessEqual(self.count_runs(name), 1)
