"""The settings file changes (SIGHUP) while a machine is being stopped (SIGTERM)."""

import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig

PLANS = "/plans/"
# Plans that repeat and fall due later, as many as a successor takes a moment to read.
JOBS, COUNT, REPEATS = 40, 100, 50
ROUNDS = 3
PENDING_S = 0.25
# RULES.md, LOST: "more than `loss_slack_ms` after its last byte was sent".
SLACK_S = rig.BOUNDS["loss_slack_ms"] / 1000.0


class Call:
    """One call of a client on a connection of its own."""

    def __init__(self) -> None:
        self.sent_at = 0.0
        self.answered = False
        self.cut_after_s = None

    async def run(self, world, node, number):
        """Ask for the state of a submission; note how the connection ends."""
        ip, _, port = node.front.rpartition(":")
        writer = None
        head = (
            f"GET {PLANS}{number:016x} HTTP/1.1\r\nHost: {rig.HOST}\r\n"
            "Deadline-Ms: 3000\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode())
            self.sent_at = time.monotonic()
            world.journal.write("client", f"GET {PLANS}{number:016x} -> {node.name}")
            first = (await reader.readline()).decode().strip()
            self.answered = first.startswith("HTTP/1.1")
            if self.answered:
                world.journal.write("client", f"GET {PLANS}{number:016x} <- {first}")
        except ConnectionError:
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        if self.sent_at and not self.answered:
            self.cut_after_s = time.monotonic() - self.sent_at
            world.journal.write(
                "client", f"GET {PLANS}{number:016x}: connection ends without an answer "
                f"{self.cut_after_s:.3f} s after the request was sent"
            )  # fmt: skip


async def stop_leader(world):
    """Stop the leader as the platform does, under clients' calls; return the calls."""
    node = world.leader()
    calls, tasks = [], []
    first = time.monotonic()
    node.signal(signal.SIGTERM)
    told = not rig.trouble()
    # New connections still reach the node until the platform has asked it twice.
    while time.monotonic() - first < 1.5:
        calls.append(Call())
        tasks.append(
            asyncio.create_task(calls[-1].run(world, node, 1 + len(calls) % JOBS))
        )
        await asyncio.sleep(0.02)
        now = time.monotonic()
        waiting = [
            c for c in calls if c.sent_at and not c.answered and not c.cut_after_s
        ]
        if not told and any(now - call.sent_at > PENDING_S for call in waiting):
            told = True
            world.journal.write("client", f"{len(waiting)} calls wait for an answer")
            node.change_settings()
    await asyncio.gather(*tasks)
    return calls


async def case(world):
    await world.start([rig.route("plans", PLANS, priority=2)])
    due_ms = int(time.time() * 1000) + 900_000
    spec = json.dumps({"ms": 500, "cpu": 1000})
    step = {"count": COUNT, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500}
    body = {
        "spec": spec, "steps": [step], "repeat_count": REPEATS,
        "start_at_ms": due_ms, "interval_ms": 60_000,
    }  # fmt: skip
    for number in range(1, JOBS + 1):
        if not await world.submit(PLANS + f"{number:016x}", body):
            raise rig.CannotRun("a submission was not accepted")
    calls = []
    for _ in range(ROUNDS):
        await asyncio.sleep(6.0)
        calls += await stop_leader(world)
    cut = [call.cut_after_s for call in calls if call.cut_after_s is not None]
    late = [round(after_s, 3) for after_s in cut if after_s > SLACK_S]
    text = (
        f"of {len(calls)} calls, {len(cut)} connections ended without an answer, "
        f"{len(late)} of them more than {SLACK_S} s after the request was sent, the "
        f"longest after {max(late, default=0.0)} s"
    )
    world.journal.write("test", text)
    print(text)
    return text if late else ""


rig.run_case(pathlib.Path(__file__).parent, case, nodes=3, runners=2)
