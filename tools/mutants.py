"""``make mutants``: takes each mechanism out of a copy of the product and runs the
proof that stands for it, which must then fail. A proof that passes without its
mechanism proves nothing."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 240


class Mutant(t.NamedTuple):
    """A mechanism to take out, and the scenarios that must notice.

    :param changes: file, text there, text instead; several where one layer
        stands behind another.
    """

    what: str
    changes: tuple[tuple[str, str, str], ...]
    feature: str


MUTANTS = (
    Mutant(
        "1: loans of lapsed terms are still used by borrowers",
        (
            (
                "borrowing.py",
                "if now >= self.until or now < self.set_aside_until:",
                "if now < self.set_aside_until:",
            ),
            (
                "requests.py",
                "min(event.deadline, borrowed.until),",
                "event.deadline,",
            ),
        ),
        "promise_1_no_box_overcommitted",
    ),
    Mutant(
        "2: doubts are dropped at a take-over",
        (
            (
                "books.py",
                "if task.opened < self.epoch and self._in_doubt():",
                "if False:",
            ),
        ),
        "promise_2_one_place_at_a_time",
    ),
    Mutant(
        "3: the next attempt forgets the checkpoint",
        (
            (
                "placement.py",
                'checkpoint=found[1].checkpoint if found else "",',
                'checkpoint="",',
            ),
        ),
        "promise_3_evicted_work_resumes_once",
    ),
    Mutant(
        "4: a refusal is taken for an answer",
        (
            (
                "calls.py",
                "if reply.header(REFUSED):",
                "if False:",
            ),
        ),
        "promise_4_own_whole_answer",
    ),
    Mutant(
        "5: a try that may have run is forgotten",
        (
            (
                "requests.py",
                "if pending.may_have_run and isinstance(outcome, NotRun):",
                "if False:",
            ),
        ),
        "promise_5_not_run_means_not_run",
    ),
    Mutant(
        "6: a key may run twice",
        (
            (
                "keys.py",
                "if (account, key) in self._decided:",
                "if False:",
            ),
        ),
        "promise_6_keys_run_at_most_once",
    ),
    Mutant(
        "6: keys older than the epoch may run",
        (
            (
                "keys.py",
                "if issued_at <= max(self._since_wall, wall - HORIZON_S):",
                "if False:",
            ),
        ),
        "promise_6_keys_run_at_most_once",
    ),
    Mutant(
        "6: keys from the future may run",
        (("keys.py", "if issued_at > wall + AHEAD_S:", "if False:"),),
        "promise_6_keys_run_at_most_once",
    ),
    Mutant(
        "8: a stop does not wait for requests in flight",
        (
            (
                "engine.py",
                "while not self._reducer.stopped:",
                "while False:",
            ),
        ),
        "promise_8_planned_stop",
    ),
    Mutant(
        "9: the version that an editor saw is not compared",
        (
            (
                "table.py",
                "if current.version != edit.seen_version:",
                "if False:",
            ),
        ),
        "promise_9_table_never_reverts",
    ),
    Mutant(
        "9: snapshots are not read",
        (
            (
                "reducer.py",
                "if event.upto < self._offsets.get(event.stream, 1) - 1:",
                "if True:",
            ),
        ),
        "promise_9_table_never_reverts",
    ),
    Mutant(
        "1: what a task takes is not counted",
        (
            (
                "capacity.py",
                "box.free = box.free.plus(Vector.of(assignment.spec), -1)",
                "pass",
            ),
        ),
        "promise_1_no_box_overcommitted",
    ),
    Mutant(
        "2: successors neither wait to claim nor before they start",
        (
            (
                "ownership.py",
                "return now - member.heard_at >= limit",
                "return True",
            ),
            (
                "ownership.py",
                "return max(now, member.heard_at + self._terms.term_s + self._terms.margin_s)",
                "return now - 100.0",
            ),
            (
                "ownership.py",
                "if not shard.released and shard.renewal > fact.seen_renewal:",
                "if False:",
            ),
            (
                "ownership.py",
                "if now < self._promised.get(number, -1e18) + self._terms.promise_s:",
                "if False:",
            ),
        ),
        "soak",
    ),
    Mutant(
        "3: an end counts whatever epoch and attempt it names",
        (
            (
                "jobs.py",
                "if stale or task.ended or fact.attempt != task.attempt:",
                "if task.ended:",
            ),
        ),
        "promise_3_evicted_work_resumes_once",
    ),
    Mutant(
        "7: leaving boxes are neither emptied nor left out of loans",
        (
            (
                "shards.py",
                "            if not (box.drained or box.info.leaving):\n                continue",
                "            continue",
            ),
            (
                "shards.py",
                "            if box.drained or box.info.leaving:\n                continue",
                "            pass",
            ),
        ),
        "promise_7_leaving_endpoints",
    ),
    Mutant(
        "7: a batch that stands twice counts twice",
        (
            (
                "records.py",
                "if batch.seq <= writers.get(batch.writer, 0):",
                "if False:",
            ),
        ),
        "promise_7_leaving_endpoints",
    ),
    Mutant(
        "native: a start that was held back is sent whatever became of its task",
        (
            ("decider.py", "wanted = task.state == STARTING and", "wanted ="),
            (
                "decider.py",
                "if task is None or task.run != order.run or task.box != order.life:",
                "if False:",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: leases count as over too early",
        (
            (
                "shardstate.py",
                "return self.lease_s * (1.0 + self.clock_slack) + 0.3",
                "return 0.2",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: a start in doubt is given up without a stop",
        (
            (
                "decider.py",
                "        return [noted, *self._progress.stop(task, now)]",
                "        self._progress.requeue(task)\n        return [noted]",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: steps do not wait for those they depend on",
        (
            (
                "workflows.py",
                "return all(self.undone[(occurrence, number)] == 0 for number in needs)",
                "return needs is not None",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: failed runs are not counted",
        (("progress.py", "task.failed_runs |= {row.run}", "pass"),),
        "native_decider",
    ),
    Mutant(
        "native: a box may forget ends before they are durable",
        (
            (
                "fleet.py",
                "return LookPlan(box.entry.address, box.durable_known, until, wait)",
                "return LookPlan(box.entry.address, box.known, until, wait)",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: an ended job takes another end",
        (
            (
                "progress.py",
                "        if workflow.terminal:\n            return effects\n",
                "",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: every refusal is passed on",
        (("forwarding.py", "answer.status in REFUSALS and len(asked) > 1", "False"),),
        "native_parts",
    ),
    Mutant(
        "native: a restarted decider believes the store that it decides",
        (
            (
                "leadership.py",
                "        if node != self._node:\n            self._begins",
                "        if True:\n            self._begins",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a restarted decider believes others that it decides",
        (
            (
                "leadership.py",
                "        if node != self._node:\n            self._begins",
                "        if True:\n            self._begins",
            ),
        ),
        "native_reports",
    ),
    Mutant(
        "native: a lost box counts against nobody",
        (
            (
                "fleet.py",
                "blamed = blame(may_have_crashed(box), box.lost_at or box.clock_at)",
                "pass",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "native: points for lost boxes are not written",
        (("jobrecords.py", "        task.suspicion,\n", "        0,\n"),),
        "box_crashes",
    ),
    Mutant(
        "native: what never left is blamed",
        (
            (
                "crashloops.py",
                "if task.sent and not _proved(box, task)",
                "if not _proved(box, task)",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "native: an older run is blamed as one that has just begun",
        (("crashloops.py", "if lost_at - _began(task) <= JUST_BEGUN_S]", "]"),),
        "box_crashes",
    ),
    Mutant(
        "native: every suspect keeps a box for itself",
        (("crashloops.py", "if len(self._kept) < self._most:", "if True:"),),
        "box_crashes",
    ),
    Mutant(
        "native: an ended life is entered again",
        (("fleet.py", "if life not in self._ended:", "if True:"),),
        "box_crashes",
    ),
    Mutant(
        "native: a start goes to a box whose room shrank",
        (("decider.py", " or box.over_room", ""),),
        "native_decider",
    ),
    Mutant(
        "native: leases after a take-over are not counted from the first look",
        (("fleet.py", "box.lease_ends = min(box.lease_ends, lease_ends)", "pass"),),
        "native_decider",
    ),
    Mutant(
        "native: an entry with any address names a box",
        (("platform/boxes.py", "if not is_address(raw.address):", "if False:"),),
        "foreign_records",
    ),
    Mutant(
        "native: numbers of any size are taken",
        (("platform/front.py", "0 <= number <= MAX_NUMBER", "0 <= number"),),
        "foreign_records",
    ),
    Mutant(
        "native: nothing protects a task that stays over its target",
        (("pacing.py", "now - since > OVER_TOO_LONG_S", "False"),),
        "native_parts",
    ),
    Mutant(
        "native: the smaller part of a cut takes over without asking",
        (
            (
                "leadership.py",
                "now - self._majority_since(now) < MAJORITY_SETTLED_S",
                "False",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a successor does not wait for one that is taking over",
        (("leadership.py", "or not self._another_tries(now)", "or True"),),
        "native_parts",
    ),
    Mutant(
        "native: a new decider is blamed for its predecessor's store",
        (("leadership.py", "            self._leader_store_lost = None\n\n", "\n"),),
        "native_parts",
    ),
    Mutant(
        "native: an append is begun anew, not repeated beside the first",
        (("journal.py", "records, writer, TRY_S)", "records, writer, pause_s)"),),
        "native_parts",
    ),
    Mutant(
        "native: a request is kept until its deadline without a decider",
        (("forwarding.py", "now - unreached_since > WAIT_FOR_LEADER_S", "False"),),
        "native_parts",
    ),
    Mutant(
        "native: a box that left the list gets work",
        (("boxes.py", "            and self.listed\n", ""),),
        "native_decider",
    ),
    Mutant(
        "native: fillers that wait on a box do not count there",
        (
            (
                "overload.py",
                "shares.get(step.image, 0.0) + step.cpu / box.entry.cpu",
                "shares.get(step.image, 0.0)",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: the order to evacuate a hall is not read",
        (("feeds.py", "halls.append(order)", "pass"),),
        "native_evacuation",
    ),
    Mutant(
        "native: a successor forgets evacuated halls",
        (
            (
                "evacuation.py",
                "return self.ordered([*restored, *orders], now)",
                "return []",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: starts for an evacuated hall keep their place in the window",
        (
            (
                "orderwindow.py",
                "for entry in [e for e in waiting if e.kind != FIRST and e.life in lives]:",
                "for entry in list[_Waiting]():",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: starts that were held back are sent into an evacuated hall",
        (("decider.py", "or box.evacuated or", "or"),),
        "native_evacuation",
    ),
    Mutant(
        "native: a slowed task moves into an evacuated hall",
        (
            (
                "boxes.py",
                "self.reachable and not self.evacuated and now",
                "self.reachable and now",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: starts go on without news of operators",
        (
            (
                "decider.py",
                "        if not self._evacuation.up_to_date(now):\n            return effects\n",
                "",
            ),
            (
                "decider.py",
                "wanted = task.state == STARTING and self._evacuation.up_to_date(now)",
                "wanted = task.state == STARTING",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: a lease is renewed that a successor does not count on",
        (("fleet.py", "if box.life in self._state.withdrawn_leases or ", "if "),),
        "native_decider",
    ),
    Mutant(
        "native: failures together double the pause of a box",
        (("boxes.py", "        if now < self.aside_until:\n", "        if False:\n"),),
        "native_policy",
    ),
    Mutant(
        "native: boxes that were put aside are closed to lasting work",
        (
            (
                "dispatch.py",
                "if box is None and step.lasting and pool.aside",
                "if False",
            ),
        ),
        "native_policy",
    ),
    Mutant(
        "native: shifted: an answered stop is given again while a look waits",
        (("fleet.py", "if not answered:", "if not answered or sent <= answered:"),),
        "native_decider",
    ),
    Mutant(
        "native: shifted: looks wait without regard to connections",
        (
            (
                "lookbudget.py",
                "if self._waiting < part * self._connections:",
                "if part:",
            ),
        ),
        "load_many_boxes",
    ),
    Mutant(
        "native: shifted: sizes of jobs that were left behind wait on",
        (
            (
                "waitingorder.py",
                "kept_up = not self._sizes.behind(self._size(workflow))",
                "kept_up = True",
            ),
        ),
        "load_wide_jobs",
    ),
    Mutant(
        "native: shifted: requests go on to a decider that answers nothing",
        (
            (
                "answering.py",
                "        return True\n\n    def come_back_s",
                "        return False\n\n    def come_back_s",
            ),
        ),
        "load_store_away",
    ),
    Mutant(
        "native: kept: an append may be empty and share its number with the next",
        (
            (
                "journal.py",
                "records = self._marks.marked(part)\n        self._sequence += 1\n"
                "        writer = Writer(self._epoch, self._sequence)",
                "records = list(part)\n        number = self._sequence + 1\n"
                "        self._sequence += bool(records)\n"
                "        writer = Writer(self._epoch, number)",
            ),
        ),
        "succession",
    ),
    Mutant(
        "native: kept: an answer is believed though the log has not grown",
        (
            (
                "journal.py",
                "            return False\n        self._end = end",
                "        self._end = end",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: kept: any reading counts as whole",
        (("succession.py", "if wrong is None:", "if True:"),),
        "succession",
    ),
    Mutant(
        "native: kept: a new life decides in an epoch of the life before",
        (("statemark.py", "NotWhole(Verdict.USED, reason)", "None"),),
        "succession",
    ),
    Mutant(
        "native: kept: starts leave however old the right is",
        (("boxlife.py", "rests_on_right = kind != FIRST", "rests_on_right = False"),),
        "leaving_orders",
    ),
    Mutant(
        "native: kept: a newer epoch that others follow puts nothing in doubt",
        (("session.py", "            self._right.doubt()", "            pass"),),
        "leaving_orders",
    ),
    Mutant(
        "native: limits: at most 200 pages are read",
        (
            (
                "newestread.py",
                "            if page.more and self._repeats(page):",
                "            if page.more and (self._pages > 200 or self._repeats(page)):",
            ),
        ),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: a read begins at the first page again",
        (
            (
                "succession.py",
                "            outcome = await reading.go_on(PAGE_TIMEOUT_S)",
                "            reading = NewestRead(self._store, JOBS_TOPIC, 0)\n"
                "            outcome = await reading.go_on(PAGE_TIMEOUT_S)",
            ),
        ),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: a take-over computes in one go",
        (("slices.py", "SLICE_S: t.Final = 0.02", "SLICE_S: t.Final = 20.0"),),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: what a deposed decider knew stays",
        (("session.py", "            take_back()\n", ""),),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: the first 500 ends count as all",
        (("fleet.py", "        if look.more_ends:", "        if False:"),),
        "many_ends",
    ),
    Mutant(
        "native: limits: tries to take over begin below the epoch that was refused",
        (
            (
                "node.py",
                "self._leadership.epoch, self._refused_epoch)",
                "self._leadership.epoch)",
            ),
        ),
        "own_limits",
    ),
    Mutant(
        "native: limits: advice is asked about the same boxes for ever",
        (("dispatch.py", "if box.life not in entry.unfit]", "]"),),
        "own_limits",
    ),
    Mutant(
        "native: limits: a gang's room is free for what is placed after it",
        (
            (
                "dispatch.py",
                "        self._state.index.refresh(now)\n        return starts",
                "        return starts",
            ),
        ),
        "native_index",
    ),
)


def survives(mutant: Mutant) -> bool:
    """Run the proof against the mutant; says whether it passed, wrongly."""
    with tempfile.TemporaryDirectory(prefix="granitetrestle-mutant-") as folder:
        copy = pathlib.Path(folder)
        shutil.copytree(ROOT / "src", copy / "src")
        shutil.copytree(ROOT / "features", copy / "features")
        for file, old, new in mutant.changes:
            path = copy / "src" / "granitetrestle" / file
            text = path.read_text()
            if text.count(old) != 1:
                raise SystemExit(f"{mutant.what}: {old!r} is not there once")
            path.write_text(text.replace(old, new))
        env = {**os.environ, "PYTHONPATH": str(copy / "src")}
        command = [sys.executable, "-m", "behave", "--stop", "--format", "progress"]
        command.append(f"features/{mutant.feature}.feature")
        try:
            done = subprocess.run(
                command,
                cwd=copy,
                env=env,
                capture_output=True,
                check=False,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return False
        return done.returncode == 0


def main() -> None:
    """Run all mutants, or those whose text contains the first argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    killed = survived = 0
    for mutant in MUTANTS:
        if wanted not in mutant.what:
            continue
        alive = survives(mutant)
        survived += alive
        killed += not alive
        print(f"{'SURVIVED' if alive else 'killed  '} {mutant.what}", flush=True)
    print(f"{killed} killed, {survived} survived")
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
