"""Mutants of what keeps a leader's failure from being that of each successor."""

from mutant import Mutant

__all__ = ["REPEAT_MUTANTS"]

REPEAT_MUTANTS = (
    Mutant(
        "links: an answer has its time as a whole",
        (
            (
                "calls.py",
                "                if exchange.by_progress:\n",
                "                if False:\n",
            ),
        ),
        "thin_links",
    ),
    Mutant(
        "links: an answer that stops is waited for",
        (
            (
                "calls.py",
                "anyio.current_time() + self._timeout_s, self._started + longest_s",
                "self._started + longest_s, self._started + longest_s",
            ),
        ),
        "thin_links",
    ),
    Mutant(
        "links: an append gets no time for its bytes",
        (
            ("journal.py", "APPEND_TIMEOUT_S + transfer_s", "APPEND_TIMEOUT_S"),
            ("appendpace.py", "return size / self._bytes_per_s", "return 0.0"),
        ),
        "thin_links",
    ),
    Mutant(
        "links: batches are as long on every link",
        (
            (
                "appendpace.py",
                "return min(self._max_batch_bytes, max(MIN_BATCH_BYTES, carried))",
                "return self._max_batch_bytes",
            ),
        ),
        "thin_links",
    ),
    Mutant(
        "links: appends teach nothing about the link",
        (
            (
                "appendpace.py",
                "        self._bytes_per_s = max(lowest,",
                "        _ = max(lowest,",
            ),
        ),
        "thin_links",
    ),
    Mutant(
        "links: a start gets no time for its checkpoint",
        (("platform/boxes.py", "COMMAND_TIMEOUT_S + transfer_s", "COMMAND_TIMEOUT_S"),),
        "thin_links",
    ),
    Mutant(
        "records: checkpoints of running tasks are written with each change",
        (
            (
                "jobrecords.py",
                "elif task.state in (RUNNING, STOPPING) and not",
                "elif False and not",
            ),
        ),
        "long_records",
    ),
    Mutant(
        "records: the stored checkpoint of a running task is dropped",
        (
            (
                "jobrecords.py",
                "                text = task.row_checkpoint\n",
                "                text = ''\n                unneeded.append(task)\n",
            ),
        ),
        "long_records",
    ),
    Mutant(
        "calls: they are forwarded to a leader that takes over",
        (
            (
                "forwarding.py",
                "if target is not None and not target.taking_over:",
                "if target is not None:",
            ),
        ),
        "forward_window",
    ),
    Mutant(
        "calls: any number is under way to the leader",
        (
            (
                "forwardwindow.py",
                "if not first or (under_way and under_way + size > limit):",
                "if not first:",
            ),
        ),
        "forward_window",
    ),
    Mutant(
        "calls: the next one in turn is not woken",
        (("forwardwindow.py", "            wake()\n", "            pass\n"),),
        "forward_window",
    ),
    Mutant(
        "calls: relays don't say that the leader takes over",
        (
            (
                "leadership.py",
                "            self._leader_taking_over = status.leader_taking_over\n",
                "            pass\n",
            ),
        ),
        "forward_window",
    ),
    Mutant(
        "take-over: a leader that was replaced is due at once",
        (
            (
                "leadership.py",
                "                self._leader_reported_at = superseded_at\n",
                "                pass\n",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "copies: they are not continued",
        (
            (
                "standby.py",
                "                copy.apply(outcome)\n",
                "                pass\n",
            ),
        ),
        "standby",
    ),
    Mutant(
        "copies: one that lacks a record is used",
        (
            (
                "succession.py",
                "            if fault is None:\n",
                "            if fault is None or copied is not None:\n",
            ),
        ),
        "standby",
    ),
    Mutant(
        "copies: deleted records stay",
        (
            (
                "standby.py",
                "                self._records.pop(record.key, None)\n",
                "                pass\n",
            ),
        ),
        "standby",
    ),
    Mutant(
        "failures: nothing is set aside",
        (
            (
                "leaderfailures.py",
                "JobsApart(tuple(proven), ",
                "JobsApart((), ",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: a single one holds a job back",
        (
            (
                "leaderfailures.py",
                "FAILURES_BEFORE_HELD_BACK: t.Final = 2",
                "FAILURES_BEFORE_HELD_BACK: t.Final = 1",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: two set a job aside",
        (
            (
                "leaderfailures.py",
                "    held_back = [*excluded, *suspects] if suspects else excluded[1:]\n",
                "    proven, held_back = [*proven, *suspects], excluded[1:]\n",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: one at another job sets a job aside",
        (
            (
                "leaderfailures.py",
                "(proven if served[0] in failure.jobs else excluded)",
                "proven",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: a job that was served without one is suspected as before",
        (("leaderfailures.py", "failed_at.pop(job, None)", "pass"),),
        "failing_leaders",
    ),
    Mutant(
        "failures: all jobs held back are served again at once",
        (("leaderfailures.py", "else excluded[1:]", "else []"),),
        "failing_leaders",
    ),
    Mutant(
        "failures: ends of jobs held back are acknowledged",
        (
            (
                "fleet.py",
                "min(newest_end, min(kept, default=math.inf) - 1)",
                "newest_end",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: runs of jobs held back are stopped",
        (("fleet.py", "if self._state.is_held_back(name):", "if False:"),),
        "failing_leaders",
    ),
    Mutant(
        "failures: boxes of jobs held back take other tasks",
        (
            (
                "fleet.py",
                "box.closed_until = max(box.closed_until, now + HELD_BACK_CLOSED_S)",
                "pass",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: a job held back that is cancelled stays in the store",
        (
            (
                "shardstate.py",
                "        if workflow.retired:\n",
                "        if False:\n",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: a job that had ended is ended as failed",
        (
            (
                "jobrestore.py",
                "    if row.state in TERMINAL_STATES:\n",
                "    if row.state in TERMINAL_STATES and not workflow.retired:\n",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: the records of a job that is set aside stay",
        (
            (
                "shardstate.py",
                "            self._records.mark_retired(workflow)\n        for workflow in restored.in_old",
                "            pass\n        for workflow in restored.in_old",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "failures: a start whose record was refused goes out",
        (
            (
                "session.py",
                "isinstance(decision, StartTask) and job_of(decision.task) in unrecorded",
                "isinstance(decision, StartTask) and False",
            ),
            # An end of the job in the same turn withdraws the start as well.
            (
                "session.py",
                "        for job in unrecorded:\n",
                "        for job in ():\n",
            ),
        ),
        "failing_leaders",
    ),
)
