"""Mutants of the path on the platform: evacuations, crashes, load, what is kept."""

from mutant import Mutant

__all__ = ["RECOVERY_MUTANTS"]

RECOVERY_MUTANTS = (
    Mutant(
        "native: fillers that wait on a box do not count there",
        (
            (
                "overload.py",
                "shares.get(step.image, 0.0) + box.cpu_share(step.cpu)",
                "shares.get(step.image, 0.0)",
            ),
        ),
        "native_parts",
    ),
    Mutant(
        "native: the order to evacuate a hall is not read",
        (("feeds.py", "directives.append(directive)", "pass"),),
        "native_evacuation",
    ),
    Mutant(
        "native: a successor forgets evacuated halls",
        (
            (
                "evacuation.py",
                "return self.apply_directives([*restored, *directives], now)",
                "return []",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: starts for an evacuated hall keep their place in the window",
        (
            (
                "commandwindow.py",
                "for entry in [\n                e\n                for e in waiting\n"
                "                if e.priority != URGENT and e.incarnation in incarnations\n"
                "            ]:",
                "for entry in list[_QueuedCommand]():",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: starts that were held back are sent into an evacuated hall",
        (("scheduler.py", "or box.evacuated or", "or"),),
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
                "scheduler.py",
                "if self._stopped_starting or not self._evacuation.up_to_date(now):",
                "if self._stopped_starting:",
            ),
            (
                "scheduler.py",
                "wanted = task.state == STARTING and self._evacuation.up_to_date(now)",
                "wanted = task.state == STARTING",
            ),
        ),
        "native_evacuation",
    ),
    Mutant(
        "native: a lease is renewed that a successor does not count on",
        (
            (
                "boxleases.py",
                "if box.incarnation in self._state.withdrawn_leases or ",
                "if ",
            ),
        ),
        "native_decider",
    ),
    Mutant(
        "native: failures together double the pause of a box",
        (
            (
                "boxes.py",
                "        if now < self.quarantined_until:\n",
                "        if False:\n",
            ),
        ),
        "native_policy",
    ),
    Mutant(
        "native: boxes that were put aside are closed to lasting work",
        (
            (
                "dispatch.py",
                "                box is None\n                and step.long_running\n",
                "                False\n",
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
                "pollbudget.py",
                "if self._long_polls < share * self._connections:",
                "if share:",
            ),
        ),
        "load_many_boxes",
    ),
    Mutant(
        "native: shifted: sizes of jobs that were left behind wait on",
        (
            (
                "waitingorder.py",
                "served = not self._sizes.is_underserved(self._size_class(workflow))",
                "served = True",
            ),
        ),
        "load_wide_jobs",
    ),
    Mutant(
        "native: shifted: requests go on to a decider that answers nothing",
        (
            (
                "answering.py",
                "        return True\n\n    def next_retry_after_s",
                "        return False\n\n    def next_retry_after_s",
            ),
        ),
        "load_store_away",
    ),
    Mutant(
        "native: kept: an append may be empty and share its number with the next",
        (
            (
                "journal.py",
                "records = self._digest_tracker.with_digest(batch, mark)\n"
                "        self._sequence += 1\n"
                "        writer = Writer(self._epoch, self._sequence)",
                "records = list(batch)\n        number = self._sequence + 1\n"
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
        (("succession.py", "if fault is None:", "if True:"),),
        "succession",
    ),
    Mutant(
        "native: kept: a new life decides in an epoch of the life before",
        (("statedigest.py", "IncompleteRead(Verdict.EPOCH_REUSED, reason)", "None"),),
        "succession",
    ),
    Mutant(
        "native: kept: starts leave however old the right is",
        (
            (
                "boxpoller.py",
                "needs_leader_lease = priority != URGENT",
                "needs_leader_lease = False",
            ),
        ),
        "leaving_orders",
    ),
    Mutant(
        "native: kept: a newer epoch that others follow puts nothing in doubt",
        (
            (
                "session.py",
                "            self._leader_lease.invalidate()",
                "            pass",
            ),
        ),
        "leaving_orders",
    ),
    Mutant(
        "native: limits: at most 200 pages are read",
        (
            (
                "newestread.py",
                "            if page.more and self._repeats_a_key(page):",
                "            if page.more and (self._pages > 200 or self._repeats_a_key(page)):",
            ),
        ),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: a read begins at the first page again",
        (
            (
                "succession.py",
                "            outcome = await reader.read_pages(PAGE_TIMEOUT_S)",
                "            reader = NewestReader(self._store, JOBS_TOPIC, 0)\n"
                "            outcome = await reader.read_pages(PAGE_TIMEOUT_S)",
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
        (("session.py", "            unfreeze_allocations()\n", ""),),
        "take_over_pages",
    ),
    Mutant(
        "native: limits: the first 500 ends count as all",
        (("fleet.py", "        if poll.more_ends:", "        if False:"),),
        "many_ends",
    ),
    Mutant(
        "native: limits: tries to take over begin below the epoch that was refused",
        (
            (
                "claiming.py",
                "max(newest_known, self._refused_epoch)",
                "newest_known",
            ),
        ),
        "own_limits",
    ),
    Mutant(
        "native: limits: advice is asked about the same boxes for ever",
        (
            (
                "stepadvice.py",
                "not in self._tickets and incarnation not in self._rejected",
                "not in self._tickets",
            ),
        ),
        "own_limits",
    ),
    Mutant(
        "advice: several calls are open at once",
        (("advicepace.py", "return self._sent_at is None and now", "return now"),),
        "advice_calls",
    ),
    Mutant(
        "advice: a call after one that was given up gets no more time",
        (("advicepace.py", "timeout_s * 2.0**self._timeouts", "timeout_s"),),
        "advice_calls",
    ),
    Mutant(
        "advice: an answer replaces the tickets of the one before",
        (
            (
                "stepadvice.py",
                "        for incarnation in asked:\n",
                "        self._tickets.clear()\n        for incarnation in asked:\n",
            ),
        ),
        "advice_calls",
    ),
    Mutant(
        "advice: the most urgent step is always asked about",
        (("advicerequests.py", "if self._calls % 2 == 0:", "if True:"),),
        "advice_calls",
    ),
    Mutant(
        "advice: a rejected ticket is used again",
        (("scheduler.py", 'if outcome.reason == "ticket":', "if False:"),),
        "advice_calls",
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
