"""Mutants of what a successor concludes from claims that no append follows."""

from mutant import Mutant

__all__ = ["CLAIM_MUTANTS"]

PROOF = "claims_without_appends"

CLAIM_MUTANTS = (
    Mutant(
        "claims: one of an older version is passed over too",
        (("statedigest.py", "all(c.witnessed for c in earlier)", "all(earlier)"),),
        PROOF,
    ),
    Mutant(
        "claims: what follows the mark need not be claims",
        (
            (
                "statedigest.py",
                "if len(records) != count or any(r.key != EPOCH_CLAIM_KEY for r in records):",
                "if len(records) != count:",
            ),
        ),
        PROOF,
    ),
    Mutant(
        "claims: records that are not read are passed over",
        (
            (
                "statedigest.py",
                "if len(records) != count or any(",
                "if not records:\n        return claim.newest_known\n    if any(",
            ),
        ),
        PROOF,
    ),
    Mutant(
        "claims: none is passed over",
        (
            (
                "statedigest.py",
                "if passed_over and not stored.panel:",
                "if passed_over:",
            ),
        ),
        PROOF,
    ),
    Mutant(
        "claims: what a leader says of itself counts for those passed over",
        (
            (
                "inheritedleases.py",
                "if mark is not None and mark.passed_over:",
                "if mark is not None and False:",
            ),
        ),
        PROOF,
    ),
    Mutant(
        "claims: a leader renews on its claim before its first append",
        (("leaderlease.py", "if not self._journal.has_appended:", "if False:"),),
        "witness_rules",
    ),
)
