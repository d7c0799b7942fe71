"""Outcomes of a request; every request ends in exactly one of them.

:class:`NotRun` is returned only with proof that no endpoint started the work. Without
that proof the outcome is :class:`Unknown`."""

import dataclasses
import enum
import typing as t

__all__ = ["Accepted", "Answered", "NotRun", "Outcome", "Reason", "Rejected", "Unknown"]


class Reason(enum.Enum):
    """Why a request was not run, rejected, or left unknown."""

    OVERLOADED = "overloaded"
    ACCOUNT_LIMIT = "account_limit"
    NO_ENDPOINT = "no_endpoint"
    HALL_UNREACHABLE = "hall_unreachable"
    DEADLINE = "deadline"
    REFUSED = "refused"
    NEVER_SENT = "never_sent"
    LOG_UNAVAILABLE = "log_unavailable"
    STOPPING = "stopping"
    KEY_SEEN = "key_seen"
    KEY_TOO_OLD = "key_too_old"
    KEY_OWNER_MISSING = "key_owner_missing"
    CONNECTION_LOST = "connection_lost"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    CAN_NEVER_RUN = "can_never_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint sent a complete answer; the adapter holds its body."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A fact has been written to the log and read back at ``offset``."""

    subject: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Proved not to have run; the caller may retry after ``retry_after_s`` seconds."""

    reason: Reason
    retry_after_s: float
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """May have run; repeating it without a check could run it twice."""

    reason: Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The input is invalid or not permitted; nothing was changed."""

    reason: Reason
    detail: str


Outcome: t.TypeAlias = Answered | Accepted | NotRun | Unknown | Rejected
