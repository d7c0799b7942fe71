"""Measures how long waits get as leaders change, among model boxes.

``python tools/hand_over_waits.py`` prints a line for each wait that docs/invariants.md
lists as checked by it: what it comes to without a change of leader, with orderly
hand-overs, and with killed leaders, each at several intervals."""

import typing as t

from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle.workflows import PENDING
from granitetrestle.workflows import Step
from granitetrestle_standins.shardprocess import JOBS_TOPIC
from granitetrestle_standins.shardworld import ShardWorld

# How long a shard has no leader after the last one was killed.
LEADERLESS_S = 0.9
GIVE_UP_S = 30.0
LONG_RUNNING = Step(count=1, cpu=500, memory_mb=10, long_running=True)
INTERVALS = ((False, 0.0), (False, 1.4), (False, 3.0), (True, 1.4), (True, 3.0))


class Leaders:
    """Changes the leader of a shard at an interval.

    :param interval_s: 0 for never.
    """

    def __init__(self, world: ShardWorld, killed: bool, interval_s: float) -> None:
        self.world = world
        self._killed = killed
        self._interval_s = interval_s
        self._changed_at = world.now

    def advance(self) -> None:
        """Advance by a tick, and change the leader if it is due."""
        world = self.world
        if self._interval_s and world.now - self._changed_at >= self._interval_s:
            if self._killed:
                world.kill()
                world.advance(LEADERLESS_S)
                world.take_over()
            else:
                world.hand_over()
            self._changed_at = world.now
        world.advance(0.05)

    def wait(self, over: t.Callable[[], bool]) -> float | None:
        """Return the seconds until a wait is over, or ``None`` if it is not."""
        began = self.world.now
        while not over():
            if self.world.now - began > GIVE_UP_S:
                return None
            self.advance()
        return round(self.world.now - began, 1)


Probe: t.TypeAlias = t.Callable[[bool, float], float | None]


def running_boxes(world: ShardWorld, job: str) -> list[str]:
    """Return the boxes that run a task of a job."""
    return [
        box.incarnation
        for box in world.boxes.values()
        if any(task.startswith(job) for task in box.running)
    ]


def lost_box(killed: bool, interval_s: float) -> float | None:
    """A long-running task of a lost box runs again."""
    world = ShardWorld(7, 6)
    job = world.submit((LONG_RUNNING,))
    world.advance(4.0)
    (lost,) = running_boxes(world, job)
    world.cut_until[lost] = world.now + 1000.0
    del world.entries[lost]
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(lambda: any(b != lost for b in running_boxes(world, job)))


def unreadable_progress(killed: bool, interval_s: float) -> float | None:
    """A job runs whose progress can't be read."""
    world = ShardWorld(7, 2)
    world.advance(1.0)
    job = world.submit((Step(count=1, cpu=5000),))
    world.advance(1.0)
    world.kill()
    epoch = world.leader.epoch + 1
    world.store.append(JOBS_TOPIC, (), Writer(epoch, 1))
    rows = [Record(f"p/{job}", b"?")]
    world.store.append(JOBS_TOPIC, rows, Writer(epoch, 2))
    world.leader.epoch = epoch
    world.take_over()
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(
        lambda: any(key[0] == job for key in world.leader.scheduler.state.waiting)
    )


def reserved_room(killed: bool, interval_s: float) -> float | None:
    """A long-running task starts on the one empty box, which headroom would reserve."""
    world = ShardWorld(7, 2)
    world.submit((Step(count=1, cpu=4000, memory_mb=10, long_running=True),))
    world.advance(4.0)
    job = world.submit((Step(count=1, cpu=4000, memory_mb=10, long_running=True),))
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(lambda: bool(running_boxes(world, job)))


def logged_wait(killed: bool, interval_s: float) -> float | None:
    """The log says of a long-running task that it has waited for over 6 s."""
    world = ShardWorld(7, 1)
    world.submit((Step(count=1, cpu=4000, memory_mb=10, long_running=True),))
    world.advance(4.0)
    world.submit((Step(count=1, cpu=4000, memory_mb=10, long_running=True),))
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(
        lambda: any(
            event.event == "lasting_waits" and event.inputs.get("waited_s", 0.0) > 6.0
            for event in world.leader.log_events
        )
    )


def quarantined_starts(killed: bool, interval_s: float) -> float | None:
    """Starts on a box that fails everything, in 20 s; the other box is full."""
    world = ShardWorld(7, 2)
    world.submit((Step(count=1, cpu=4000, memory_mb=10, long_running=True),))
    world.advance(4.0)
    (full,) = (box for box in world.boxes.values() if box.running)
    (failing,) = (box for box in world.boxes.values() if not box.running)
    for _ in range(30):
        world.submit((Step(count=1, cpu=1500, memory_mb=10),))
    leaders, began = Leaders(world, killed, interval_s), world.now
    while world.now - began < 20.0:
        leaders.advance()
        for task in list(failing.running):
            failing.end(task, "failed", world.now)
    assert full.running
    return len(failing.history)


def points_of_innocents(killed: bool, interval_s: float) -> float | None:
    """Suspicion of a task that ran for 10 s when its box was lost."""
    world = ShardWorld(7, 3)
    job = world.submit((LONG_RUNNING,))
    leaders, began = Leaders(world, killed, interval_s), world.now
    while world.now - began < 10.0:
        leaders.advance()
    if interval_s:
        world.hand_over()
        world.advance(0.3)
    (lost,) = running_boxes(world, job)
    world.crash_box(sorted(world.entries).index(lost))
    world.advance(8.0)
    (task,) = world.leader.scheduler.state.workflows[job].tasks.values()
    return task.suspicion


def points_before_poll(killed: bool, interval_s: float) -> float | None:
    """Suspicion of a task that ran for 10 s when its box fell silent, before the next
    leader polled it."""
    world = ShardWorld(7, 3)
    job = world.submit((LONG_RUNNING,))
    leaders, began = Leaders(world, killed, interval_s), world.now
    while world.now - began < 10.0:
        leaders.advance()
    (lost,) = running_boxes(world, job)
    world.cut_until[lost] = world.now + 1000.0
    if interval_s:
        world.hand_over()
    world.advance(12.0)
    (task,) = world.leader.scheduler.state.workflows[job].tasks.values()
    assert task.box != lost
    return task.suspicion


def cleared_suspicion(killed: bool, interval_s: float) -> float | None:
    """Suspicion left of 3 points after a run of 200 s, at its end."""
    world = ShardWorld(7, 2)
    job = world.submit((LONG_RUNNING,))
    world.advance(2.0)
    (task,) = world.leader.scheduler.state.workflows[job].tasks.values()
    task.suspicion = 3
    world.leader.scheduler.state.mark_task_changed(task)
    leaders, began = Leaders(world, killed, interval_s), world.now
    while world.now - began < 200.0:
        leaders.advance()
    (box,) = running_boxes(world, job)
    world.boxes[box].end(f"{job}.0.0.0", "failed", world.now)
    world.advance(2.0)
    (task,) = world.leader.scheduler.state.workflows[job].tasks.values()
    return task.suspicion


def cancelled(killed: bool, interval_s: float) -> float | None:
    """A long-running task stops that is cancelled while its box is cut off for 1 s."""
    world = ShardWorld(7, 2)
    job = world.submit((LONG_RUNNING,))
    world.advance(4.0)
    (box,) = running_boxes(world, job)
    world.cut_until[box] = world.now + 1.0
    world.cancel(job)
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(lambda: not running_boxes(world, job))


def left_box(killed: bool, interval_s: float) -> float | None:
    """A long-running task is moved off a box that leaves."""
    world = ShardWorld(7, 3)
    job = world.submit((LONG_RUNNING,))
    world.advance(4.0)
    (box,) = running_boxes(world, job)
    world.entries[box] = world.entries[box]._replace(draining=True)
    leaders = Leaders(world, killed, interval_s)
    return leaders.wait(lambda: any(b != box for b in running_boxes(world, job)))


def moved_checkpointing(killed: bool, interval_s: float) -> float | None:
    """Whether a checkpointing task that ran for 4 of 10 s is moved off a box that leaves
    in 8 s: 1 if it is."""
    world = ShardWorld(7, 3)
    # Tasks with the index 2 take 5 s in the model, so that this one ends before.
    job = world.submit((Step(count=3, cpu=100, estimate_ms=10000, checkpointing=True),))
    leaders, began = Leaders(world, killed, interval_s), world.now
    while world.now - began < 4.4:
        leaders.advance()
    (box,) = running_boxes(world, job)
    entry = world.entries[box]._replace(draining=True, leaving_in_s=8.0)
    world.entries[box] = entry
    world.advance(0.3)
    task = world.leader.scheduler.state.workflows[job].tasks[(0, 0, 2)]
    return float(task.run > 1 or task.state == PENDING or task.box != box)


PROBES: t.Final[tuple[Probe, ...]] = (
    lost_box,
    unreadable_progress,
    reserved_room,
    logged_wait,
    quarantined_starts,
    points_of_innocents,
    points_before_poll,
    cleared_suspicion,
    cancelled,
    left_box,
    moved_checkpointing,
)


def main() -> None:
    """Print what each wait comes to."""
    columns = [
        f"{'killed' if killed else 'hands over'} {interval_s:g}"
        if interval_s
        else "no change"
        for killed, interval_s in INTERVALS
    ]
    print(f"{'':24}", *(f"{column:>14}" for column in columns))
    for probe in PROBES:
        figures = [probe(killed, interval_s) for killed, interval_s in INTERVALS]
        shown = ["never" if figure is None else f"{figure:g}" for figure in figures]
        print(f"{probe.__name__:24}", *(f"{figure:>14}" for figure in shown))


if __name__ == "__main__":
    main()
