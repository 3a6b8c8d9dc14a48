"""Tests of the order of workspaces, their fair shares and guarantees."""

import dataclasses
import logging
import math
import random
import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskdyke.catalogue.catalogue import build_catalogue
from damaskdyke.catalogue.types import (
    CallerLimits,
    Instance,
    InstanceState,
    Rules,
    Service,
)
from damaskdyke.core.clock import ManualClock
from damaskdyke.core.ids import RequestId
from damaskdyke.dispatch.outcomes import Outcome, SendKind
from damaskdyke.dispatch.selection import SelectionCriteria
from damaskdyke.dispatch.waiting import WaitQueue
from damaskdyke.fleet.reports import LoadReport
from damaskdyke.gateway.application import Application
from damaskdyke.gateway.callers import CallerWatch
from damaskdyke.gateway.dispatcher import Dispatcher, Waiter
from damaskdyke.gateway.instruments import Instruments
from damaskdyke.gateway.messages import AnswerKind, CallerRequest
from damaskdyke.platform.headers import HEADERS
from damaskdyke.testbed.replay.patterns import patterns
from damaskdyke.testbed.replay.player import Policy, Replay
from damaskdyke.upstreams.messages import Header
from damaskdyke.workspaces import fairness
from damaskdyke.workspaces.directory import Directory
from damaskdyke.workspaces.fairness import (
    ACTIVE_MS,
    GUARANTEE_RETENTION_MS,
    GUARANTEED_RANK,
    GUARANTEED_SHARE,
    RESCALE_MS,
    USE_HALF_LIFE_MS,
    FairShares,
    make_rank,
)
from damaskdyke.workspaces.types import Workspace
from tests.gateway.cases import (
    SETTINGS,
    GatewayCase,
    RecordingGossip,
    make_route,
    make_rules,
)

RANK = make_rank(1)
# The operators' bound on how much less often one workspace is served than all.
LEAST_SHARE = 0.25


class RankTest(unittest.TestCase):
    def test_priority_of_a_workspace_goes_before_that_of_the_route(self):
        self.assertLess(make_rank(2, 0), make_rank(0, 1))
        self.assertLess(make_rank(0, 1), make_rank(2, 1))

    def test_workspaces_without_a_priority_rank_by_their_routes_as_before(self):
        ranks = [make_rank(route) for route in (0, 1, 2)]
        self.assertEqual(ranks, sorted(ranks))
        # The route's number stands in for a priority that is not there.
        self.assertLess(make_rank(2, 0), make_rank(1))
        self.assertLess(make_rank(1), make_rank(0, 2))


class UrgencyTest(unittest.TestCase):
    """Urgent requests may take the reserved slots."""

    def build(self, priorities, *routes):
        directory = Directory(
            Workspace(f"w{n}", (), priority) for n, priority in enumerate(priorities)
        )
        rules = dataclasses.replace(make_rules(*routes), directory=directory)
        return build_catalogue(1, rules, {})

    def test_workspaces_of_all_but_the_last_priority_are_urgent(self):
        view = self.build((0, 1, 2), make_route(priority=1))
        urgent = [view.is_urgent("desk", 1, priority) for priority in (0, 1, 2)]
        self.assertEqual(urgent, [True, True, False])

    def test_routes_decide_for_workspaces_without_priorities(self):
        routes = [make_route(name=f"r{n}", priority=n) for n in (0, 2)]
        view = self.build((None, None), *routes)
        urgent = [view.is_urgent("desk", n) for n in (0, 2)]
        self.assertEqual(urgent, [True, False])

    def test_every_request_is_urgent_if_all_have_one_rank(self):
        view = self.build((1, 1), make_route(priority=2))
        self.assertTrue(view.is_urgent("desk", 2, 1))

    def test_public_route_is_not_affected_by_priorities_of_workspaces(self):
        view = self.build((5,), make_route(priority=2, is_public=True))
        self.assertTrue(view.is_urgent("desk", 2))


class FairSharesTest(unittest.TestCase):
    def setUp(self):
        self.shares = FairShares(random.Random(1))

    def send(self, workspace, count=1, now=0, priority=None):
        for _ in range(count):
            self.shares.record_send(workspace, priority, 100, now)

    def test_use_halves_in_each_half_life(self):
        self.send("w", 4)
        for halvings in (0, 1, 2):
            state = self.shares.get_state("w", halvings * USE_HALF_LIFE_MS)
            self.assertAlmostEqual(state.use_ms, 400 / 2**halvings)

    def test_fair_share_is_the_mean_of_the_active_workspaces(self):
        self.send("hot", 9)
        self.send("small", 1)
        # It only asked so far, and needs its part of the service too.
        self.shares.record_request("waiting", None, 0)
        state = self.shares.get_state("hot", 0)
        self.assertAlmostEqual(state.fair_share_ms, 1_000 / 3)
        self.assertEqual(state.active, 3)
        above = [self.shares.is_above_share(name) for name in ("hot", "small", "none")]
        self.assertEqual(above, [True, False, False])

    def test_single_workspace_is_not_above_its_share(self):
        self.send("w", 50)
        self.assertFalse(self.shares.is_above_share("w"))

    def test_urgent_workspaces_are_compared_with_each_other(self):
        # Otherwise they leave reserved slots to less urgent ones, as they are served
        # more often than those.
        for name in ("u1", "u2"):
            self.send(name, 10, priority=0)
        self.send("w", 1, priority=1)
        self.assertFalse(self.shares.is_above_share("u1"))

    def test_new_priority_of_a_workspace_moves_its_use(self):
        self.send("a", 9, priority=0)
        self.send("b", 1, priority=0)
        self.send("a", 1, priority=1)
        self.assertEqual(self.shares.get_state("a", 0).active, 1)
        self.assertAlmostEqual(self.shares.get_state("b", 0).fair_share_ms, 100)

    def test_only_active_workspaces_are_kept(self):
        # Memory and the number of active workspaces grew with every name ever seen.
        for number in range(1_000):
            self.send(f"w{number}", now=number)
        later = 999 + ACTIVE_MS
        self.send("last", now=later)
        self.assertEqual(len(self.shares), 2)
        self.assertEqual(self.shares.get_state("last", later).active, 2)

    def test_guarantees_of_silent_workspaces_are_dropped(self):
        for number in range(100):
            self.shares.record_result(f"w{number}", False, False, 0)
        self.shares.record_result("last", False, False, GUARANTEE_RETENTION_MS + 1)
        self.assertEqual(list(self.shares._guarantees), ["last"])

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3 * RESCALE_MS // 10),
                st.sampled_from("abc"),
                st.sampled_from([None, 0, 1]),
                st.integers(1, 500),
            ),
            max_size=60,
        )
    )
    def test_use_is_the_decayed_sum_of_the_sends(self, steps):
        # The weights are rescaled meanwhile, workspaces expire and change priority.
        shares, now, sends, active_at = FairShares(random.Random(1)), 0, {}, {}
        for gap, name, priority, work_ms in steps:
            now += gap
            if active_at.get(name, now) < now - ACTIVE_MS:
                sends.pop(name, None)
            shares.record_send(name, priority, work_ms, now)
            sends.setdefault(name, []).append((now, work_ms))
            active_at[name] = now
        for name, items in sends.items():
            expected = sum(
                w * 0.5 ** ((now - at) / USE_HALF_LIFE_MS) for at, w in items
            )
            if active_at[name] < now - ACTIVE_MS:
                expected = 0.0
            self.assertAlmostEqual(shares.get_state(name, now).use_ms, expected, 3)

    def test_retry_after_is_the_time_until_the_use_is_fair_up_to_a_limit(self):
        self.send("high", 11)
        self.send("low", 10)
        # The fair share is 10.5 sends.
        decay_ms = int(USE_HALF_LIFE_MS * math.log2(11 / 10.5))
        found = [self.shares.compute_retry_after_ms("high", 40, 0) for _ in range(50)]
        self.assertGreaterEqual(min(found), decay_ms)
        self.assertLessEqual(max(found), decay_ms * (1 + fairness.RETRY_SPREAD) + 1)
        found = [self.shares.compute_retry_after_ms("low", 40, 0) for _ in range(50)]
        self.assertGreaterEqual(min(found), 40)
        self.assertLessEqual(max(found), 40 * (1 + fairness.RETRY_SPREAD))
        self.send("high", 100)
        later_ms = self.shares.compute_retry_after_ms("high", 40, 0)
        self.assertGreaterEqual(later_ms, fairness.MAX_RETRY_AFTER_MS)

    def test_callers_refused_together_are_told_different_times(self):
        found = {self.shares.compute_retry_after_ms("w", 400, 0) for _ in range(50)}
        self.assertGreater(len(found), 25)
        # Later, callers would not retry at all: they have a third of 2 s or so.
        self.assertLessEqual(max(found), 700)


class GuaranteeTest(unittest.TestCase):
    """A workspace that others' priority keeps out is served now and then."""

    def play(self, shares, name, ordinary_share, source, now, step_ms, count):
        """Return the guaranteed and ordinary replies to requests of a workspace."""
        guaranteed = ordinary = 0
        for number in range(count):
            at = now + number * step_ms
            is_guaranteed = shares.claim_turn(name, at)
            is_ordinary = not is_guaranteed and source.random() < ordinary_share
            guaranteed += is_guaranteed
            ordinary += is_ordinary
            # Others are served, so that the share served of all stays at about 1.
            for _ in range(20):
                shares.record_result("others", True, False, at)
            is_served = is_guaranteed or is_ordinary
            shares.record_result(name, is_served, is_guaranteed, at)
        return guaranteed, ordinary

    def test_workspace_that_gets_nothing_is_served_at_its_guaranteed_share(self):
        shares = FairShares(random.Random(1))
        served, _ = self.play(shares, "w", 0.0, random.Random(2), 0, 50, 400)
        self.assertGreater(served / 400, LEAST_SHARE)
        self.assertLess(served / 400, GUARANTEED_SHARE + 0.02)

    def test_many_proxies_with_few_requests_each_keep_the_guarantee_together(self):
        # Each has only 8 requests of the workspace in a minute.
        served = 0
        for seed in range(200):
            shares = FairShares(random.Random(seed))
            served += self.play(shares, "w", 0.0, random.Random(0), 0, 7_000, 8)[0]
        self.assertGreater(served / (200 * 8), LEAST_SHARE)

    def test_workspace_that_is_served_often_needs_no_guarantee(self):
        shares = FairShares(random.Random(1))
        source = random.Random(3)
        guaranteed, ordinary = self.play(shares, "w", 0.8, source, 0, 50, 400)
        self.assertGreater(ordinary, 250)
        self.assertLess(guaranteed, 40)

    def test_guaranteed_request_that_found_no_slot_is_owed_again(self):
        shares = FairShares(random.Random(1))
        while not shares.claim_turn("w", 0):
            shares.record_result("w", False, False, 0)
            shares.record_result("others", True, False, 0)
        shares.record_result("w", False, True, 0)
        self.assertTrue(shares.claim_turn("w", 0))

    def test_long_overload_saves_up_no_burst(self):
        shares = FairShares(random.Random(1))
        for _ in range(500):
            shares.record_result("others", True, False, 0)
            shares.record_result("w", False, False, 0)
        claims = [shares.claim_turn("w", 0) for _ in range(10)]
        self.assertEqual(sum(claims), fairness.MAX_GUARANTEES)


class ReturnedTurnTest(unittest.TestCase):
    def test_turn_that_was_not_used_is_owed_again(self):
        # A request over its quota used up what its workspace was owed.
        shares = FairShares(random.Random(1))
        shares.record_result("w", True, False, 0)
        shares.record_result("w", False, False, 0)
        while not shares.claim_turn("w", 0):
            shares.record_result("w", False, False, 0)
        shares.return_turn("w")
        self.assertTrue(shares.claim_turn("w", 0))

    def test_unknown_workspace_is_owed_nothing(self):
        shares = FairShares(random.Random(1))
        shares.return_turn("w")
        self.assertFalse(shares.claim_turn("w", 0))


class WaitOrderTest(unittest.TestCase):
    """The queue serves by rank, then by the least use, then by arrival."""

    def setUp(self):
        self.uses = {"hot": 900.0, "small": 100.0}
        self.queue = WaitQueue(lambda workspace: self.uses.get(workspace, 0.0))

    def drain(self):
        order = []
        while self.queue:
            order.append(self.queue.peek())
            self.queue.remove(order[-1])
        return order

    def test_small_workspace_goes_first_and_urgent_ones_before_all(self):
        self.queue.put(RANK, "hot1", "hot")
        self.queue.put(RANK, "hot2", "hot")
        self.queue.put(RANK, "small1", "small")
        self.queue.put(make_rank(1, 0), "urgent", "urgent-hot")
        self.queue.put(GUARANTEED_RANK, "owed", "hot")
        self.uses["urgent-hot"] = 5_000.0
        order = ["owed", "urgent", "small1", "hot1", "hot2"]
        self.assertEqual(self.drain(), order)

    def test_order_follows_the_use_as_it_changes(self):
        self.queue.put(RANK, "hot1", "hot")
        self.queue.put(RANK, "small1", "small")
        self.assertEqual(self.queue.peek(), "small1")
        self.uses["small"] = 1_000.0
        self.queue.reorder()
        self.assertEqual(self.queue.peek(), "hot1")

    def test_equal_uses_are_served_by_arrival(self):
        for number, name in enumerate("abcabc"):
            self.queue.put(RANK, number, name)
        self.assertEqual(self.queue.peek(), 0)
        self.queue.remove(0)
        self.assertEqual(self.queue.peek(), 1)

    def test_small_workspace_waits_for_none_of_a_hot_one(self):
        # Counted by arrival, its request was refused at once as not served in time.
        for number in range(20):
            self.queue.put(RANK, number, "hot")
        self.assertEqual(self.queue.count_ahead(RANK, "small", 100.0), 0)
        self.assertEqual(self.queue.count_ahead(RANK, "hot", 100.0), 20)

    def test_workspaces_are_served_in_turn_where_their_uses_are_equal(self):
        for number in range(10):
            self.queue.put(RANK, number, "other")
        # Of the ten it is behind one at most, as each adds to the other's use.
        self.assertEqual(self.queue.count_ahead(RANK, "new", 100.0), 1)
        self.uses["other"] = -250.0
        self.assertEqual(self.queue.count_ahead(RANK, "new", 100.0), 3)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.sampled_from([None, "a", "b"])), max_size=30
        ),
        st.dictionaries(st.sampled_from(["a", "b"]), st.floats(0, 1_000)),
        st.randoms(use_true_random=False),
    )
    def test_order_is_that_of_the_sorted_requests(self, requests, uses, source):
        queue = WaitQueue(lambda workspace: uses.get(workspace, 0.0))
        waiting = []
        for number, (priority, workspace) in enumerate(requests):
            rank = make_rank(priority)
            key = (rank, uses.get(workspace, 0.0), number)
            ahead = sum(1 for other in waiting if other[:2] <= key[:2])
            self.assertEqual(queue.count_ahead(rank, workspace), ahead)
            queue.put(rank, number, workspace)
            waiting.append(key)
            if source.random() < 0.2:
                gone = source.choice(waiting)
                waiting.remove(gone)
                queue.remove(gone[2])
            first = min(waiting)[2] if waiting else None
            self.assertEqual(queue.peek(), first)


class DispatcherCase(unittest.TestCase):
    """A dispatcher with 2 upstreams of 4 slots on a manual clock, without peers."""

    priorities: dict = {}

    def setUp(self):
        self.clock = ManualClock(0)
        self.gossip = RecordingGossip()
        instances = {
            name: Instance(
                name, 1, "desk", "10.0.0.1:1", "a", 4, InstanceState.READY, 0
            )
            for name in ("u1", "u2")
        }
        directory = Directory(
            Workspace(name, (), priority) for name, priority in self.priorities.items()
        )
        services = {"desk": Service("desk", "/", 100)}
        rules = Rules(1, (), services, CallerLimits(), directory)
        view = build_catalogue(1, rules, instances)
        self.dispatcher = Dispatcher(SETTINGS, self.gossip, lambda: view, self.clock)
        self.dispatcher.seed(1)

    def begin(self, workspace, rank=RANK, is_urgent=True):
        criteria = SelectionCriteria(False, is_urgent, workspace=workspace)
        return self.dispatcher.begin_send("desk", criteria, rank)

    def queue(self, workspace, rank=RANK, is_urgent=True):
        waiter = Waiter(rank, workspace, is_urgent)
        self.dispatcher.enqueue("desk", waiter)
        return waiter

    def begin_queued(self, waiter):
        criteria = SelectionCriteria(
            False, waiter.is_urgent, workspace=waiter.workspace
        )
        return self.dispatcher.begin_queued_send("desk", waiter, criteria)

    def hear(self, workspace, count, sent=SendKind.FIRST):
        """Apply reports of a peer's sends that have ended meanwhile."""
        report = LoadReport("u1", 1, 0, Outcome.PENDING, 0, sent, workspace=workspace)
        self.dispatcher.apply_reports("10.0.0.9", True, [report] * count)


class RestrictionTest(DispatcherCase):
    def test_hot_workspace_leaves_the_last_slots_and_queues_nowhere(self):
        self.hear("hot", 20)
        self.hear("small", 1)
        begun = 0
        while self.begin("hot") is not None:
            begun += 1
            self.clock.advance(100)
        # All 8 slots are in use; a small workspace may still queue at an upstream.
        self.assertLessEqual(begun, 8)
        self.assertIsNotNone(self.begin("small"))

    def test_hot_workspace_may_use_reserved_slots_while_others_are_free(self):
        self.hear("hot", 20)
        self.hear("small", 1)
        begun = [self.begin("hot") for _ in range(7)]
        self.assertNotIn(None, begun)

    def test_workspace_that_is_owed_a_request_is_not_restricted(self):
        self.hear("hot", 20)
        self.hear("small", 1)
        while self.begin("hot") is not None:
            self.clock.advance(100)
        self.assertIsNotNone(self.begin("hot", GUARANTEED_RANK))

    def test_extra_sends_are_not_charged(self):
        self.hear("w", 5)
        self.hear(None, 5, SendKind.EXTRA)
        criteria = SelectionCriteria(False, True, is_extra=True, workspace="w")
        self.dispatcher.begin_send("desk", criteria)
        state = self.dispatcher.get_share_state("desk", "w")
        mean_ms = self.dispatcher.get_mean_duration_ms("desk")
        self.assertAlmostEqual(state.use_ms, 5 * mean_ms)

    def test_sends_of_other_zones_are_not_counted(self):
        report = LoadReport(
            "u1", 1, 0, Outcome.PENDING, 0, SendKind.FIRST, workspace="w"
        )
        self.dispatcher.apply_reports("10.0.0.9", False, [report])
        self.assertEqual(self.dispatcher.get_share_state("desk", "w").use_ms, 0)


class TurnTest(DispatcherCase):
    priorities = {"urgent": 0, "urgent2": 0, "small": 1, "late": 2}

    def fill(self):
        """Use all slots, for a workspace of no concern here."""
        choices = []
        while (choice := self.begin("filler")) is not None:
            choices.append(choice)
        return choices

    def test_urgent_workspace_goes_before_less_urgent_ones(self):
        choices = self.fill()
        small = self.queue("small", make_rank(1, 1))
        urgent = self.queue("urgent", make_rank(1, 0))
        self.dispatcher.end_send(choices[0].instance, Outcome.GOOD, 100)
        self.assertTrue(urgent.event.is_set())
        self.assertIsNone(self.begin_queued(small))
        self.assertIsNotNone(self.begin_queued(urgent))

    def test_small_workspace_passes_an_urgent_one_that_may_not_take_a_slot(self):
        # Otherwise the reserved slots stay empty while the first one waits.
        self.hear("urgent", 40)
        self.hear("urgent2", 1)
        choices = self.fill()
        hot = self.queue("urgent", make_rank(1, 0))
        small = self.queue("small", make_rank(1, 1))
        late = self.queue("late", make_rank(1, 2), is_urgent=False)
        self.clock.advance(100)
        # Each upstream ends what it queued, and one request: one slot is free.
        by_name = {}
        for choice in choices:
            by_name.setdefault(choice.instance.id, []).append(choice.instance)
        for name, ended in (("u1", 3), ("u2", 2)):
            for instance in by_name[name][:ended]:
                self.dispatcher.end_send(instance, Outcome.GOOD, 100)
        self.assertIsNone(self.begin_queued(hot))
        self.assertIsNone(self.begin_queued(late))
        self.assertTrue(small.event.is_set())
        self.assertIsNotNone(self.begin_queued(small))

    def test_new_request_does_not_wait_behind_those_that_may_not_take_a_slot(self):
        self.hear("urgent", 40)
        self.hear("urgent2", 1)
        self.fill()
        self.queue("urgent", make_rank(1, 0))
        rank = make_rank(1, 1)
        ahead = [
            self.dispatcher.has_queued_ahead("desk", rank, "small", is_urgent)
            for is_urgent in (True, False)
        ]
        self.assertEqual(ahead, [False, True])
        self.queue("urgent2", make_rank(1, 0))
        self.assertTrue(self.dispatcher.has_queued_ahead("desk", rank, "small", True))

    def test_turn_changes_with_what_peers_send(self):
        self.hear("b", 1)
        self.fill()
        waiters = {name: self.queue(name) for name in ("b", "a")}
        self.assertIsNone(self.begin_queued(waiters["b"]))
        self.hear("a", 2)
        for choice in self.fill():
            self.dispatcher.end_send(choice.instance, Outcome.GOOD, 100)
        report = LoadReport("u1", 1, 0, Outcome.GOOD, 100)
        self.dispatcher.apply_reports("10.0.0.9", True, [report])
        self.assertTrue(waiters["b"].event.is_set())
        self.assertIsNone(self.begin_queued(waiters["a"]))

    def test_plan_counts_who_is_ahead_in_the_new_order(self):
        self.hear("urgent", 40)
        for _ in range(30):
            self.queue("urgent", make_rank(1))
        plans = [
            self.dispatcher.plan_wait("desk", make_rank(1), 1_500, name, False)
            for name in ("small", "urgent")
        ]
        self.assertTrue(plans[0].may_wait)
        self.assertLess(plans[0].retry_after_ms, plans[1].retry_after_ms)


class ReplayTest(unittest.TestCase):
    """Replays on a manual clock; proxies hear each other's reports after 100 ms."""

    def setUp(self):
        logger = logging.getLogger("damaskdyke.dispatch")
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.ERROR)

    def play(self, name, policy=Policy.PRODUCT, seed=1):
        """Return the share served of all, and of each workspace."""
        scores = Replay(patterns.get(name), policy, seed).run()
        served = sum(score.in_goal + score.late for score in scores.values())
        asked = sum(score.asked for score in scores.values())
        return served / asked, {key: item.served_share for key, item in scores.items()}

    def check_hot(self, name):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                of_all, shares = self.play(name, seed=seed)
                hot = shares.pop("hot")
                small = shares.values()
                self.assertGreater(sum(small) / len(small), 0.97)
                self.assertGreater(min(small), 0.85)
                self.assertGreater(hot, LEAST_SHARE * of_all)
                _, before = self.play(name, Policy.BY_ARRIVAL, seed)
                del before["hot"]
                self.assertGreater(min(small), max(before.values()))

    def test_small_workspaces_are_served_beside_a_hot_one(self):
        self.check_hot("hot-workspace-alone")

    def test_small_workspaces_are_served_beside_a_hot_one_over_proxies(self):
        self.check_hot("hot-workspace")

    def test_urgent_workspaces_are_served_first_and_none_starves(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                of_all, shares = self.play("workspace-priorities", seed=seed)
                groups = {}
                for name, share in shares.items():
                    groups.setdefault(name.split("-")[0], []).append(share)
                means = [sum(group) / len(group) for _, group in sorted(groups.items())]
                self.assertEqual(means, sorted(means, reverse=True))
                self.assertGreater(means[0], 1.5 * means[1])
                self.assertGreater(min(shares.values()), LEAST_SHARE * of_all)


class NoWorkspacesTest(GatewayCase):
    """Without workspaces nothing is counted, and the order is that of the routes."""

    def test_requests_without_workspaces_leave_no_state(self):
        self.lookup()
        self.order()
        state = self.dispatcher._scheduler.get_service("desk")
        self.assertEqual(len(state.shares), 0)
        self.assertEqual(state.shares._answered, 0)
        self.assertIsNone(state.scarcity_known_at)

    def test_order_is_by_priority_and_arrival(self):
        queue = WaitQueue(FairShares(random.Random(1)).get_weighted_use)
        for number, priority in enumerate((2, 0, 2, 1, 0)):
            queue.put(make_rank(priority), number)
        order = []
        while queue:
            order.append(queue.peek())
            queue.remove(order[-1])
        self.assertEqual(order, [1, 4, 3, 0, 2])


class ForwardedGuaranteeTest(GatewayCase):
    """Three of the four slots are in use, and the last one is for urgent requests."""

    def setUp(self):
        super().setUp()
        criteria = SelectionCriteria(False, True, workspace="other")
        for _ in range(3):
            self.dispatcher.begin_send("desk", criteria)
            self.dispatcher.record_result("desk", RANK, "other", True)

    def ask(self, deadline_ms):
        forwarder = self.make_forwarder(
            make_route(), deadline_ms=deadline_ms, workspace=Workspace("w", ())
        )
        return forwarder.run()

    def test_refused_workspace_gets_a_reserved_slot_in_the_end(self):
        kinds = [self.ask(deadline_ms=150).kind for _ in range(20)]
        self.assertEqual(kinds[0], AnswerKind.REFUSED)
        self.assertIn(AnswerKind.REPLY, kinds)

    def test_request_waits_as_one_of_its_workspace(self):
        with patch.object(
            self.dispatcher, "enqueue", wraps=self.dispatcher.enqueue
        ) as enqueue:
            self.ask(deadline_ms=1_000)
        waiter = enqueue.call_args.args[1]
        self.assertEqual(waiter.workspace, "w")
        self.assertEqual((waiter.rank, waiter.is_urgent), (make_rank(2), False))


class RefusalLogTest(GatewayCase):
    """Operators must see from the log why a workspace was refused."""

    def setUp(self):
        super().setUp()
        services = {"desk": Service("desk", "/healthz", 100)}
        directory = Directory([Workspace("w1", ("k1",)), Workspace("w2", ("k2",))])
        rules = Rules(1, (make_route(),), services, CallerLimits(), directory)
        instances = {item.name: item.describe() for item in self.instances}
        self.view = build_catalogue(1, rules, instances)
        self.application = Application(
            self.dispatcher,
            self.pool,
            HEADERS,
            Instruments(),
            self.clock,
            lambda: self.view,
            lambda: True,
            lambda: 1,
        )

    def test_refusal_names_the_workspace_its_use_and_the_fair_share(self):
        criteria = SelectionCriteria(False, True, workspace="w2")
        while self.dispatcher.begin_send("desk", criteria) is not None:
            pass
        headers = [Header("Host", "h.example"), Header(HEADERS.request_id, "q")]
        request = CallerRequest(
            RequestId("q"),
            "GET",
            "/p/x",
            "h.example",
            headers,
            b"",
            400,
            self.clock.now(),
            "k1",
        )
        for _ in range(4):
            self.dispatcher.enqueue("desk", Waiter(make_rank(0, 0), "w2", True))
        with self.assertLogs("damaskdyke.gateway", logging.WARNING) as caught:
            answer = self.application.answer(request, CallerWatch(self.caller))
        self.assertEqual(answer.status, 503)
        self.assertGreater(answer.retry_after_ms, 0)
        fields = caught.records[-1].fields
        self.assertEqual(fields["workspace"], "w1")
        self.assertIn(fields["reason"], ("no-room", "waited"))
        self.assertEqual(fields["use_ms"], 0)
        self.assertGreater(fields["fair_share_ms"], 0)


if __name__ == "__main__":
    unittest.main()
