"""Filling tasks without `cpu` run beside tasks that serve; a burst of filling work comes."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig

WATCH = "/watch/"
PLANS = "/plans/"
TIDY = "/tidy/"
CHECKS = "/checks/"
USUAL_S = 6.0
BURST_S = 25.0
# RULES.md, LOST: "for 3 s, a submission has nothing running although a task's turn has
# come, there is twice the room it needs, and less than half of the service's capacity is
# in use". The four tasks that serve hold 24 of 64 cores. What fills holds no cores, but uses
# some at its pace: these count as in use too.
IDLE_S = 3.0


def serving():
    """Tasks that last and serve users of their own."""
    spec = json.dumps({"ms": 0, "cpu": 6000, "tail_ms": 25, "load": 0.48})
    step = {
        "count": 4, "cpu": 6000, "mem_mb": 4000, "estimate_ms": 1000,
        "long_running": True, "image": "watch", "target_ms": 150, "may_miss": 1,
    }  # fmt: skip
    return {"spec": spec, "steps": [step]}


def checking():
    """Ordinary short tasks."""
    spec = json.dumps({"ms": 300, "cpu": 1000})
    step = {"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300}
    return {"spec": spec, "steps": [step]}


def tidying(number):
    """Short filling tasks. Their `cpu` is 0 and so is omitted: under `fills` it counts
    for nothing, the tasks receive what the others leave unused."""
    spec = json.dumps({"ms": 400, "cpu": 200, "fills": True, "presses": 1.0})
    step = {
        "count": 2, "mem_mb": 500, "estimate_ms": 400, "fills": True,
        "image": f"tidy-{number % 6}",
    }  # fmt: skip
    return {"spec": spec, "steps": [step]}


def planning(number):
    """Larger filling tasks, which press on what serves beside them."""
    spec = json.dumps({"ms": 30_000, "cpu": 3000, "fills": True, "presses": 5.0})
    step = {
        "count": 6, "cpu": 3000, "mem_mb": 1000, "estimate_ms": 30_000, "fills": True,
        "image": f"plan-{number}",
    }  # fmt: skip
    return {"spec": spec, "steps": [step]}


async def traffic(world, accepted, until):
    """Submit a check and a tidying job once a second; note when they are accepted."""
    number = 0
    while world.journal.now() < until:
        number += 1
        for prefix, body in ((CHECKS, checking()), (TIDY, tidying(number))):
            job = f"{number:012x}" + ("c0de" if prefix == CHECKS else "f111")
            if await world.submit(prefix + job, body, tries=4):
                accepted[job] = world.journal.now()
        await asyncio.sleep(1.0)


async def watch_use(world, busy_until):
    """Note when half of the cores or more were last in use."""
    while True:
        capacity = sum(runner.capacity["cpu"] for runner in world.runners)
        runs = [run for runner in world.runners for run in runner.running.values()]
        used = sum(
            run.does.cpu * (run.percent / 100.0 if run.does.fills else 1.0)
            for run in runs
        )
        if 2 * used >= capacity:
            busy_until[0] = world.journal.now()
        await asyncio.sleep(0.05)


async def case(world):
    await world.start(
        [
            rig.route("watch", WATCH),
            rig.route("plans", PLANS, priority=2),
            rig.route("tidy", TIDY, priority=2),
            rig.route("checks", CHECKS),
        ]
    )
    if not await world.submit(WATCH + "a" * 16, serving()):
        raise rig.CannotRun("the job that serves was not accepted")
    await asyncio.sleep(3.0)
    accepted = {}
    busy_until = [0.0]
    world.spawn(watch_use(world, busy_until))
    ends_at = world.journal.now() + USUAL_S + BURST_S
    world.spawn(traffic(world, accepted, ends_at))
    await asyncio.sleep(USUAL_S)
    if rig.trouble():
        # Large submissions come at once.
        for number in range(4):
            await world.submit(PLANS + f"{number:016x}", planning(number))
    await asyncio.sleep(ends_at - world.journal.now())
    world.journal.write("test", "the traffic ends")
    await asyncio.sleep(rig.BOUNDS["finish_s"])
    now = world.journal.now()
    begun = {}
    for fact in world.facts:
        begun.setdefault(fact.task.split(".")[0], fact.began)
    idle = {
        job: begun.get(job, now) - max(at, busy_until[0])
        for job, at in accepted.items()
    }
    lost = [job for job, idle_s in idle.items() if idle_s > IDLE_S]
    never = [job for job in accepted if job not in begun]
    fills = sum(job.endswith("f111") for job in lost)
    ends = {node.name: len(node.own_ends) for node in world.nodes}
    errors = {node.last_error() for node in world.nodes} - {""}
    text = (
        f"of {len(accepted)} short submissions that were accepted, {len(lost)} ({fills} "
        f"that fill) had nothing running for more than {IDLE_S:.0f} s while less than "
        f"half of the cores were in use, the longest for "
        f"{max(idle.values(), default=0.0):.1f} s; {len(never)} had not begun "
        f"{rig.BOUNDS['finish_s']} s after the traffic ended; processes ended by "
        f"themselves: {ends} {errors or ''}"
    )
    world.journal.write("test", text)
    print(text)
    return text if lost else ""


rig.run_case(pathlib.Path(__file__).parent, case, nodes=3, runners=2)
