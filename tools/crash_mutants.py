"""Mutants of how tasks that crash boxes are found."""

from mutant import Mutant

__all__ = ["CRASH_MUTANTS"]

CRASH_MUTANTS = (
    Mutant(
        "crash: a lost box counts against nobody",
        (
            (
                "losttasks.py",
                "self._suspect(suspects, loss)",
                "pass",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: evidence is not written",
        (
            (
                "jobrecords.py",
                "task.suspicion, task.evidence)",
                "task.suspicion, 0)",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: losses under a task are not written",
        (
            (
                "jobrecords.py",
                "task.suspicion, task.evidence)",
                "0, task.evidence)",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: older versions are not told of suspects",
        (
            (
                "jobrecords.py",
                "min(MAX_POINTS, POINTS_PER_LOST_BOX * task.suspicion)",
                "0",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: older versions give up a suspect at once",
        (
            (
                "jobrecords.py",
                "min(MAX_POINTS, POINTS_PER_LOST_BOX * task.suspicion)",
                "POINTS_PER_LOST_BOX * task.suspicion",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: points of older versions are dropped",
        (
            (
                "jobrestore.py",
                "row.boxes_lost or row.suspicion // POINTS_PER_LOST_BOX",
                "row.boxes_lost",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: the first loss counts in full",
        (
            (
                "crashevidence.py",
                "decibans - CHANCE_DECIBANS if number > 1 else 0",
                "decibans - CHANCE_DECIBANS",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: others that are lost at the same moment explain nothing",
        (
            (
                "crashevidence.py",
                "together = len(around.together) - sum(x in around.together for x in own)",
                "together = 0",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: single boxes that are lost all the time explain nothing",
        (
            (
                "crashevidence.py",
                "self._rate(recent, boxes, loss.latest),",
                "self._rate(0, boxes, loss.latest),",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a loss counts as much however late after the start",
        (
            (
                "crashevidence.py",
                "rate * suspected.window_s",
                "rate * USUAL_WINDOW_S",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: earlier losses at an address explain nothing",
        (
            (
                "crashevidence.py",
                "(here - 1) / MEMORY_S",
                "0.0",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: other suspects on a box explain nothing",
        (
            (
                "crashevidence.py",
                "for task in suspected.companions)",
                "for task in ())",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: what is known against other suspects does not matter",
        (
            (
                "lossprobabilities.py",
                "PRIOR_CRASHING * 10.0 ** (task.evidence / 10.0)",
                "PRIOR_CRASHING",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a start without an answer counts in full",
        (
            (
                "crashevidence.py",
                "if not suspected.answered:",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: boxes on which suspects are tried hide other suspects",
        (
            (
                "crashevidence.py",
                "return not self.loss.tried and not any(",
                "return not any(",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: losses long ago explain those of now",
        (
            (
                "crashevidence.py",
                "                and abs(other.latest - loss.latest) <= MEMORY_S\n",
                "",
            ),
            (
                "crashevidence.py",
                "if now - noted.loss.latest > KEEP_S:",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a box that answers again counts as lost",
        (
            (
                "losttasks.py",
                'if box is None:\n            return ""',
                'if True:\n            return ""',
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a task stays suspected as its box answers again",
        (
            (
                "losttasks.py",
                "        task.suspicion = max(0, task.suspicion - 1)\n"
                "        self._state",
                "        self._state",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a loss is weighed though the box may run on",
        (
            (
                "crashevidence.py",
                "lambda x: x.weigh_at <= now and not may_go_on(x)",
                "lambda x: x.weigh_at <= now",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a loss is weighed before others are noticed",
        (
            (
                "crashevidence.py",
                "lambda x: x.weigh_at <= now and not may_go_on(x)",
                "lambda x: not may_go_on(x)",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a successor forgets losses that are not weighed",
        (
            (
                "crashevidence.py",
                "for x in suspected[-MAX_WRITTEN:]",
                "for x in ()",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a successor weighs losses again",
        (
            (
                "crashevidence.py",
                "                self._urgent = True\n                due +=",
                "                due +=",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: losses that were written long ago count",
        (
            (
                "crashevidence.py",
                "if now - written_at > 2 * WRITE_INTERVAL_S:",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: unreadable losses end a successor",
        (
            (
                "shardstate.py",
                "except DECODE_ERRORS as error:\n            restored.unreadable.append(UnreadableRecord(LOSSES_KEY",
                "except KeyError as error:\n            restored.unreadable.append(UnreadableRecord(LOSSES_KEY",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: all losses are written",
        (
            (
                "crashevidence.py",
                "list(self._noted.values())[-MAX_WRITTEN:]\n        suspected",
                "list(self._noted.values())\n        suspected",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: all losses that are not weighed are written",
        (
            (
                "crashevidence.py",
                "for x in suspected[-MAX_WRITTEN:]",
                "for x in suspected",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: all suspects of a loss are written",
        (
            (
                "crashevidence.py",
                "suspects[:MAX_WRITTEN_SUSPECTS]",
                "suspects",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a run that lasts takes no evidence away",
        (
            (
                "crashloops.py",
                "left = max(0, task.evidence - OUTLASTED_DECIBANS)",
                "left = task.evidence",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a task that runs for long stays a suspect",
        (
            (
                "crashloops.py",
                "task.suspicion = task.evidence = 0",
                "pass",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: suspects are tried while other boxes are lost",
        (
            (
                "crashloops.py",
                "if calm_s >= (CALM_S if hopeful else MEMORY_S):",
                "if True:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: suspects wait for ever while other boxes are lost",
        (
            (
                "crashloops.py",
                "if self._now - waits_since >= MAX_CALM_WAIT_S * backoff:",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: suspects are tried all at once",
        (
            (
                "crashloops.py",
                "if len(self._trials) >= self._max_isolated:",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a run that was observed for long counts as crashed by its start",
        (
            (
                "crashloops.py",
                "return bool(began) and box.clock_at - began >= MIN_PROVEN_RUNTIME_S",
                "return False",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "crash: strong suspects share boxes where many are isolated",
        (
            (
                "crashloops.py",
                "if needs_trial(task) or len(",
                "if len(",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a strong suspect starts beside others that have just started",
        (
            (
                "crashloops.py",
                "            if self._now - due_since < max_wait_s:\n",
                "            if False:\n",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "crash: a strong suspect waits for ever for a box of its own",
        (
            (
                "crashloops.py",
                "            if self._now - due_since < max_wait_s:\n",
                "            if True:\n",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "crash: every suspect keeps a box for itself",
        (
            (
                "crashloops.py",
                "if needs_trial(task) or len(self._isolated) < self._max_isolated:",
                "if True:",
            ),
        ),
        "box_crashes",
    ),
    Mutant(
        "crash: a gang may be lost on one of its boxes only",
        (
            (
                "lossprobabilities.py",
                "min(boxes, task.spec.count) if task.spec.gang else 1",
                "1",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: no box is faulty that is never without the task",
        (
            (
                "crashevidence.py",
                "            + self._probability_of_faulty_boxes(suspected, boxes)\n",
                "",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a suspect is tried at once on boxes that may be faulty",
        (
            (
                "crashevidence.py",
                "if under and self._related_losses(task, under[-1], boxes):",
                "if False:",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "crash: a long-running suspect of many losses waits like any other",
        (
            (
                "crashloops.py",
                "task.suspicion <= HOPEFUL_LOSSES or task.spec.long_running",
                "task.suspicion <= HOPEFUL_LOSSES",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "leaders: other tasks run on after one has failed",
        (
            (
                "decidingtasks.py",
                "            self.end()\n            raise",
                "            raise",
            ),
        ),
        "failing_leaders",
    ),
    Mutant(
        "leaders: the journal writes once more after an error",
        (
            (
                "journal.py",
                "            await anyio.lowlevel.checkpoint_if_cancelled()\n",
                "",
            ),
        ),
        "failing_leaders",
    ),
)
