"""Simulation of a deployment's processes in virtual time.

The program's own reports travel over a model of the network. Take-over follows the
rules of ``Node``, with a simplified store."""

import heapq
import itertools
import random

from granitetrestle.messages import Member
from granitetrestle.reports import OwnState
from granitetrestle.reports import Reports

TICK_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.4
LEADER_CHECK_INTERVAL_S = 0.2
MESSAGE_DELAY_S = 0.002
# A connection to a stalled process closes after this; messages not received are lost.
CONNECTION_TIMEOUT_S = 1.0


class Process:
    """A simulated process: its reports and take-overs."""

    def __init__(self, world, name, hall, cores, start, known=()):
        self.world, self.name, self.hall, self.cores = world, name, hall, cores
        self.me = Member(name, f"{name}:1", hall, cores)
        self.up_at = start
        self.frozen_until = 0.0
        self.dead = False
        self.sent = self.received = 0
        self.take_overs = []
        self.known = known
        self.start(start)

    def start(self, now):
        """Start a new incarnation."""
        self.incarnation = next(self.world.incarnations)
        self.up_at = now
        self.dead = False
        self.reports = Reports(self.me, now, self.world.random.random())
        self.leadership = self.reports.leadership
        self.membership = self.reports.membership
        self.registered_at = now + self.world.store_s
        self.attempting = False
        self.leading = False
        self.calling_store = False
        self.last_heartbeat = None
        self.leader_check_at = 0.0

    @property
    def own(self):
        store_ok = not self.leading or self.world.store_reached(self)
        ready = self.registered_at is None
        return OwnState(self.leading, store_ok, ready, self.attempting)

    def leader(self, now):
        if self.leading:
            return self.name
        if self.leadership.is_leader_silent(now):
            return ""
        return self.leadership.leader

    def send_reports(self, reports, now):
        for report in reports:
            for node in report.to:
                if self.membership.find(node) is not None:
                    self.world.send(self, node, report.status, now)

    def add_members(self, now):
        for member in self.world.members():
            self.membership.add_registered(member)

    def register(self, now):
        self.add_members(now)
        self.heartbeat_age_s(now)
        if self.world.stored_leader[0]:
            self.leadership.record_leader(*self.world.stored_leader, now)

    def heartbeat_age_s(self, now):
        heartbeat = self.world.heartbeat
        if self.last_heartbeat is None or self.last_heartbeat[0] != heartbeat:
            self.last_heartbeat = (heartbeat, now)
        return now - self.last_heartbeat[1]

    def tick(self, now):
        if self.registered_at is not None:
            if now < self.registered_at or not self.world.store_reached(self):
                return
            self.registered_at = None
            self.register(now)
            self.read_again_at = now + 2.0
        if self.read_again_at is not None and now > self.read_again_at:
            self.read_again_at = None
            self.add_members(now)
        self.send_reports(self.reports.due(self.own, now), now)
        if self.leading:
            if self.world.leader_name != self.name:
                self.leading = False
                self.leadership.record_deposed()
            elif (
                self.world.store_reached(self)
                and now - self.world.heartbeat[1] > HEARTBEAT_INTERVAL_S
            ):
                self.world.write_heartbeat(now)
            return
        if self.calling_store:
            return
        if not self.leadership.is_take_over_due(now):
            return
        if not self.leadership.lacks_stable_majority(now):
            self.attempt_take_over(now)
        elif now >= self.leader_check_at:
            self.call_store(self.check_leader)

    def call_store(self, callback):
        self.calling_store = True
        after = self.world.store_s
        self.world.schedule(
            self.world.now + after, self.store_answered, self.incarnation, callback
        )

    def store_answered(self, incarnation, callback):
        if self.dead or incarnation != self.incarnation:
            return
        self.calling_store = False
        if self.world.store_reached(self):
            callback(self.world.now)
        else:
            self.attempting = False

    def check_leader(self, now):
        left = (
            HEARTBEAT_TIMEOUT_S
            + self.leadership.stagger_s(now)
            - self.heartbeat_age_s(now)
        )
        self.leader_check_at = now + max(LEADER_CHECK_INTERVAL_S, left)
        if left > 0.0:
            return
        if self.leadership.is_take_over_due(now):
            self.attempt_take_over(now)

    def attempt_take_over(self, now):
        self.attempting = True
        self.world.attempted.add(self.name)
        self.leadership.record_attempt(now)
        self.send_reports(self.reports.to_all(self.own, now), now)
        self.call_store(self.check_epoch)

    def check_epoch(self, now):
        if self.world.stored_leader[0] > self.leadership.epoch:
            self.attempting = False
            self.leadership.record_leader(*self.world.stored_leader, now)
            return
        self.call_store(self.claim_epoch)

    def claim_epoch(self, now):
        self.attempting = False
        self.world.take_over(self, now)
        self.leadership.record_take_over(self.world.epoch, now)
        self.leading = True
        self.send_reports(self.reports.to_all(self.own, now), now)


class ReportWorld:
    """``count`` processes in ``halls`` data halls; three in each have more cores."""

    def __init__(self, seed, count, halls, store_s=0.004):
        self.random = random.Random(seed)
        self.store_s = store_s
        self.incarnations = itertools.count(1)
        self.epoch, self.leader_name = 0, ""
        self.heartbeat = (0, 0.0)
        # Epoch and leader in the store, and whether writes of them are lost.
        self.stored_leader = (0, "")
        self.heartbeats_lost = False
        self.take_overs = []
        self.cut_off_halls = set()
        self.delay = MESSAGE_DELAY_S
        self.refused_by_store = set()
        self.attempted = set()
        self.down = set()
        self.events = []
        self.event_numbers = itertools.count()
        self.now = 10.0
        self.processes = {}
        for number in range(count):
            cores = 2.15 if number // halls < 3 else 0.5
            start = self.now + self.random.random() * 0.3
            name = f"h{number % halls}-{number // halls:02}"
            process = Process(self, name, f"h{number % halls}", cores, start)
            self.processes[name] = process
            self.schedule(
                start + self.random.random() * TICK_INTERVAL_S,
                self.tick_process,
                process,
            )

    def members(self):
        return [process.me for process in self.processes.values()]

    def schedule(self, when, what, *arguments):
        heapq.heappush(self.events, (when, next(self.event_numbers), what, arguments))

    def tick_process(self, process):
        next_tick_at = max(self.now + TICK_INTERVAL_S, process.frozen_until)
        if not process.dead and self.now >= process.frozen_until:
            process.tick(self.now)
        self.schedule(next_tick_at, self.tick_process, process)

    def reaches(self, one, other):
        return one.hall == other.hall or not {one.hall, other.hall} & self.cut_off_halls

    def store_reached(self, process):
        return (
            process.hall not in self.cut_off_halls
            and process.name not in self.refused_by_store
        )

    def send(self, sender, node, status, now):
        target = self.processes[node]
        sender.sent += 1
        incarnation = target.incarnation
        delivered_at = now + self.delay * (1.0 + self.random.random())
        self.schedule(delivered_at, self.deliver, sender, target, incarnation, status)

    def deliver(self, sender, target, incarnation, status):
        if (
            target.dead
            or target.incarnation != incarnation
            or not self.reaches(sender, target)
        ):
            return
        if self.now < target.frozen_until:
            if target.frozen_until - self.now < CONNECTION_TIMEOUT_S:
                self.schedule(
                    target.frozen_until,
                    self.deliver,
                    sender,
                    target,
                    incarnation,
                    status,
                )
            return
        if target.registered_at is not None:
            return
        target.received += 1
        target.send_reports(
            target.reports.record_report(status, target.own, self.now), self.now
        )

    def take_over(self, process, now):
        self.epoch += 1
        self.leader_name = process.name
        self.write_heartbeat(now)
        self.take_overs.append((now, process.name))

    def write_heartbeat(self, now):
        """Write the leader and its heartbeat to the store, unless writes are lost."""
        if not self.heartbeats_lost:
            self.heartbeat = (self.epoch, now)
            self.stored_leader = (self.epoch, self.leader_name)

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, what, arguments = heapq.heappop(self.events)
            what(*arguments)
        self.now = end

    def kill(self, names, restart_after_s=None):
        for name in names:
            process = self.processes[name]
            process.dead = True
            process.leading = False
            if restart_after_s is not None:
                self.schedule(self.now + restart_after_s, self.restart, process)

    def restart(self, process):
        process.start(self.now + self.random.random() * 0.3)

    def leader(self):
        return self.processes[self.leader_name]

    def has_leader(self):
        """Return whether the latest leader is alive and leads."""
        leader = self.processes[self.leader_name]
        return leader.leading and not leader.dead

    def without_leader(self, names=None):
        """Return those of ``names`` that don't know the leader."""
        names = self.processes if names is None else names
        return [
            name
            for name in names
            if not self.processes[name].dead
            and self.processes[name].leader(self.now) != self.leader_name
        ]

    def run_until_leader_known(self, timeout_s, names=None):
        """Run until all processes know the leader; return the seconds it took."""
        started = self.now
        while self.without_leader(names) and self.now - started < timeout_s:
            self.run(0.02)
        return self.now - started

    def run_until_leader(self, timeout_s, other_than=None):
        """Run until a process other than ``other_than`` leads; return the seconds."""
        started = self.now
        while self.now - started < timeout_s:
            if self.has_leader() and self.leader_name != other_than:
                break
            self.run(0.02)
        return self.now - started

    def longest_without_leader(self, seconds, names=None):
        """Run; return the longest time that any process did not know the leader."""
        longest, since = 0.0, {}
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            without_leader = set(self.without_leader(names))
            since = {name: since.get(name, self.now) for name in without_leader}
            longest = max([longest, *(self.now - at for at in since.values())])
        return longest
