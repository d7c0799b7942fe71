"""A runner crashes while tasks that last run on it and save long checkpoints."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig

# PROTOCOL.md: "`checkpoint` is a text (empty meaning none), renewed with every `save_s`
# of work"; its length has no bound. Here each save adds 1,200 characters.
GROWTH_CHARS = 1_200
TASKS = 16
WATCH = "/watch/"
CHECKS = "/checks/"
JOB = "b" * 16
CRASH_S = 4.5
LASTS_S = 35.0
# RULES.md, LOST: a task that lasts has nothing running "for 3 s", "from 6 s after its
# last run", "provided the 3 s and the 4 s preceding them are calm".
AWAY_S, AFTER_RUN_S, CALM_S = 3.0, 6.0, 4.0


async def submit_checks(world, tried, accepted):
    """Short work comes all the time."""
    while True:
        job = f"{world.draw.getrandbits(64):016x}"
        spec = json.dumps({"ms": 300, "cpu": 1000})
        steps = [{"count": 2, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 300}]
        tried.append(job)
        if await world.submit(CHECKS + job, {"spec": spec, "steps": steps}, tries=4):
            accepted.append(job)
        await asyncio.sleep(1.0)


async def case(world):
    await world.start([rig.route("watch", WATCH), rig.route("checks", CHECKS)])
    spec = json.dumps({"ms": 0, "cpu": 3500, "saves": GROWTH_CHARS})
    steps = [
        {"count": TASKS, "cpu": 3500, "mem_mb": 4000, "estimate_ms": 1000,
         "checkpointing": True, "long_running": True, "anti_affinity": 4}
    ]  # fmt: skip
    if not await world.submit(WATCH + JOB, {"spec": spec, "steps": steps}):
        raise rig.CannotRun("the job that lasts was not accepted")
    tried, accepted = [], []
    world.spawn(submit_checks(world, tried, accepted))
    await asyncio.sleep(16.0)
    last_run = {}
    calm_from = world.journal.now()
    if rig.trouble():
        # One runner of four crashes, and is back 4.5 s later as another life.
        crashed = next(
            r for r in world.runners if any(JOB in name for name in r.running)
        )
        last_run = dict.fromkeys(crashed.running, world.journal.now())
        crashed.crash()
        await asyncio.sleep(CRASH_S)
        await crashed.begin()
        calm_from = world.journal.now()
    names = [f"{JOB}.0.0.{index}" for index in range(TASKS)]
    away_since = {}
    longest = {}
    until = world.journal.now() + LASTS_S
    while world.journal.now() < until:
        await asyncio.sleep(0.1)
        now = world.journal.now()
        running = {name for runner in world.runners for name in runner.running}
        for name in names:
            if name in running:
                last_run[name] = now
                continue
            begins = max(last_run.get(name, 0.0) + AFTER_RUN_S, calm_from + CALM_S)
            since = away_since[name] = max(last_run.get(name, 0.0), begins)
            longest[name] = max(longest.get(name, 0.0), now - since)
    state = await world.state(WATCH + JOB)
    lost = {name: round(away, 1) for name, away in longest.items() if away > AWAY_S}
    text = (
        f"tasks that last had nothing running in calm for (s) {lost}; the submission is "
        f"{state}; short submissions accepted: {len(accepted)} of {len(tried)}; the store "
        f"refused {world.store.too_long} appends with a record above {rig.RECORD_BYTES} "
        f"bytes; leaders: {world.take_overs()}"
    )
    world.journal.write("test", text)
    print(text)
    return text if lost else ""


rig.run_case(pathlib.Path(__file__).parent, case, nodes=3, runners=4)
