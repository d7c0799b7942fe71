"""A deployment's processes in virtual time: the real reports between them over a model
of the network, and the rule by which a process takes over. What a process does about a
decider that is gone is here as in ``Node``, without its store's details."""

import heapq
import itertools
import random

from granitetrestle.messages import Member
from granitetrestle.reports import OwnState
from granitetrestle.reports import Reports

TICK = 0.1
BEAT = 1.0
BEAT_LOST = 1.4
ASK_STORE = 0.2
DELAY = 0.002
# What a process has not taken from a connection when it is given up is lost.
CONNECTION_LOST = 1.0


class Process:
    """A process's part: reports, and taking over."""

    def __init__(self, world, name, hall, cores, start, known=()):
        self.world, self.name, self.hall, self.cores = world, name, hall, cores
        self.me = Member(name, f"{name}:1", hall, cores)
        self.up_at = start
        self.frozen_until = 0.0
        self.dead = False
        self.sent = self.received = 0
        self.taken = []
        self.known = known
        self.begin(start)

    def begin(self, now):
        """A new life."""
        self.incarnation = next(self.world.incarnations)
        self.up_at = now
        self.dead = False
        self.reports = Reports(self.me, now, self.world.random.random())
        self.leadership = self.reports.leadership
        self.membership = self.reports.membership
        self.registered_at = now + self.world.store_s
        self.trying = False
        self.leading = False
        self.asking = False
        self.beat_seen = None
        self.ask_at = 0.0

    @property
    def own(self):
        store_ok = not self.leading or self.world.store_reached(self)
        ready = self.registered_at is None
        return OwnState(self.leading, store_ok, ready, self.trying)

    def leader(self, now):
        if self.leading:
            return self.name
        if self.leadership.is_leader_silent(now):
            return ""
        return self.leadership.leader

    def say(self, reports, now):
        for report in reports:
            for node in report.to:
                if self.membership.find(node) is not None:
                    self.world.carry(self, node, report.status, now)

    def learn(self, now):
        for member in self.world.members():
            self.membership.add_registered(member)

    def register(self, now):
        self.learn(now)
        self.see_beat(now)
        if self.world.shown[0]:
            self.leadership.record_leader(*self.world.shown, now)

    def see_beat(self, now):
        beat = self.world.beat
        if self.beat_seen is None or self.beat_seen[0] != beat:
            self.beat_seen = (beat, now)
        return now - self.beat_seen[1]

    def tick(self, now):
        if self.registered_at is not None:
            if now < self.registered_at or not self.world.store_reached(self):
                return
            self.registered_at = None
            self.register(now)
            self.read_again_at = now + 2.0
        if self.read_again_at is not None and now > self.read_again_at:
            self.read_again_at = None
            self.learn(now)
        self.say(self.reports.due(self.own, now), now)
        if self.leading:
            if self.world.last != self.name:
                self.leading = False
                self.leadership.record_deposed()
            elif self.world.store_reached(self) and now - self.world.beat[1] > BEAT:
                self.world.show(now)
            return
        if self.asking:
            return
        if not self.leadership.is_take_over_due(now):
            return
        if not self.leadership.lacks_stable_majority(now):
            self.try_it(now)
        elif now >= self.ask_at:
            self.ask_store(self.asked)

    def ask_store(self, step):
        self.asking = True
        after = self.world.store_s
        self.world.at(
            self.world.now + after, self.store_answers, self.incarnation, step
        )

    def store_answers(self, incarnation, step):
        if self.dead or incarnation != self.incarnation:
            return
        self.asking = False
        if self.world.store_reached(self):
            step(self.world.now)
        else:
            self.trying = False

    def asked(self, now):
        left = BEAT_LOST + self.leadership.stagger_s(now) - self.see_beat(now)
        self.ask_at = now + max(ASK_STORE, left)
        if left > 0.0:
            return
        if self.leadership.is_take_over_due(now):
            self.try_it(now)

    def try_it(self, now):
        self.trying = True
        self.world.tried.add(self.name)
        self.leadership.record_attempt(now)
        self.say(self.reports.to_all(self.own, now), now)
        self.ask_store(self.read)

    def read(self, now):
        if self.world.shown[0] > self.leadership.epoch:
            self.trying = False
            self.leadership.record_leader(*self.world.shown, now)
            return
        self.ask_store(self.append)

    def append(self, now):
        self.trying = False
        self.world.take(self, now)
        self.leadership.record_take_over(self.world.epoch, now)
        self.leading = True
        self.say(self.reports.to_all(self.own, now), now)


class ReportWorld:
    """``count`` processes in ``halls`` halls; three in each are larger."""

    def __init__(self, seed, count, halls, store_s=0.004):
        self.random = random.Random(seed)
        self.store_s = store_s
        self.incarnations = itertools.count(1)
        self.epoch, self.last = 0, ""
        self.beat = (0, 0.0)
        # What the store shows of who decides, and whether it takes no news of that.
        self.shown = (0, "")
        self.beats_lost = False
        self.taken = []
        self.cuts = set()
        self.delay = DELAY
        self.refused = set()
        self.tried = set()
        self.down = set()
        self.queue = []
        self.order = itertools.count()
        self.now = 10.0
        self.processes = {}
        for number in range(count):
            cores = 2.15 if number // halls < 3 else 0.5
            start = self.now + self.random.random() * 0.3
            name = f"h{number % halls}-{number // halls:02}"
            process = Process(self, name, f"h{number % halls}", cores, start)
            self.processes[name] = process
            self.at(start + self.random.random() * TICK, self.ticked, process)

    def members(self):
        return [process.me for process in self.processes.values()]

    def at(self, when, what, *arguments):
        heapq.heappush(self.queue, (when, next(self.order), what, arguments))

    def ticked(self, process):
        resumes = max(self.now + TICK, process.frozen_until)
        if not process.dead and self.now >= process.frozen_until:
            process.tick(self.now)
        self.at(resumes, self.ticked, process)

    def reaches(self, one, other):
        return one.hall == other.hall or not {one.hall, other.hall} & self.cuts

    def store_reached(self, process):
        return process.hall not in self.cuts and process.name not in self.refused

    def carry(self, sender, node, status, now):
        target = self.processes[node]
        sender.sent += 1
        incarnation = target.incarnation
        arrives = now + self.delay * (1.0 + self.random.random())
        self.at(arrives, self.arrive, sender, target, incarnation, status)

    def arrive(self, sender, target, incarnation, status):
        if (
            target.dead
            or target.incarnation != incarnation
            or not self.reaches(sender, target)
        ):
            return
        if self.now < target.frozen_until:
            if target.frozen_until - self.now < CONNECTION_LOST:
                self.at(
                    target.frozen_until,
                    self.arrive,
                    sender,
                    target,
                    incarnation,
                    status,
                )
            return
        if target.registered_at is not None:
            return
        target.received += 1
        target.say(target.reports.record_report(status, target.own, self.now), self.now)

    def take(self, process, now):
        self.epoch += 1
        self.last = process.name
        self.show(now)
        self.taken.append((now, process.name))

    def show(self, now):
        """Let the store show the decider, unless that write is lost."""
        if not self.beats_lost:
            self.beat = (self.epoch, now)
            self.shown = (self.epoch, self.last)

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what, arguments = heapq.heappop(self.queue)
            what(*arguments)
        self.now = end

    def kill(self, names, back_after=None):
        for name in names:
            process = self.processes[name]
            process.dead = True
            process.leading = False
            if back_after is not None:
                self.at(self.now + back_after, self.revive, process)

    def revive(self, process):
        process.begin(self.now + self.random.random() * 0.3)

    def scheduler(self):
        return self.processes[self.last]

    def decides(self):
        """Say whether a process is at work as the decider."""
        scheduler = self.processes[self.last]
        return scheduler.leading and not scheduler.dead

    def ignorant(self, names=None):
        """Who of ``names`` does not know the decider."""
        names = self.processes if names is None else names
        return [
            name
            for name in names
            if not self.processes[name].dead
            and self.processes[name].leader(self.now) != self.last
        ]

    def until_known(self, most, names=None):
        """Run until everybody knows the decider; returns the seconds it took."""
        began = self.now
        while self.ignorant(names) and self.now - began < most:
            self.run(0.02)
        return self.now - began

    def until_decided(self, most, than=None):
        """Run until a process decides, another one than ``than``; returns the seconds."""
        began = self.now
        while self.now - began < most:
            if self.decides() and self.last != than:
                break
            self.run(0.02)
        return self.now - began

    def watch(self, seconds, names=None):
        """Run; returns the longest that anybody has not known the decider."""
        longest, since = 0.0, {}
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            ignorant = set(self.ignorant(names))
            since = {name: since.get(name, self.now) for name in ignorant}
            longest = max([longest, *(self.now - at for at in since.values())])
        return longest
