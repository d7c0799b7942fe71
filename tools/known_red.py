"""Judges a run of the scenarios against ``KNOWN-RED.txt``: faults that are known and not
mended yet. CI passes over just these, and prints them; a scenario that is listed and does
not fail any more has to come off the list.

    python tools/known_red.py REPORT.json [KNOWN-RED.txt]

The report is behave's own, in JSON. A line of the list has five parts, with ``|``
between: FILE: SCENARIO | cause | command and seed | what was seen | issue. Lines that are
empty or begin with ``#`` don't count. Ends with ``N passed, N failed``.
"""

import json
import pathlib
import sys
import typing as t

ROOT: t.Final = pathlib.Path(__file__).resolve().parent.parent
PARTS: t.Final = ("scenario", "cause", "command and seed", "what was seen", "issue")
PASSED: t.Final = "passed"
# Of why a scenario failed so many characters are printed.
REASON_LENGTH: t.Final = 400
# Scenarios that behave leaves out by itself, as by a tag.
LEFT_OUT: t.Final = frozenset({"skipped"})


class KnownRed(t.NamedTuple):
    """A scenario that fails for a known fault.

    :param scenario: its file and its name.
    """

    scenario: str
    line: str


class Verdict(t.NamedTuple):
    """What a run of the scenarios comes to.

    :param passed_over: known faults that were seen again.
    :param complaints: all for which CI fails.
    """

    passed: int
    passed_over: list[KnownRed]
    complaints: list[str]


def read_list(text: str) -> tuple[list[KnownRed], list[str]]:
    """Return the known faults in ``text``, and what is wrong with the list."""
    known: list[KnownRed] = []
    complaints: list[str] = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(PARTS) or not all(parts):
            complaints.append(f"KNOWN-RED: not {' | '.join(PARTS)}: {line}")
            continue
        known.append(KnownRed(parts[0], line))
    return known, complaints


def read_report(text: str) -> dict[str, str]:
    """Return the status of each scenario, by file and name, and the reason if it is
    not a good one; rows of an outline are told apart by the values in their names."""
    results: dict[str, str] = {}
    for feature in json.loads(text):
        file = feature["location"].rpartition(":")[0]
        if feature["status"] == "failed" and not feature.get("elements"):
            results[f"{file}: (the file as a whole)"] = "failed"
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            name = element["name"].partition(" -- @")[0].strip()
            key = f"{file}: {name}"
            if results.get(key, PASSED) == PASSED:
                results[key] = _with_reason(element)
    return results


def _with_reason(element: t.Mapping[str, t.Any]) -> str:
    status = str(element["status"])
    for step in element.get("steps", ()):
        message = step.get("result", {}).get("error_message")
        if message:
            lines = message if isinstance(message, list) else message.splitlines()
            told = " ".join(line.strip() for line in lines if line.strip())
            return f"{status}: {told[:REASON_LENGTH]}"
    return status


def judge(results: t.Mapping[str, str], known_text: str) -> Verdict:
    """Return what a run comes to."""
    known, complaints = read_list(known_text)
    by_scenario = {entry.scenario: entry for entry in known}
    passed_over: list[KnownRed] = []
    passed = 0
    for scenario, status in results.items():
        if status in LEFT_OUT:
            continue
        if status == PASSED:
            passed += 1
        elif scenario in by_scenario:
            passed_over.append(by_scenario[scenario])
        else:
            complaints.append(f"FAILED: {scenario} ({status})")
    for entry in known:
        status = results.get(entry.scenario)
        if status is None:
            complaints.append(f"KNOWN-RED: no such scenario ran: {entry.scenario}")
        elif entry not in passed_over:
            complaints.append(f"KNOWN-RED: does not fail any more: {entry.scenario}")
    return Verdict(passed, passed_over, complaints)


def main() -> int:
    """Print the verdict; returns the exit code."""
    report = pathlib.Path(sys.argv[1])
    listed = pathlib.Path(sys.argv[2]) if len(sys.argv) > 2 else ROOT / "KNOWN-RED.txt"
    known_text = listed.read_text() if listed.exists() else ""
    try:
        results = read_report(report.read_text())
    except (OSError, ValueError, KeyError) as error:
        print(f"FAILED: the report of the scenarios can't be read: {error!r}")
        print("0 passed, 1 failed")
        return 1
    verdict = judge(results, known_text)
    if not verdict.passed:
        verdict.complaints.append("FAILED: no scenario passed")
    for entry in verdict.passed_over:
        print(f"known red, passed over: {entry.line}")
    for complaint in verdict.complaints:
        print(complaint)
    print(f"{verdict.passed} passed, {len(verdict.complaints)} failed")
    return 1 if verdict.complaints else 0


if __name__ == "__main__":
    sys.exit(main())
