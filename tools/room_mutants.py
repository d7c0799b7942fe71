"""Mutants of what finds room for long-running tasks that are due."""

from mutant import Mutant

__all__ = ["ROOM_MUTANTS"]

ROOM_MUTANTS = (
    Mutant(
        "room: no task is due",
        (("duetasks.py", ">= DUE_AFTER_S:", ">= 1e9:"),),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: all tasks are due at once",
        (("duetasks.py", "DUE_AFTER_S: t.Final = 4.2", "DUE_AFTER_S: t.Final = 0.0"),),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: due tasks wait for reserved room",
        (("headroom.py", "if due:\n", "if False:\n"),),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: due tasks are placed after others",
        (
            (
                "dispatch.py",
                "effects = self._place_due(now, wall_ms, limits.total)",
                "effects: list[Decision] = []",
            ),
        ),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: the tasks that are due are placed in any order",
        (
            (
                "duetasks.py",
                "    due.sort(key=lambda step: step.tasks[0].idle_since)\n",
                "",
            ),
        ),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: a lost task is idle only since its lease ended",
        (
            (
                "progress.py",
                "lost_at if ran else task.idle_since",
                "now if ran else task.idle_since",
            ),
        ),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: a start that was withdrawn counts as a run",
        (
            (
                "progress.py",
                "now if task.running_since else task.idle_since",
                "now",
            ),
        ),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: a successor counts the idle time anew",
        (
            (
                "jobrestore.py",
                "task.idle_since = time.steady(row.idle_since_ms, now)",
                "pass",
            ),
        ),
        "room_for_due_tasks",
    ),
    Mutant(
        "room: the log counts room that was not taken",
        (
            (
                "roomtakers.py",
                "if box is None or is_eligible(watch.entry.spec, task, box):",
                "if box is None:",
            ),
        ),
        "room_for_due_tasks",
    ),
)
