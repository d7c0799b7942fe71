"""Mutants of how commands and work wait while there is too little of something."""

from mutant import Mutant

__all__ = ["LOAD_MUTANTS"]

LOAD_MUTANTS = (
    Mutant(
        "load: one window for all areas",
        (
            (
                "commandpaths.py",
                "return self._areas.get(hall, self._own_area)",
                "return self._own_area",
            ),
        ),
        "load_far_area",
    ),
    Mutant(
        "load: latencies are compared with those of nearer data halls",
        (
            (
                "commandwindow.py",
                "shortest = self._shortest_answers.setdefault(\n            hall,",
                'shortest = self._shortest_answers.setdefault(\n            "",',
            ),
        ),
        "load_far_area",
    ),
    Mutant(
        "load: the first path takes all commands in flight",
        (
            (
                "commandwindow.py",
                "if best is None or (priority, window.in_flight) < best[:2]:",
                "if best is None:",
            ),
        ),
        "load_far_area",
    ),
    Mutant(
        "load: starts don't count against the limit of their path",
        (("startlimits.py", "self._left[path] -= 1", "pass"),),
        "load_far_area",
    ),
    Mutant(
        "load: a pass that exhausted a path counts as complete",
        (
            (
                "dispatch.py",
                "self._cut_short = self._cut_short or limits.path_exhausted",
                "pass",
            ),
        ),
        "load_far_area",
    ),
    Mutant(
        "load: use beyond the cores of a box is counted as measured",
        (("roomaccount.py", "if used > box.entry.cpu:", "if False:"),),
        "room_account",
    ),
    Mutant(
        "load: room counts as obstructed though fewer tasks wait",
        (("roomaccount.py", "if obstructed <= wanted:", "if True:"),),
        "room_account",
    ),
    Mutant(
        "load: what slowed tasks leave counts as free",
        (("roomaccount.py", "slowed = min(unused, _slowed_cpu(box))", "slowed = 0.0"),),
        "room_account",
    ),
    Mutant(
        "load: boxes that get no tasks count as open",
        (("roomaccount.py", "if not box.open_for_work(now):", "if False:"),),
        "room_account",
    ),
    Mutant(
        "load: a pair that was never observed counts as observed",
        (
            (
                "roomaccount.py",
                "return RoomUse.TARGET if observed else RoomUse.UNKNOWN",
                "return RoomUse.TARGET",
            ),
        ),
        "room_account",
    ),
    Mutant(
        "load: shares of a box without processor time are taken",
        (("boxes.py", "cpu / max(1, self.entry.cpu)", "cpu / self.entry.cpu"),),
        "foreign_records",
    ),
)
