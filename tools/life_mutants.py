"""Mutants of what tells the lives of a box apart."""

from mutant import Mutant

__all__ = ["LIFE_MUTANTS"]

LIFE_MUTANTS = (
    Mutant(
        "life: boxes that are lost in waves count as crashed by what had just begun",
        (
            (
                "crashevidence.py",
                "return (together + overlaps) / (1 + number)",
                "return 0.0",
            ),
        ),
        "crash_evidence",
    ),
    Mutant(
        "life: whoever has the id is taken for the life",
        (
            (
                "incarnations.py",
                "return incarnation in (\n"
                "        incarnation_name(box_id, started_ms),\n"
                "        incarnation_name(box_id, None),\n"
                "    )",
                "return box_id_of(incarnation) == box_id",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: a new connection is used without asking who answers",
        (
            (
                "calls.py",
                "if self.party is None or not self.verify_first:",
                "if True:",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: the answer to a first look counts whoever gave it",
        (
            (
                "calls.py",
                "if matches or (matches is None and verified):",
                "if True:",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: nobody who answers is taken for another life",
        (
            (
                "platform/boxes.py",
                "if born is None:\n        return BoxNoAnswer",
                "if True:\n        return BoxNoAnswer",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: a name is made of the id alone",
        (
            (
                "incarnations.py",
                "if started_ms is None:",
                "if True:",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: a successor keeps what stood on earlier lives of a box that answers",
        (("fleet.py", "effects += self._reclaim_earlier(box, now)\n", ""),),
        "restarted_box",
    ),
    Mutant(
        "life: records that name a box by its id are about no listed life",
        (
            (
                "fleet.py",
                "for name in {box.incarnation, box.entry.box_id}:",
                "for name in {box.incarnation}:",
            ),
        ),
        "restarted_box",
    ),
    Mutant(
        "life: the next life of an id ends the one before only at the same address",
        (("fleet.py", "by_id.get(box.entry.box_id) or ", ""),),
        "restarted_box",
    ),
    Mutant(
        "life: advice is asked for by the names of lives",
        (
            (
                "platform/advice.py",
                "by_id = {box_id_of(incarnation): incarnation for incarnation in incarnations}",
                "by_id = {incarnation: incarnation for incarnation in incarnations}",
            ),
        ),
        "restarted_box",
    ),
)
