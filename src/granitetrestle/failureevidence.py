"""Log lines about the evidence on which jobs are failed, in plain words.

Lines of other versions may lack fields, which are shown as ``?``."""

import typing as t

from .failureways import FailureWay

__all__ = [
    "EVIDENCE_EVENTS",
    "Line",
    "describe_evidence",
    "describe_way",
    "summarize_way",
    "way_of",
]

# Up to here, odds are written out.
MAX_PLAIN_LOG_ODDS: t.Final = 6.0

# Events whose lines are evidence, by the way that they lead to.
EVIDENCE_EVENTS: t.Final[t.Mapping[str, frozenset[str]]] = {
    FailureWay.ATTEMPTS: frozenset({"run_failed"}),
    FailureWay.CRASHED_BOXES: frozenset(
        {"loss_weighed", "loss_not_counted", "run_lost"}
    ),
    FailureWay.LEADER_FAILURES: frozenset({"leading_failed"}),
    FailureWay.REFUSED_RECORD: frozenset({"record_refused"}),
}
Line: t.TypeAlias = t.Mapping[str, t.Any]


def way_of(line: Line) -> str:
    """Return the way that a line names by which a job is failed, or that follows from
    its other fields, which is all that older versions have; empty if nothing tells."""
    if isinstance(line.get("by"), str):
        return str(line["by"])
    if line["event"] == "job_set_aside":
        return FailureWay.LEADER_FAILURES
    if "failures" in line:
        return FailureWay.ATTEMPTS
    if "suspicion" in line:
        return FailureWay.CRASHED_BOXES
    if "why" in line:
        return FailureWay.REFUSED_RECORD
    return ""


def describe_way(line: Line) -> str:
    """Return why a job was failed, from the line that says that it was."""
    way = way_of(line)
    task = line.get("task", "?")
    if way == FailureWay.ATTEMPTS:
        return f"{_count(line, 'failures', 'run')} of task {task} ended failed{_limits(line)}"
    if way == FailureWay.CRASHED_BOXES:
        return (
            f"not for failed runs: task {task} is taken to crash the boxes that start "
            f"it, on {summarize_way(line)}"
        )
    if way == FailureWay.LEADER_FAILURES:
        return (
            "not for failed runs: leaders failed by an unexpected error while they "
            f"decided about the job{_epochs(line)}"
        )
    if way == FailureWay.REFUSED_RECORD:
        return (
            "not for failed runs: the store refuses a record of the job, so that a "
            "successor would not know what was decided about it"
        )
    return f"in a way that this version does not know: {way or 'none is named'}"


def _limits(line: Line) -> str:
    if "max_attempts" not in line:
        return ""
    allowed, accepted = line["max_attempts"], line.get("max_attempts_accepted")
    if not accepted or accepted == allowed:
        return f"; its queue allows {allowed}"
    return f"; its queue allows {allowed}, and {accepted} when the job was accepted"


def _epochs(line: Line) -> str:
    epochs = line.get("failed_epochs")
    if not isinstance(epochs, list):
        return ""
    return f", in the epochs {', '.join(map(str, epochs))}"


def summarize_way(line: Line) -> str:
    """Return in a few words on what a job was failed, from the line that says that it
    was."""
    way = way_of(line)
    if way == FailureWay.ATTEMPTS:
        runs = line.get("failed_runs")
        if not isinstance(runs, list):
            return _count(line, "failures", "failed run")
        return f"failed runs {', '.join(map(str, runs))}{_limits(line)}"
    if way == FailureWay.CRASHED_BOXES:
        evidence = _number(line, "evidence")
        if evidence is None:
            return f"suspicion of {_shown(line, 'suspicion')} points for lost boxes"
        losses = _count(line, "losses", "lost box", "lost boxes")
        return f"{losses}, by chance {_odds(evidence)}"
    if way == FailureWay.LEADER_FAILURES:
        return f"leaders failed{_epochs(line)}"
    if way == FailureWay.REFUSED_RECORD:
        return "refused record"
    return "?"


def describe_evidence(line: Line) -> str:
    """Return what a line of :data:`EVIDENCE_EVENTS` says."""
    return _DESCRIPTIONS[line["event"]](line)


def _describe_loss(line: Line) -> str:
    others = _count(line, "others_lost", "other box", "other boxes")
    suspects = "no other task" if line.get("alone") else "other tasks, too,"
    text = (
        f"{_run(line)} {_answer(line)}, and the box was lost within "
        f"{_shown(line, 'window_s')} s; {others} of {_shown(line, 'boxes')} lost around "
        f"that time; {suspects} can have caused it"
    )
    weight, evidence = _number(line, "weight"), _number(line, "evidence")
    if weight is None or evidence is None:
        return text
    return f"{text}; by chance {_odds(weight)}, with all before {_odds(evidence)}"


def _describe_uncounted_loss(line: Line) -> str:
    return f"{_run(line)} not counted: {_shown(line, 'why')}"


def _describe_suspected_run(line: Line) -> str:
    return (
        f"{_run(line)} {_answer(line)}, and the box fell silent "
        f"{_shown(line, 'silent_after_s')} s after the start, having answered up to "
        f"{_shown(line, 'seen_s')} s after it; {_shown(line, 'suspicion')} points so far"
    )


def _describe_failed_run(line: Line) -> str:
    failures, allowed = _shown(line, "failures"), _shown(line, "max_attempts")
    return f"{_run(line)} it ended failed; {failures} of {allowed} so far"


def _describe_leader_failure(line: Line) -> str:
    return f"the leader failed: {_shown(line, 'reason')}"


def _describe_refusal(line: Line) -> str:
    return (
        f"the store refuses the record {_shown(line, 'key')} of {_shown(line, 'size')} "
        f"bytes: {_shown(line, 'reason')}"
    )


_DESCRIPTIONS: t.Final[t.Mapping[str, t.Callable[[Line], str]]] = {
    "loss_weighed": _describe_loss,
    "loss_not_counted": _describe_uncounted_loss,
    "run_lost": _describe_suspected_run,
    "run_failed": _describe_failed_run,
    "leading_failed": _describe_leader_failure,
    "record_refused": _describe_refusal,
}


def _run(line: Line) -> str:
    return f"run {_shown(line, 'run')} on {_shown(line, 'box')}:"


def _answer(line: Line) -> str:
    return (
        "its start was answered" if line.get("answered") else "its start got no answer"
    )


def _shown(line: Line, key: str) -> str:
    return str(line.get(key, "?"))


def _number(line: Line, key: str) -> float | None:
    value = line.get(key)
    return float(value) if isinstance(value, int | float) else None


def _count(line: Line, key: str, one: str, many: str = "") -> str:
    number = line.get(key, "?")
    return f"{number} {one if number == 1 else many or f'{one}s'}"


def _odds(log_odds: float) -> str:
    """Return how unlikely something is, of which ``log_odds`` is the decimal logarithm."""
    if log_odds <= 0.0:
        return "likely"
    if log_odds < MAX_PLAIN_LOG_ODDS:
        return f"1 in {10.0**log_odds:,.0f}"
    return f"1 in 10^{log_odds:.1f}"
