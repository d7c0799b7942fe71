"""Tagged outcomes of a request. Every request ends in exactly one of them, and
the difference between :class:`NotRun` and :class:`Unknown` is a promise: the
first is given only with proof that no endpoint began the work."""

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
    """The endpoint answered whole; the body is held by the adapter."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A fact is on the log and was read back at ``offset``."""

    subject: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Proved not to have run. ``retry_after_s`` tells when to come back."""

    reason: Reason
    retry_after_s: float
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """May have run; must not be repeated blindly."""

    reason: Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The input was refused for what it says; nothing changed."""

    reason: Reason
    detail: str


Outcome: t.TypeAlias = Answered | Accepted | NotRun | Unknown | Rejected
