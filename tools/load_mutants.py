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
)
