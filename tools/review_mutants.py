"""Mutants of what keeps that which client accounts send from stopping a shard."""

from mutant import Mutant

__all__ = ["REVIEW_MUTANTS"]

REVIEW_MUTANTS = (
    Mutant(
        "records: long checkpoints stay in the record of their group",
        (("jobrecords.py", "        if not fits:\n", "        if False:\n"),),
        "long_records",
    ),
    Mutant(
        "records: a checkpoint of its own counts before one in the row",
        (
            (
                "longcheckpoints.py",
                "task.state != DONE and not task.checkpoint:",
                "task.state != DONE:",
            ),
        ),
        "long_records",
    ),
    Mutant(
        "records: checkpoints of jobs that are gone stay",
        (("longcheckpoints.py", "self._unneeded.append(name)", "pass"),),
        "long_records",
    ),
    Mutant(
        "records: unchanged checkpoints are written again",
        (
            (
                "longcheckpoints.py",
                "if stored.get(task) == checkpoint:",
                "if False:",
            ),
        ),
        "long_records",
    ),
    Mutant(
        "records: a checkpoint that no record can hold is written",
        (("longcheckpoints.py", "if record.size > self._record_bytes:", "if False:"),),
        "long_records",
    ),
    Mutant(
        "records: names of images of any length are keys",
        (
            (
                "shardstate.py",
                "if len((INTERFERENCE_KEY + image).encode()) <= MAX_KEY_BYTES:",
                "if True:",
            ),
        ),
        "long_records",
    ),
    Mutant(
        "records: any number of images is in one record",
        (("interference.py", "        if size <= left:\n", "        if True:\n"),),
        "long_records",
    ),
    Mutant(
        "records: a job is measured without the time of its acceptance",
        (("jobrecords.py", "accepted_ms=MAX_SHARD_TIME_MS", "accepted_ms=0"),),
        "own_limits",
    ),
    Mutant(
        "journal: a refused append is not taken back from the digest",
        (("journal.py", "            self._digest_tracker.undo()\n", ""),),
        "own_limits",
    ),
    Mutant(
        "journal: a refused append uses up its number",
        (("journal.py", "            self._sequence -= 1\n", ""),),
        "own_limits",
    ),
    Mutant(
        "journal: a store that refuses everything leaves records out",
        (
            (
                "journal.py",
                "            if not isinstance(without, Appended):\n                return",
                "            if False:\n                return",
            ),
            (
                "journal.py",
                "if isinstance(without, Appended):\n            (record,)",
                "if True:\n            (record,)",
            ),
        ),
        "own_limits",
    ),
    Mutant(
        "journal: a record is left out after a single refusal",
        (
            (
                "journal.py",
                "REFUSALS_BEFORE_LEFT_OUT: t.Final = 3",
                "REFUSALS_BEFORE_LEFT_OUT: t.Final = 1",
            ),
        ),
        "failed_without_cause",
    ),
    Mutant(
        "progress: a route without attempts fails a job without a failed run",
        (("progress.py", "max(1, queue.max_attempts)", "queue.max_attempts"),),
        "failed_without_cause",
    ),
    Mutant(
        "signals: handled until the first that asks to stop",
        (
            (
                "stopsignals.py",
                "                self._stop.set()\n",
                "                self._stop.set()\n                self._stack.close()\n",
            ),
        ),
        "native_whole_path",
    ),
    Mutant(
        "pace: what is left may be below 0",
        (("overload.py", "    tolerable = max(0.0, tolerable)\n", ""),),
        "account_figures",
    ),
    Mutant(
        "decoding: what is nested too deeply passes",
        (("errors.py", "    RecursionError,\n", ""),),
        "account_figures",
    ),
    Mutant(
        "odd entries: a port may have any number of digits",
        (
            ("calls.py", " and len(port) <= MAX_PORT_DIGITS", ""),
            (
                "feeds.py",
                "except Exception as error:\n                self._log_rejected",
                "except KeyError as error:\n                self._log_rejected",
            ),
        ),
        "odd_input",
    ),
    Mutant(
        "odd entries: any key is the id of a box",
        (("platform/boxes.py", "if not _is_box_id(record.key):", "if False:"),),
        "odd_input",
    ),
    Mutant(
        "odd entries: an unforeseen error of a decoder ends the leader",
        (
            (
                "feeds.py",
                "except Exception as error:\n                self._log_rejected",
                "except KeyError as error:\n                self._log_rejected",
            ),
        ),
        "odd_input",
    ),
    Mutant(
        "odd entries: no configuration is kept for a successor",
        (("feeds.py", "kept_config.keep(self._config_record)", "kept_config"),),
        "odd_input",
    ),
    Mutant(
        "configuration: a read is dated by when it is processed",
        (("feeds.py", "self._read_at = as_of", "self._read_at = steadyclock.now()"),),
        "stale_configuration",
    ),
    Mutant(
        "forwarded: each copy of a request is answered",
        (("forwardedcalls.py", "if key in self._under_way:", "if False:"),),
        "native_parts",
    ),
    Mutant(
        "cancels: those of unknown jobs are not kept",
        (
            (
                "scheduler.py",
                "            self._state.early_cancels.add(call.job, now)\n",
                "",
            ),
        ),
        "early_cancels",
    ),
    Mutant(
        "cancels: a successor does not know them",
        (
            (
                "shardstate.py",
                "        self.early_cancels.restore(records, now)\n",
                "",
            ),
        ),
        "early_cancels",
    ),
    Mutant(
        "cancels: kept for ever",
        (("earlycancels.py", "KEEP_S: t.Final = 60.0", "KEEP_S: t.Final = 1e9"),),
        "early_cancels",
    ),
    Mutant(
        "standstills: requests that waited have their whole time",
        (("standstills.py", "return now - self._began_at if", "return 0.0 if"),),
        "early_cancels",
    ),
    Mutant(
        "routes: a removed queue is forgotten at once",
        (("shardstate.py", "{**kept, **{queue.name", "{**{queue.name"),),
        "removed_routes",
    ),
    Mutant(
        "routes: a successor does not know a job's attempts",
        (
            (
                "progress.py",
                "return max(1, submission.max_attempts or DEFAULT_MAX_ATTEMPTS)",
                "return DEFAULT_MAX_ATTEMPTS",
            ),
        ),
        "removed_routes",
    ),
    Mutant(
        "queues: a job is known under the longest prefix alone",
        (
            (
                "platform/front.py",
                "        known = self._by_name.get(queue)\n",
                "        known = self.find(host, path)\n"
                "        if known is not None and known.name != queue:\n"
                "            return False\n",
            ),
        ),
        "other_queues",
    ),
    Mutant(
        "placement: a GPU that is missing is remembered for all",
        (("boxsearch.py", "        step.gpu,\n", ""),),
        "hopeless_jobs",
    ),
    Mutant(
        "placement: what advice allows is remembered for all",
        (
            (
                "boxsearch.py",
                "(job, entry.occurrence, entry.step) if advised else None",
                "job and None",
            ),
        ),
        "hopeless_jobs",
    ),
)
