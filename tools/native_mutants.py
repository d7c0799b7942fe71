"""Mutants of the path on the platform: deciding, leadership, requests, placement."""

from mutant import Mutant

__all__ = ["NATIVE_MUTANTS"]

NATIVE_MUTANTS = (
    Mutant(
        "native: a start that was held back is sent whatever became of its task",
        (
            ("scheduler.py", "wanted = task.state == STARTING and", "wanted ="),
            (
                "scheduler.py",
                "if task is None or task.run != command.run or task.box != command.incarnation:",
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
                "return lease_s * (1.0 + self.clock_slack) + 0.3",
                "return 0.2",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: a start in doubt is given up without a stop",
        (
            (
                "scheduler.py",
                "        return [event, *self._progress.stop(task, now)]",
                "        self._progress.requeue(task)\n        return [event]",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: steps do not wait for those they depend on",
        (
            (
                "workflows.py",
                "self.unfinished[(occurrence, number)] == 0 for number in dependencies",
                "number is not None for number in dependencies",
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
                "return PollPlan(box.entry.address, box.durable_end, until, wait)",
                "return PollPlan(box.entry.address, box.applied_end, until, wait)",
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
        (
            (
                "forwarding.py",
                "answer.status in REFUSALS and len(attempts) > 1",
                "False",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a restarted decider believes the store that it decides",
        (
            (
                "leadership.py",
                "        if node != self._node:\n            self._start_epoch",
                "        if True:\n            self._start_epoch",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a restarted decider believes others that it decides",
        (
            (
                "leadership.py",
                "        if node != self._node:\n            self._start_epoch",
                "        if True:\n            self._start_epoch",
            ),
        ),
        "native_reports",
    ),
    Mutant(
        "native: what never left is blamed",
        (
            (
                "crashloops.py",
                "if task.sent\n        and not _is_proven(box, task)",
                "if not _is_proven(box, task)",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "native: a successor does not know which runs were observed",
        (("jobrestore.py", "task.proven = row.proven", "task.proven = False"),),
        "box_crashes",
    ),
    Mutant(
        "native: every run counts as observed for long",
        (
            (
                "crashloops.py",
                "return now - task.running_since >= MIN_PROVEN_RUNTIME_S",
                "return True",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "native: a start that never left stays with its box",
        (
            (
                "scheduler.py",
                "if unsent or isinstance(outcome, CommandNotSent):",
                "if isinstance(outcome, CommandNotSent):",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "native: an older run is blamed as one that has just begun",
        (
            (
                "crashloops.py",
                "return lost_at - _start_time(task) <= JUST_STARTED_MAX_AGE_S",
                "return True",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "native: an ended life is entered again",
        (("fleet.py", "if incarnation not in self._ended:", "if True:"),),
        "box_crashes",
    ),
    Mutant(
        "native: a start goes to a box whose room shrank",
        (("scheduler.py", " or box.over_room", ""),),
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
        (("pacing.py", "now - since > MAX_OVER_TARGET_S", "False"),),
        "native_parts",
    ),
    Mutant(
        "native: the smaller part of a cut takes over without asking",
        (
            (
                "leadership.py",
                "now - self._majority_since(now) < MIN_MAJORITY_DURATION_S",
                "False",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a successor does not wait for one that is taking over",
        (("leadership.py", "or not self._is_rival_taking_over(now)", "or True"),),
        "native_parts",
    ),
    Mutant(
        "native: a new decider is blamed for its predecessor's store",
        (("leadership.py", "            self._leader_store_lost_at = None\n\n", "\n"),),
        "native_parts",
    ),
    Mutant(
        "native: an append is begun anew, not repeated beside the first",
        (
            (
                "journal.py",
                "records, writer, timeout_s)",
                "records, writer, repeat_delay_s)",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: a request is kept until its deadline without a decider",
        (("forwarding.py", "now - waiting_since > LEADER_WAIT_TIMEOUT_S", "False"),),
        "native_parts",
    ),
    Mutant(
        "native: a box that left the list gets work",
        (("boxes.py", "            and self.listed\n", ""),),
        "native_decider",
    ),
    Mutant(
        "native: a successor counts ended jobs from its take-over",
        (
            (
                "jobrestore.py",
                "workflow.ended_at = time.steady(ended_ms[job], now)",
                "pass",
            ),
        ),
        "waits_through_hand_overs",
    ),
    Mutant(
        "native: shard time is not recorded, and a successor starts it anew",
        (
            (
                "scheduler.py",
                "off.\n        self._state.record_time(now)",
                "off.",
            ),
            (
                "scheduler.py",
                "if self._state.workflows:\n            self._state.record_time(now)",
                "pass",
            ),
        ),
        "waits_through_hand_overs",
    ),
    Mutant(
        "native: a successor counts jobs from its take-over",
        (("jobrestore.py", "time.steady(accepted_ms, now)", "now"),),
        "waits_through_hand_overs",
    ),
    Mutant(
        "native: a successor counts inherited runs from its take-over",
        (("workflows.py", "self.started_at if self.inherited else now", "now"),),
        "waits_through_hand_overs",
    ),
    Mutant(
        "native: a configuration does not order the jobs that are known",
        (
            (
                "shardstate.py",
                "        for entry in self.waiting.values():\n            self._set_order(entry)\n",
                "",
            ),
        ),
        "waits_through_hand_overs",
    ),
)
