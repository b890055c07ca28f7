"""Tests of an instance's part in sharing a quota."""

import collections

import pytest

from sesamecross.ops.fleet import quota_share_agent as agents
from sesamecross.ops.fleet import quota_shares as qs

HOMES = ("front-1", "front-2", "front-3")


class Links:
    """Agents whose messages arrive at once, unless their receiver is cut."""

    def __init__(self):
        self.agents = {}
        self.cut: set[str] = set()
        for number in range(1, 5):
            agent = agents.ShareAgent(f"front-{number}", number, 8.0)
            agent.granter = "front-3"
            self.agents[agent.name] = agent
        for number, name in enumerate(HOMES):
            self.agents[name].homes = HOMES[number:] + HOMES[:number]
        # It is in the zone of the first home.
        self.agents["front-4"].homes = HOMES
        granting = qs.Granter(qs.Record(1, 0), 8.0, 0.0, 0.0)
        granting.begin_write(qs.PARTS, 0.0)
        granting.end_write(0.0)
        self.agents["front-3"].granting = granting
        for name in HOMES:
            self.send(name, self.agents[name].tick(0.0), 0.0)

    def send(self, sender, outgoing, now_s):
        queue = collections.deque((sender, *one) for one in outgoing)
        while queue:
            sender, to, message = queue.popleft()
            if to in self.cut or sender in self.cut:
                continue
            replies = self.agents[to].on_message(sender, message, now_s)
            queue.extend((to, *one) for one in replies)

    def ask(self, name, parts, now_s):
        """Returns the decisions that follow until loans have ended."""
        agent = self.agents[name]
        _, outgoing = agent.ask(parts, now_s)
        self.send(name, outgoing, now_s)
        for later_s in (0.1, 0.2, 0.3):
            for one in self.agents.values():
                outgoing = one.tick(now_s + later_s)
                self.send(one.name, outgoing, now_s + later_s)
        decisions, agent.decisions = agent.decisions, []
        return [one.after_s for one in decisions]


@pytest.fixture(name="links")
def fixture_links():
    return Links()


@pytest.mark.parametrize("name", ["front-1", "front-4"])
def test_a_zones_home_lends(links, name):
    assert links.ask(name, 50_000, 0.1) == [None]
    assert links.agents["front-1"].holder.used(0.1) == 50_000


def test_a_home_asks_the_granter_for_more(links):
    assert links.ask("front-4", 350_000, 0.1) == [None]
    assert links.agents["front-1"].holder.used(0.5) == 350_000


def test_homes_help_each_other(links):
    """Guards against refusals while other zones don't use their parts."""
    links.agents["front-1"].granter = "front-9"
    links.agents["front-9"] = links.agents["front-4"]
    assert links.ask("front-1", 400_000, 0.1) == [None]
    used = [links.agents[name].holder.used(0.5) for name in HOMES]
    assert sum(used) == 400_000


@pytest.mark.parametrize("cut", ["front-1", "front-3"])
def test_a_silent_instance_ends_no_wait_late(links, cut):
    """Guards against requests that wait for a home or granter that is gone."""
    links.cut.add(cut)
    decisions = links.ask("front-4", 900_000, 0.1)
    assert len(decisions) == 1
    assert decisions[0] >= agents.MIN_RETRY_AFTER_S


def test_a_cap_is_raised_before_more_is_granted(links):
    granter = links.agents["front-3"]
    granter.granting = qs.Granter(qs.Record(2, 0), 8.0, 0.0, 0.0)
    assert granter.wanted_cap(0.0) >= agents.REST_PARTS


def test_a_granter_serves_without_the_store(links):
    """Guards against shares that lapse while the store is silent."""
    granter = links.agents["front-3"]
    granter.granting.begin_write(600_000, 0.1)
    granter.granting.end_write(0.1)
    links.ask("front-4", 500_000, 0.2)
    assert links.agents["front-1"].holder.free(0.6) > 0


def test_a_late_reply_is_not_spent(links):
    """Guards against loans that outlive what their lender counts."""
    agent = links.agents["front-4"]
    number, _ = agent.ask(1_000, 1.0)
    reply = agents.LoanReply(number, 1_000, [("front-1", 1, 1_000)], 0.0)
    outgoing = agent.on_message("front-1", reply, 1.0 + qs.LOAN_S)
    assert agent.decisions[0].after_s is not None
    assert outgoing == [("front-1", agents.LoanResult(1, 0))]
