"""Runs storms of :mod:`random_storms`, and prints what they came to."""

import math
import typing as t

from granitetrestle_standins.shardworld import PromiseBroken
from random_storms import CULPRIT_KINDS
from random_storms import RandomStorm
from storm_judge import MAX_CALM_S
from storm_judge import MAX_CRASHES
from storm_judge import MAX_LASTING_WAIT_S
from storm_judge import MAX_WAIT_S


class StormResult(t.NamedTuple):
    """What a seed came to.

    :param innocent: the jobs shown as failed that did nothing wrong, each with the
        lines that were logged about it.
    :param jobs: how many jobs were accepted.
    :param late: how many tasks waited for longer than they may, by whether they are
        long-running.
    :param broken: the promise that did not hold, if any.
    """

    seed: int
    innocent: dict
    jobs: int
    culprits: list
    waits: list
    late: dict
    broken: str


def run_storm(seed):
    """Run a seed, and return what it came to."""
    storm = RandomStorm(seed)
    judge, broken, culprits = storm.judge, "", None
    try:
        storm.run()
        culprits = storm.culprits()
        storm.settle()
    except PromiseBroken as error:
        broken = str(error)
    if culprits is None:
        culprits = storm.culprits()
    innocent = {job: judge.lines_of(job) for job in judge.innocent_failures()}
    if any(broken == f"{job} counts as failed" for job in innocent):
        broken = ""
    waits = [wait for wait in judge.waits.values() if wait is not None]
    jobs = len(storm.world.accepted)
    late = {kind: len(tasks) for kind, tasks in judge.late.items()}
    return StormResult(seed, innocent, jobs, culprits, waits, late, broken)


def print_storms(seeds):
    """Run seeds, and print what each came to that is not as it should be, and the sums."""
    results = []
    for seed in seeds:
        result = run_storm(seed)
        results.append(result)
        _print_faults(result)
    _print_sums(results)


def _print_faults(result):
    for job, lines in result.innocent.items():
        print(f"seed {result.seed}: innocent job {job} counts as failed", flush=True)
        for line in lines:
            print(f"    {line}")
    for culprit in result.culprits:
        if culprit.crashes > MAX_CRASHES or not culprit.ended:
            print(f"seed {result.seed}: {culprit}", flush=True)
    if result.broken:
        print(f"seed {result.seed}: broken: {result.broken}", flush=True)


def _print_sums(results):
    culprits = [culprit for result in results for culprit in result.culprits]
    crashes = [culprit.crashes for culprit in culprits]
    times = [c.failed_after_s for c in culprits if c.failed_after_s is not None]
    jobs, innocent = (
        sum(result.jobs for result in results),
        sum(len(result.innocent) for result in results),
    )
    without = [result for result in results if not result.culprits]
    print(
        f"{len(results)} storms: {innocent} innocent jobs shown as failed, of {jobs} "
        f"jobs, in {sum(bool(r.innocent) for r in results)} seeds; "
        f"{sum(len(r.innocent) for r in without)} of {sum(r.jobs for r in without)} in "
        f"the {len(without)} storms without culprits; "
        f"{sum(bool(r.broken) for r in results)} seeds broke a promise"
    )
    endless = [culprit for culprit in culprits if not culprit.ended]
    late = [culprit for culprit in endless if culprit.calm_s >= MAX_CALM_S]
    print(
        f"{len(endless)} culprits had not ended, {len(late)} of them though it had been "
        f"calm for {MAX_CALM_S:g} s"
    )
    if crashes:
        print(
            f"{len(culprits)} culprits: {sum(crashes) / len(crashes):.2f} boxes lost "
            f"by each, at most {max(crashes)}, "
            f"{sum(n > MAX_CRASHES for n in crashes)} above {MAX_CRASHES}"
        )
    for kind in CULPRIT_KINDS:
        of_kind = [c.crashes for c in culprits if c.behavior == kind]
        if of_kind:
            print(
                f"    {kind}: {len(of_kind)}, {sum(of_kind) / len(of_kind):.2f} boxes, "
                f"at most {max(of_kind)}, {sum(n > MAX_CRASHES for n in of_kind)} above "
                f"{MAX_CRASHES}"
            )
    if times:
        times.sort()
        print(
            f"{len(times)} culprits shown as failed, after "
            f"{sum(times) / len(times):.1f} s, 0.9 of them within "
            f"{times[math.ceil(0.9 * len(times)) - 1]:.1f} s, at most {times[-1]:.1f} s"
        )
    for long_running in (False, True):
        waits = [
            (wait.seconds, result.seed, wait)
            for result in results
            for wait in result.waits
            if wait.long_running is long_running
        ]
        if waits:
            seconds, seed, wait = max(waits)
            kind = "long-running task" if long_running else "task"
            target_s = MAX_LASTING_WAIT_S if long_running else MAX_WAIT_S
            print(
                f"longest wait of a {kind} in calm and with room: {seconds:.2f} s, "
                f"{wait.task} of seed {seed}, until {wait.at:.2f}; "
                f"{sum(result.late[long_running] for result in results)} waited for "
                f"more than {target_s:g} s"
            )
