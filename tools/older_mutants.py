"""Mutants of the older path, by promise."""

from mutant import Mutant

__all__ = ["OLDER_MUTANTS"]

OLDER_MUTANTS = (
    Mutant(
        "1: loans of lapsed terms are still used by borrowers",
        (
            (
                "borrowing.py",
                "if now >= self.until or now < self.backoff_until:",
                "if now < self.backoff_until:",
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
                "ownedshard.py",
                "if task.opened < self.epoch and self._reconciling():",
                "if False:",
            ),
        ),
        "promise_2_one_place_at_a_time",
    ),
    Mutant(
        "2: only the last owner before a claim is waited for",
        (
            (
                "ownership.py",
                "        if node != claimant\n",
                "        if False\n",
            ),
        ),
        "earlier_owners",
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
                "if reply.header(REFUSED_HEADER):",
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
                "if issued_at <= max(self._since_wall, wall - MAX_KEY_AGE_S):",
                "if False:",
            ),
        ),
        "promise_6_keys_run_at_most_once",
    ),
    Mutant(
        "6: keys from the future may run",
        (("keys.py", "if issued_at > wall + MAX_KEY_AHEAD_S:", "if False:"),),
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
                "return now - member.renewed_at >= limit",
                "return True",
            ),
            (
                "ownership.py",
                "return max(\n            now,\n            member.renewed_at\n            + self._parameters.term_s\n            + self._parameters.clock_margin_s,\n        )",
                "return now - 100.0",
            ),
            (
                "ownership.py",
                "if not shard.released and shard.renewal > fact.seen_renewal:",
                "if False:",
            ),
            (
                "ownership.py",
                "if (\n            now\n            < self._support_granted_at.get(number, -1e18)\n            + self._parameters.support_validity_s\n        ):",
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
)
