"""Types of fields that other programs write.

A decoder accepts integers of any length in JSON, and numbers that are not finite in
MessagePack. What is decoded with these types can be calculated with, and written again:
otherwise one record ends each leader that reads it."""

import typing as t

import msgspec

__all__ = ["Epoch", "Integer", "Real"]

# One less than what fits into 64 bits, so that a number can still be counted up.
_MAX_INTEGER: t.Final = 2**63 - 1
# Squares and sums of such numbers are finite.
_MAX_REAL: t.Final = 1e100

Integer = t.Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]
# Boxes keep epochs too, and calculate with them as with any JSON number.
Epoch = t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Real = t.Annotated[float, msgspec.Meta(ge=-_MAX_REAL, le=_MAX_REAL)]
