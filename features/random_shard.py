"""Seeded random work and faults for the real scheduler among model boxes, with tasks
that crash each box that starts them.

``python features/random_shard.py FIRST LAST`` runs these seeds. A word before them adds
events: with ``rooms`` boxes also shrink and grow, with ``suspended`` machines of
leaders are suspended, with ``parted`` leaders continue without the store, and with
``restarts`` boxes crash more often and keep their ids.

``python features/random_shard.py series FIRST LAST`` runs series of changes of leader and
also prints the longest waits for the leases of lost boxes. ``losses`` does the same with
leaders that are lost together with boxes.

``python features/random_shard.py storms FIRST LAST`` runs storms, in which boxes are lost
again and again, and prints the jobs that fail though none of their tasks did wrong, the
tasks that crash too many boxes, and the longest waits in calm.

``python features/random_shard.py innocent FIRST LAST`` counts the jobs that are given
up though none of their tasks crashes boxes."""

import random
import sys

from granitetrestle.workflows import Step
from granitetrestle_standins.shardworld import HALLS_TOPIC
from granitetrestle_standins.shardworld import PromiseBroken
from granitetrestle_standins.shardworld import ShardWorld
from native_machines import STEPS
from random_losses import RandomLosses
from random_series import RandomSeries
from storm_results import print_storms

# An event is as likely as it is repeated here; "bad" submits a job that crashes boxes.
EVENTS = [
    *("submit", "submit", "cancel", "wait", "wait", "wait"),
    *("kill", "depose", "freeze", "thaw", "crash", "crash", "cut"),
    *("disturb", "hall", "forget", "store", "bad", "bad"),
]
# Boxes shrink and grow (rooms), machines of leaders are suspended, boxes restart under
# their ids, and leaders continue without the store, each reaching some boxes (parted).
EXTRA_EVENTS = {
    "rooms": (*["room"] * 4, *["submit"] * 3),
    "suspended": (*["suspend"] * 4, *["wake"] * 3, *["submit"] * 3),
    "restarts": (*["crash"] * 4, *["submit"] * 3),
    "parted": (*["part"] * 4, *["join"] * 2, *["submit"] * 3, *["cut"] * 3),
}
FULL_CPU = 4000
# Series whose waits are judged too.
JUDGED = {"series": RandomSeries, "losses": RandomLosses}
PAUSES_S = (0.05, 0.1, 0.5, 1.0, 3.0)
FAULT_SHARES = (0, 0.1, 0.5)


class RandomShard:
    """One seed: sixty random events, and then time until all jobs have ended.

    :param extra: a key of ``EXTRA_EVENTS``, whose events are added to ``EVENTS``.
    """

    def __init__(self, seed, extra=""):
        self._events = [*EVENTS, *EXTRA_EVENTS.get(extra, ())]
        self._draw = random.Random(seed)
        boxes = self._draw.randrange(10**6), self._draw.randint(1, 5)
        keep_ids = extra == "restarts"
        self.world = ShardWorld(*boxes, ("h1", "h2"), keep_ids=keep_ids)
        self._jobs = []

    def run(self):
        self.world.advance(0.3)
        for _ in range(60):
            self._run_event(self._draw.choice(self._events))
        # In the end all tasks must have room.
        self.world.resize_all(FULL_CPU)
        self.world.settle(300.0)

    def _run_event(self, event):
        draw, world = self._draw, self.world
        if event == "submit":
            self._jobs.append(world.submit(draw.choice(STEPS.elements)))
        elif event == "cancel" and self._jobs:
            world.cancel(draw.choice(self._jobs))
        elif event == "wait":
            world.advance(draw.choice(PAUSES_S))
        elif event == "kill":
            world.kill()
            world.advance(draw.choice(PAUSES_S))
            world.take_over()
        elif event == "depose":
            world.take_over()
        elif event == "freeze":
            world.leader.frozen = True
            world.take_over()
        elif event == "thaw":
            for process in world.processes:
                process.resume()
        elif event == "crash":
            world.crash_box(draw.randrange(100))
        elif event == "cut":
            world.cut_box(draw.randrange(100), draw.choice((0.5, 2.0, 4.0, 8.0)))
        elif event == "disturb":
            world.delayed_share = draw.choice(FAULT_SHARES) / 2
            world.lost_answer_share = draw.choice(FAULT_SHARES) / 2
            world.task_failure_share = draw.choice(FAULT_SHARES) / 2
        elif event == "hall":
            send_directive = world.evacuate if draw.random() < 0.5 else world.restore
            send_directive(draw.choice(["h1", "h2"]))
        elif event == "forget":
            world.store.drop_history(HALLS_TOPIC)
        elif event == "store":
            world.store_down = draw.random() < 0.5
        elif event == "bad":
            self._submit_crashing()
        elif event == "suspend":
            world.leader.suspend()
            if draw.random() < 0.5:
                world.take_over()
        elif event == "wake":
            for process in world.processes:
                process.resume()
        elif event == "part":
            self._partition()
        elif event == "join":
            world.reconnect_all()
        elif event == "room":
            world.resize_box(draw.randrange(100), draw.choice((0, 1000, 2500, 4000)))

    def _partition(self):
        """Cut a leader from the store and some boxes, and a successor from the others."""
        draw, world = self._draw, self.world
        incarnations = sorted(world.entries)
        lost = set(draw.sample(incarnations, draw.randint(0, len(incarnations))))
        older = world.leader
        older.without_store = True
        older.cut_from |= lost
        world.advance(draw.choice(PAUSES_S))
        world.take_over()
        if world.leader is not older:
            world.leader.cut_from |= set(incarnations) - lost

    def _submit_crashing(self):
        steps = self._draw.choice(STEPS.elements)
        job = self.world.submit(steps)
        self._jobs.append(job)
        step = self._draw.randrange(len(steps))
        index = self._draw.randrange(steps[step].count)
        self.world.box_crashes.crashing.add(f"{job}.0.{step}.{index}")
        self.world.box_crashes.crash_before_answer = self._draw.random() < 0.5


def crashes_among_others(seed, culprits=6):
    """Run 12 busy boxes for 40 s, with tasks that crash the boxes that start them.

    :returns: how many boxes each of these tasks crashed, how many other jobs were given
        up, and how many other jobs there were."""
    world = ShardWorld(seed, 12)
    step = Step(count=4, cpu=500, memory_mb=10)
    long_running = Step(count=4, cpu=500, memory_mb=10, long_running=True)
    others = [world.submit((long_running,)) for _ in range(6)]
    world.advance(8.0)
    crashing_jobs = []
    for turn in range(400):
        world.advance(0.1)
        if world.random.random() < 0.8:
            others.append(world.submit((step,)))
        if turn % 33 == 0 and len(crashing_jobs) < culprits:
            crashing_jobs.append(world.submit((step,)))
            world.box_crashes.crashing.add(
                f"{crashing_jobs[-1]}.0.0.{world.random.randrange(4)}"
            )
    world.advance(30.0)
    states = {
        job: workflow.state
        for job, workflow in world.leader.scheduler.state.workflows.items()
    }
    assert all(states[job] == "failed" for job in crashing_jobs), [
        states[job] for job in crashing_jobs
    ]
    crashes = [
        world.box_crashes.counts.get(task, 0) for task in world.box_crashes.crashing
    ]
    return crashes, sum(states[job] == "failed" for job in others), len(others)


def main():
    extra = sys.argv.pop(1) if sys.argv[1] in EXTRA_EVENTS else ""
    if sys.argv[1] == "storms":
        print_storms(range(*map(int, sys.argv[2:4])))
        return
    if sys.argv[1] == "innocent":
        rows = [crashes_among_others(s) for s in range(*map(int, sys.argv[2:4]))]
        crashes = [count for row in rows for count in row[0]]
        given_up, others = (sum(row[i] for row in rows) for i in (1, 2))
        mean = sum(crashes) / len(crashes)
        print(f"{mean:.2f} crashes, at most {max(crashes)}; {given_up} of {others}")
        return
    judged = JUDGED.get(sys.argv[1])
    if judged is not None:
        sys.argv.pop(1)
    broken, suspected, waits, judges = 0, 0, [], []
    for seed in range(*map(int, sys.argv[1:3])):
        shard = RandomShard(seed, extra) if judged is None else judged(seed)
        try:
            shard.run()
        except PromiseBroken as error:
            broken += 1
            print(f"seed {seed}: {error}", flush=True)
        if judged is not None:
            waits += shard.judge.waits
            suspected += shard.judge.suspected
            judges.append(shard.judge)
    if judged is RandomLosses:
        _print_losses(waits, judges)
    elif judged is not None:
        _print_waits(waits)
    if judged is not None:
        print(f"{suspected} tasks waited since they are suspected of crashes")
    print(f"{broken} broken")


def _print_losses(waits, judges):
    take_overs = sum(judge.take_overs for judge in judges)
    excluded = sum(judge.excluded for judge in judges)
    outages = sum(judge.outages for judge in judges)
    print(
        f"{take_overs} take-overs, in {excluded} a majority of the witnesses answered; "
        f"{outages} outages that had to end no task"
    )
    for number in sorted({changes for changes, _ in waits}):
        of_kind = [wait for changes, wait in waits if changes == number]
        print(
            f"{len(of_kind)} tasks after {number} changes of leader: "
            f"at most {max(of_kind):.2f} s"
        )


def _print_waits(waits):
    for orderly in (True, False):
        for number in range(7):
            of_kind = [
                wait for kind, n, wait in waits if (kind, n) == (orderly, number)
            ]
            if of_kind:
                kind = "orderly" if orderly else "other"
                print(
                    f"{len(of_kind)} tasks after {number} {kind} changes of leader: "
                    f"at most {max(of_kind):.2f} s"
                )


if __name__ == "__main__":
    main()
