"""A burst of submissions on a queue with advice: do the waiting steps ever get advice
again once the burst and all traffic are over?"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
import rig as r  # noqa: E402

# Without the disruption if it is 0.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DECIDE_MS = float(os.environ.get("DECIDE_MS", "100"))
EACH_MS = float(os.environ.get("EACH_MS", "20"))
VALID_MS = 5000
# Submissions a second, of one step each. A call for advice names up to 24 runners.
RATE = float(os.environ.get("RATE", "1.0"))
TRAFFIC_S = 24.0
BURST_X, BURST_AT_S, BURST_S = 2.6, 8.0, 4.0
RUNNERS, CPU, TASKS, TASK_CPU, WORK_S = 24, 8000, 4, 1000, 0.6
FINISH_S = r.BOUNDS["finish_s"]
WATCH_S = 18.0
# The rule's time without a run.
IDLE_S = 3.0


async def play(rig):
    for number in range(RUNNERS):
        rig.add_runner(r.ZONES[number % 3], cpu=CPU)
    advice = r.Advice(rig, DECIDE_MS, EACH_MS, VALID_MS)
    await rig.start(advice=advice)
    jobs, clients = [], []
    steps = [{"count": TASKS, "cpu": TASK_CPU, "mem_mb": 256,
              "estimate_ms": WORK_S * 1000}]
    spec = [{"cpu": TASK_CPU, "work_s": WORK_S}]

    async def hand_in():
        job = rig.new_id()
        if await rig.submit(job, steps, spec):
            jobs.append(job)

    began = due = time.monotonic()
    while (at := time.monotonic() - began) < TRAFFIC_S:
        burst = TROUBLE and BURST_AT_S <= at < BURST_AT_S + BURST_S
        clients.append(asyncio.create_task(hand_in()))
        due += 1 / (RATE * (BURST_X if burst else 1.0))
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*clients)
    rig.record("rig", "traffic ends", accepted=len(jobs))
    await asyncio.sleep(FINISH_S)

    # From here on: which submissions have nothing running, for how long.
    idle_since, longest = {}, {}
    capacity = RUNNERS * CPU
    end = time.monotonic() + WATCH_S
    while (now := time.monotonic()) < end:
        running = [run for runner in rig.runners for run in runner.running.values()]
        used = len(running) * TASK_CPU
        room = capacity - used >= 2 * TASKS * TASK_CPU and used < capacity / 2
        busy = {run.task.partition(".")[0] for run in running}
        ended = {task.partition(".")[0] for _, task, _, how in rig.ends if how == "done"}
        for job in jobs:
            if room and job not in busy and job not in ended:
                since = idle_since.setdefault(job, now)
                longest[job] = max(longest.get(job, 0.0), now - since)
            else:
                idle_since.pop(job, None)
        await asyncio.sleep(0.05)
    states = {}
    for job in jobs:
        _, state = await rig.state(job)
        states[state] = states.get(state, 0) + 1
    rig.record("advice", "calls", answered=advice.answered, abandoned=advice.gave_up,
               refused_429=advice.refused)
    rig.record("client", "states", **{k or "none": v for k, v in states.items()})
    print(f"{len(jobs)} accepted; states at the end: {states}; advice: "
          f"{advice.answered} calls answered, {advice.gave_up} abandoned by the caller, "
          f"{advice.refused} refused with 429")
    return [
        f"LOST: {job} had nothing running for {for_s:.1f} s, {FINISH_S} s and more after "
        f"the end of the traffic, though its turn had come and all runners were free"
        for job, for_s in sorted(longest.items()) if for_s >= IDLE_S
    ]


r.main(play, HERE)
