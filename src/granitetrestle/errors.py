"""All exceptions of the package in one place, under one base, so that a caller
can catch :class:`GranitetrestleError` and read from the subclass what to do
next. Each carries a stable ``code``, the HTTP status the API answers with, and
the exit code of the command line."""

import typing as t

__all__ = [
    "AccessDenied",
    "CallerGone",
    "ConflictError",
    "FrameError",
    "GranitetrestleError",
    "InvalidInput",
    "InvariantViolated",
    "LogGapError",
    "LogUnavailable",
    "MalformedEntry",
    "MalformedDirective",
    "NotFound",
    "NotRunError",
    "OutcomeUnknown",
    "SettingsError",
    "UnknownMechanism",
    "UnreachableError",
    "UnreadableRecord",
]


class GranitetrestleError(Exception):
    """Base of every error that this package raises.

    :param message: what happened, for a person.
    :param next_step: what the reader can do about it.
    """

    code: t.ClassVar[str] = "internal"
    http_status: t.ClassVar[int] = 500
    exit_code: t.ClassVar[int] = 1

    def __init__(self, message: str, next_step: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.next_step = next_step


class SettingsError(GranitetrestleError):
    """The settings of a process are invalid; nothing was started.

    :param problems: every problem found, not only the first.
    """

    code = "settings"
    exit_code = 78

    def __init__(self, problems: t.Sequence[str]) -> None:
        super().__init__("; ".join(problems), "correct every setting listed")
        self.problems = tuple(problems)


class UnknownMechanism(SettingsError):
    """A mechanism to switch off is not one of ours; nothing was started.

    :param unknown: the words that name none.
    :param known: every name there is.
    """

    code = "unknown_mechanism"

    def __init__(self, unknown: t.Sequence[str], known: t.Sequence[str]) -> None:
        names = ", ".join(known)
        super().__init__(
            [f"{name!r} is no mechanism; known: {names}" for name in unknown]
        )
        self.unknown = tuple(unknown)
        self.known = tuple(known)


class InvalidInput(GranitetrestleError):
    """A request, name, body or cell is malformed; nothing was changed."""

    code = "invalid_input"
    http_status = 400
    exit_code = 2


class AccessDenied(GranitetrestleError):
    """The bearer token is missing, wrong, or not enough for this call."""

    code = "access_denied"
    http_status = 403
    exit_code = 3


class CallerGone(GranitetrestleError):
    """The caller hung up before its request was sent; it was not run."""

    code = "caller_gone"
    http_status = 499


class NotFound(GranitetrestleError):
    """The named account, job, box or service does not exist."""

    code = "not_found"
    http_status = 404
    exit_code = 4


class ConflictError(GranitetrestleError):
    """Another edit won the race for a cell; this one changed nothing."""

    code = "conflict"
    http_status = 409
    exit_code = 5


class NotRunError(GranitetrestleError):
    """The request was proved not to have run; it is safe to send it again.

    :param retry_after_s: when to come back, in seconds.
    """

    code = "not_run"
    http_status = 503
    exit_code = 6

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message, f"send it again in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class OutcomeUnknown(GranitetrestleError):
    """The request may or may not have taken effect; look before repeating."""

    code = "unknown"
    http_status = 504
    exit_code = 7


class UnreachableError(GranitetrestleError):
    """No process of the system answered at the given addresses."""

    code = "unreachable"
    http_status = 502
    exit_code = 8


class LogUnavailable(GranitetrestleError):
    """The platform's log did not answer, or answered with a failure."""

    code = "log_unavailable"
    http_status = 503


class LogGapError(GranitetrestleError):
    """Records before ``first`` have expired; the reader must rebuild.

    :param first: the oldest offset that the log still keeps.
    """

    code = "log_gap"

    def __init__(self, stream: str, first: int) -> None:
        super().__init__(f"stream {stream} starts at {first}", "rebuild from snapshot")
        self.stream = stream
        self.first = first


class MalformedEntry(GranitetrestleError):
    """What the store holds of a box can't be read, or names no box to use.

    :param key: its key in the store.
    """

    code = "malformed_entry"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}", "find out who writes this entry")
        self.key = key


class MalformedDirective(GranitetrestleError):
    """What operators ask under a key can't be read; it changes nothing.

    :param key: the order's key in the store.
    :param hall: the data hall that it names, or empty.
    """

    code = "malformed_order"

    def __init__(self, key: str, reason: str, hall: str = "") -> None:
        super().__init__(f"{key}: {reason}", "write the order again")
        self.key = key
        self.hall = hall


class UnreadableRecord(GranitetrestleError):
    """A record that a decider wrote can't be decoded; the others are taken up.

    :param key: the record's key in the store.
    """

    code = "unreadable_record"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}", "nothing of it is started for a while")
        self.key = key


class FrameError(GranitetrestleError):
    """A message between processes can't be decoded; it is dropped whole."""

    code = "frame"
    http_status = 400


class InvariantViolated(GranitetrestleError):
    """A promise of the product does not hold in this state: a bug."""

    code = "invariant"
