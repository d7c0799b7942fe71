"""``make mutants``: takes each mechanism out of a copy of the product and runs the
proof that stands for it, which must then fail. A proof that passes without its
mechanism proves nothing, and neither do scenarios that fail with it: those listed in
``KNOWN-RED.txt`` don't count."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from claim_mutants import CLAIM_MUTANTS
from crash_mutants import CRASH_MUTANTS
from known_red import PASSED
from known_red import read_list
from known_red import read_report
from lease_mutants import LEASE_MUTANTS
from life_mutants import LIFE_MUTANTS
from load_mutants import LOAD_MUTANTS
from mutant import Mutant
from native_mutants import NATIVE_MUTANTS
from older_mutants import OLDER_MUTANTS
from recovery_mutants import RECOVERY_MUTANTS
from repeat_mutants import REPEAT_MUTANTS
from review_mutants import REVIEW_MUTANTS
from room_mutants import ROOM_MUTANTS

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 240


MUTANTS = (
    *OLDER_MUTANTS,
    *NATIVE_MUTANTS,
    *CRASH_MUTANTS,
    *RECOVERY_MUTANTS,
    *LIFE_MUTANTS,
    *LEASE_MUTANTS,
    *CLAIM_MUTANTS,
    *LOAD_MUTANTS,
    *ROOM_MUTANTS,
    *REVIEW_MUTANTS,
    *REPEAT_MUTANTS,
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
        report = copy / "report.json"
        command = [sys.executable, "-m", "behave"]
        if not _known_red(mutant.feature):
            command.append("--stop")
        command += ["--format", "json", "--outfile", str(report)]
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
        if done.returncode == 0:
            return True
        return _only_known_failures(report, mutant)


def _known_red(feature: str) -> set[str]:
    """Return the scenarios of a feature that fail without any mutant."""
    known, _ = read_list((ROOT / "KNOWN-RED.txt").read_text())
    file = f"features/{feature}.feature"
    return {entry.scenario for entry in known if entry.scenario.startswith(f"{file}: ")}


def _only_known_failures(report: pathlib.Path, mutant: Mutant) -> bool:
    """Return whether only scenarios failed that fail without any mutant."""
    try:
        results = read_report(report.read_text())
    except (OSError, ValueError, KeyError):
        results = {}
    if not results:
        # Steps that can't be loaded prove nothing either.
        raise SystemExit(f"{mutant.what}: its scenarios don't run")
    failed = {name for name, status in results.items() if status != PASSED}
    return failed <= _known_red(mutant.feature)


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
