"""Randomized histories of claim groups under faults, with a simple checker.

A simulated network of stewards: messages are delayed, lost and reordered,
stewards are killed, paused and replaced, zones are partitioned, and the log
becomes unreachable and comes back. The checker knows only how often each key
was dispatched.
"""

import random

import pytest

from sesamecross.core import codec
from sesamecross.core import data
from sesamecross.core import group_messages as gm
from sesamecross.core import records
from sesamecross.ops import claim_group
from sesamecross.ops import group_planner
from sesamecross.ops import replay

STEP_MS = 50
ZONE = "z1"
ZONES = ("z1", "z2", "z3")
CALLER = "caller"


class Steward:
    """One simulated steward."""

    def __init__(self, net, name, zone, started):
        self.net = net
        self.member = data.Member(
            data.Incarnation(name, str(started)), zone, zone, name
        )
        self.me = self.member.incarnation
        self.state = replay.SharedState()
        self.group = claim_group.ClaimGroup(
            self.me, ZONE, self.state.groups, self.state.claims, net.now
        )
        self.queue = []
        self.paused_until = 0
        self.last_heartbeat_ms = {}
        self.verdicts = {}
        self.proposed_ms = -10_000

    def is_running(self):
        return self.net.now >= self.paused_until

    def perform(self, actions):
        for action in actions:
            match action:
                case claim_group.Send(to=to, message=message):
                    self.net.send(self, to, message)
                case claim_group.Append(records=entries):
                    self.queue.extend(entries)
                case claim_group.Verdict(claim_id=claim_id, verdict=verdict):
                    self.net.decided(self, claim_id, verdict)

    def receive(self, sender, message):
        now = self.net.now
        match message:
            case gm.ClaimAsk():
                self.net.send(self, sender, self.group.on_ask(message, now))
            case gm.ClaimAck():
                self.perform(self.group.on_ack(message, now))
            case gm.GroupFence():
                self.net.send(self, sender, self.group.on_fence(message))
            case gm.GroupFenced():
                self.perform(self.group.on_fenced(message, now))
            case gm.ClaimWithdrawn():
                self.group.on_withdrawn(message)
            case gm.ClaimTold():
                self.group.on_told(message)

    def step(self):
        now = self.net.now
        reaches_log = self.net.reaches_log(self)
        self.group.set_log_reachable(reaches_log, now)
        if reaches_log:
            self.net.append(self.queue)
            self.queue = []
            self.read_log()
        self.watch_peers()
        self.perform(self.group.tick(now))
        if reaches_log and now - self.proposed_ms > 1000:
            self.propose()

    def read_log(self):
        log = self.net.log
        while self.state.next_offset < len(log):
            offset = self.state.next_offset
            for applied in self.state.apply(offset, log[offset]):
                match applied.record:
                    case records.ClaimMade():
                        self.perform(
                            self.group.on_claim_record(
                                applied.record, applied.result, self.net.now
                            )
                        )
                    case records.ClaimSettled():
                        self.group.on_settled_record(applied.record)
        self.perform(
            self.group.on_replayed(self.state.next_offset, self.net.now)
        )

    def watch_peers(self):
        for peer, steward in list(self.net.known.items()):
            if peer == self.me:
                continue
            if self.net.connected(self, steward) and steward in self.net.alive:
                if steward.is_running():
                    self.last_heartbeat_ms[peer] = self.net.now
                    self.group.on_peer_heartbeat(peer, self.net.now)
            elif self.net.proves_dead(self, steward):
                last = self.last_heartbeat_ms.get(peer, -10_000)
                is_recent = self.net.now - last < claim_group.IN_CONTACT_MS
                has_no_isolated_claims = steward.group.isolated_claim_count == 0
                self.perform(
                    self.group.on_peer_death(
                        peer, is_recent and has_no_isolated_claims, self.net.now
                    )
                )

    def propose(self):
        net = self.net
        alive = {}
        dead = set()
        for peer, steward in net.known.items():
            if net.proves_dead(self, steward):
                dead.add(peer)
            elif steward is self or (
                net.now - self.last_heartbeat_ms.get(peer, -10_000) < 2500
            ):
                alive[peer.instance] = steward.member
        group = self.state.groups.zones.get(ZONE)
        cluster = group_planner.ClusterView(alive, frozenset(dead), frozenset())
        change = group_planner.propose_group(ZONE, self.member, group, cluster)
        if change is not None:
            self.proposed_ms = net.now
            self.queue.append(change)


class Network:
    """Links, the log, and the running stewards."""

    def __init__(self, seed, per_zone=2):
        self.rng = random.Random(seed)
        self.now = 0
        self.log = []
        self.log_up = True
        self.partitioned_zones = set()
        self.cut_off_from_log = set()
        self.loss = 0.0
        self.in_flight = []
        self.alive = set()
        self.known = {}
        self.slots = {}
        self.dispatched = {}
        self.decisions = {}
        self.claim_count = 0
        self.starts = 0
        for zone in ZONES:
            for number in range(per_zone):
                self.start(f"{zone}-{number}", zone)

    def start(self, name, zone):
        self.starts += 1
        steward = Steward(self, name, zone, self.starts)
        self.slots[name] = steward
        self.alive.add(steward)
        self.known[steward.me] = steward

    def kill(self, steward):
        self.alive.discard(steward)

    def connected(self, a, b):
        zones = (a.member.zone, b.member.zone)
        return zones[0] == zones[1] or not self.partitioned_zones.intersection(
            zones
        )

    def reaches_log(self, steward):
        if not self.log_up or steward.me.instance in self.cut_off_from_log:
            return False
        return steward.member.zone not in self.partitioned_zones

    def proves_dead(self, observer, steward):
        return steward not in self.alive and self.connected(observer, steward)

    def append(self, entries):
        if entries:
            plain = tuple(codec.to_plain(entry) for entry in entries)
            envelope = records.Envelope(f"a{len(self.log)}", "w", plain)
            self.log.append(codec.encode(envelope))

    def send(self, sender, to, message):
        if self.rng.random() >= self.loss:
            delay = self.rng.choice((0, 0, STEP_MS, 4 * STEP_MS))
            self.in_flight.append((self.now + delay, sender.me, to, message))

    def claim(self, steward, key):
        self.claim_count += 1
        claim = records.ClaimMade(
            f"c{self.claim_count}", CALLER, key, "orders", "d", steward.me
        )
        leader = steward.group.leader
        target = self.known.get(leader)
        if (
            target in self.alive
            and target.is_running()
            and self.connected(steward, target)
        ):
            target.perform(target.group.claim(claim, self.now))
        return claim.claim_id

    def decided(self, steward, claim_id, verdict):
        self.decisions[claim_id] = verdict
        if verdict is None or verdict.state is not data.ClaimState.WON:
            return
        key = self.key_of[claim_id]
        self.dispatched.setdefault(key, []).append(claim_id)
        if self.rng.random() < 0.7:
            answer = data.Answer(200, "t", claim_id.encode())
            settled = records.ClaimSettled(claim_id, True, answer)
            steward.perform(steward.group.settle(settled))

    def run(self, ms):
        for _ in range(ms // STEP_MS):
            self.now += STEP_MS
            due = [m for m in self.in_flight if m[0] <= self.now]
            self.in_flight = [m for m in self.in_flight if m[0] > self.now]
            for message in due:
                self.deliver(*message)
            for steward in sorted(self.alive, key=lambda n: n.me):
                if steward.is_running():
                    steward.step()

    def deliver(self, _due, sender, to, message):
        steward = self.known[to]
        source = self.known[sender]
        if steward not in self.alive or not self.connected(source, steward):
            return
        if not steward.is_running():
            # A paused process receives it when it resumes.
            self.in_flight.append((steward.paused_until, sender, to, message))
            return
        steward.receive(sender, message)

    key_of: dict


def network(seed, **more):
    net = Network(seed, **more)
    net.key_of = {}
    net.run(2000)
    return net


def submit_claim(net, steward, key):
    claim_id = f"c{net.claim_count + 1}"
    net.key_of[claim_id] = key
    net.claim(steward, key)
    return claim_id


def won(net, claim_id):
    verdict = net.decisions.get(claim_id)
    return verdict is not None and verdict.state is data.ClaimState.WON


def home_stewards(net):
    return [n for name, n in net.slots.items() if name.startswith(ZONE)]


def test_the_first_claim_wins_while_the_log_is_reachable():
    net = network(1)
    first = submit_claim(net, home_stewards(net)[0], "k")
    net.run(1000)
    second = submit_claim(net, net.slots["z3-0"], "k")
    net.run(1000)
    assert won(net, first)
    assert not won(net, second)
    assert net.decisions[second] is not None


def test_claims_continue_without_the_log_after_a_steward_dies():
    # R4: the log is unreachable for long. Claims are committed through the
    # witness in another zone, also after the zone's other steward has died.
    net = network(2)
    net.log_up = False
    net.run(5000)
    before = submit_claim(net, home_stewards(net)[0], "k1")
    net.run(1000)
    net.kill(net.slots["z1-0"])
    net.run(1000)
    survivor = net.slots["z1-1"]
    again = submit_claim(net, survivor, "k1")
    fresh = submit_claim(net, survivor, "k2")
    net.run(2000)
    assert won(net, before) and won(net, fresh)
    assert not won(net, again)


def test_an_isolated_zone_commits_only_its_own_callers_claims():
    # A zone is cut off from the log and from all other zones. Its two isolated
    # stewards commit their own callers' claims; elsewhere the same keys are
    # refused, because their home zone can't be reached.
    net = network(3)
    net.partitioned_zones = {ZONE}
    net.run(6000)
    inside = submit_claim(net, home_stewards(net)[0], "k")
    outside = submit_claim(net, net.slots["z2-0"], "k")
    net.run(3000)
    assert won(net, inside)
    assert not won(net, outside)
    net.partitioned_zones = set()
    net.run(4000)
    later = submit_claim(net, net.slots["z2-0"], "k")
    net.run(2000)
    assert net.decisions[later].state is not data.ClaimState.WON


def test_a_single_isolated_member_commits_nothing():
    net = network(4)
    net.partitioned_zones = {ZONE}
    net.run(6000)
    net.kill(net.slots["z1-1"])
    net.run(1000)
    alone = submit_claim(net, net.slots["z1-0"], "k")
    net.run(4000)
    assert not won(net, alone)


def test_a_paused_leader_is_replaced_and_resumes_safely():
    # P4 and R15 for claims: the leader is paused and the others continue in a
    # new epoch. It resumes with a claim that was settled in the meantime.
    net = network(5)
    config = home_stewards(net)[0].group.config
    leader = net.known[config.members[0]]
    other = net.known[config.members[1]]
    leader.paused_until = net.now + 20_000
    net.run(8000)
    assert other.group.leader == other.me
    claim = submit_claim(net, other, "k")
    net.run(1500)
    assert won(net, claim)
    net.run(15_000)
    again = submit_claim(net, leader, "k")
    net.run(2000)
    assert not won(net, again)


def test_a_zone_that_died_in_contact_is_taken_over_without_doubt():
    net = network(6)
    claim = submit_claim(net, home_stewards(net)[0], "k1")
    net.run(1000)
    for steward in home_stewards(net):
        net.kill(steward)
    net.run(8000)
    steward = net.slots["z2-0"]
    assert not steward.state.groups.zones[ZONE].doubt
    again = submit_claim(net, steward, "k1")
    fresh = submit_claim(net, steward, "k2")
    net.run(2000)
    assert won(net, claim) and won(net, fresh)
    assert not won(net, again)


def test_a_zone_that_died_isolated_is_in_doubt():
    # Both stewards of an isolated zone commit a claim and die. Those that take
    # over can't know which keys ran, so every key is refused as unknown until
    # an operator clears the doubt.
    net = network(7)
    net.partitioned_zones = {ZONE}
    net.run(6000)
    lost = submit_claim(net, home_stewards(net)[0], "k1")
    net.run(2000)
    assert won(net, lost)
    for steward in home_stewards(net):
        net.kill(steward)
    net.partitioned_zones = set()
    net.run(8000)
    steward = net.slots["z2-0"]
    assert steward.state.groups.zones[ZONE].doubt
    again = submit_claim(net, steward, "k1")
    net.run(2000)
    assert net.decisions[again].state is data.ClaimState.UNKNOWN
    net.append([records.DoubtCleared(ZONE, "operator")])
    net.run(500)
    fresh = submit_claim(net, steward, "k2")
    net.run(2000)
    assert won(net, fresh)


def submit_random_claims(net, max_claims):
    """Lets random stewards claim a few keys, often the same ones."""
    for _ in range(net.rng.randrange(max_claims + 1)):
        stewards = sorted(net.alive, key=lambda n: n.me)
        claimant = net.rng.choice(stewards or [None])
        if claimant is not None and claimant.is_running():
            key = f"k{net.rng.randrange(4)}-{net.now // 15_000}"
            submit_claim(net, claimant, key)


def random_fault(net):
    rng = net.rng
    name = rng.choice(sorted(net.slots))
    if rng.random() < 0.5:
        name = rng.choice([n for n in sorted(net.slots) if n[:2] == ZONE])
    steward = net.slots[name]
    match rng.randrange(16):
        case 0 | 1:
            net.kill(steward)
        case 2 | 3 | 4:
            if steward not in net.alive:
                net.start(name, steward.member.zone)
        case 5:
            steward.paused_until = net.now + rng.choice((500, 3000, 9000))
        case 6:
            net.log_up = not net.log_up
        case 7:
            net.partitioned_zones = net.partitioned_zones ^ {rng.choice(ZONES)}
        case 8:
            net.loss = rng.choice((0.0, 0.0, 0.1, 0.3))
        case 9 | 10:
            net.cut_off_from_log = net.cut_off_from_log ^ {name}
        case 11:
            net.log_up, net.partitioned_zones, net.cut_off_from_log = (
                True,
                set(),
                set(),
            )
        case 12:
            die_isolated(net)


def die_isolated(net):
    """Isolates a zone, claims there, and kills most of its stewards."""
    net.partitioned_zones = {ZONE}
    net.run(5000)
    submit_random_claims(net, 4)
    net.run(300)
    for steward in home_stewards(net):
        if net.rng.random() < 0.7:
            net.kill(steward)
    net.partitioned_zones = set()
    net.run(300)
    submit_random_claims(net, 4)


def random_history(seed, steps=120):
    """Applies random faults and claims; returns the network at the end."""
    net = network(seed, per_zone=2 + seed % 2)
    for _ in range(steps):
        if net.rng.random() < 0.35:
            random_fault(net)
        submit_random_claims(net, 3)
        net.run(net.rng.choice((50, 200, 1000)))
    return net


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_never_run_a_key_twice(seed):
    net = random_history(seed)
    doubled = {k: ids for k, ids in net.dispatched.items() if len(ids) > 1}
    assert doubled == {}


def test_the_histories_are_not_vacuous():
    ran = sum(len(random_history(seed).dispatched) for seed in range(8))
    assert ran > 60


def test_a_replica_of_the_state_can_be_dumped_and_loaded():
    net = random_history(99, steps=40)
    state = max(
        (steward.state for steward in net.alive), key=lambda s: s.next_offset
    )
    loaded = replay.load(state.dump()).unwrap()
    assert loaded.dump() == state.dump()
