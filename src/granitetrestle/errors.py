"""Exceptions of the package, all subclasses of :class:`GranitetrestleError`.

The subclass tells a caller how to proceed. Each has a stable ``code``, the HTTP status of
the API's answer, and the exit code of the command line."""

import typing as t

import msgspec

__all__ = [
    "DECODE_ERRORS",
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
    "UnstorableRecord",
]


# What decoding data of another program raises. RecursionError: it is nested too deeply,
# also in a field that is not read. ValueError, which UnicodeDecodeError is too, and
# OverflowError: a text or a number that can't be converted.
DECODE_ERRORS: t.Final = (
    msgspec.DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
)


class GranitetrestleError(Exception):
    """Base of the package's exceptions.

    :param message: description of the error, for a person.
    :param next_step: advice on how to resolve it.
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
    """The name of a mechanism to switch off is unknown; nothing was started.

    :param unknown: the unknown names.
    :param known: the names of all mechanisms.
    """

    code = "unknown_mechanism"

    def __init__(self, unknown: t.Sequence[str], known: t.Sequence[str]) -> None:
        names = ", ".join(known)
        super().__init__(
            [f"unknown mechanism {name!r}; known: {names}" for name in unknown]
        )
        self.unknown = tuple(unknown)
        self.known = tuple(known)


class InvalidInput(GranitetrestleError):
    """A request, name, body or cell is malformed; nothing was changed."""

    code = "invalid_input"
    http_status = 400
    exit_code = 2


class AccessDenied(GranitetrestleError):
    """The bearer token is missing, invalid, or lacks the permission for this call."""

    code = "access_denied"
    http_status = 403
    exit_code = 3


class CallerGone(GranitetrestleError):
    """The caller closed its connection before its request was sent; it was not run."""

    code = "caller_gone"
    http_status = 499


class NotFound(GranitetrestleError):
    """The named account, job, box or service does not exist."""

    code = "not_found"
    http_status = 404
    exit_code = 4


class ConflictError(GranitetrestleError):
    """A concurrent edit changed the cell first; this one changed nothing."""

    code = "conflict"
    http_status = 409
    exit_code = 5


class NotRunError(GranitetrestleError):
    """The request was proved not to have run; it is safe to send it again.

    :param retry_after_s: delay in seconds after which to retry.
    """

    code = "not_run"
    http_status = 503
    exit_code = 6

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message, f"send it again in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


class OutcomeUnknown(GranitetrestleError):
    """The request may or may not have taken effect; check before repeating it."""

    code = "unknown"
    http_status = 504
    exit_code = 7


class UnreachableError(GranitetrestleError):
    """No process of the system answered at the given addresses."""

    code = "unreachable"
    http_status = 502
    exit_code = 8


class LogUnavailable(GranitetrestleError):
    """The platform's log did not answer, or answered with an error."""

    code = "log_unavailable"
    http_status = 503


class LogGapError(GranitetrestleError):
    """Records before ``first`` have expired; the reader must rebuild its state.

    :param first: the oldest offset that the log still holds.
    """

    code = "log_gap"

    def __init__(self, stream: str, first: int) -> None:
        super().__init__(
            f"records of stream {stream} before offset {first} have expired",
            "rebuild from a snapshot",
        )
        self.stream = stream
        self.first = first


class MalformedEntry(GranitetrestleError):
    """The store's entry of a box can't be decoded, or lacks data needed to use the box.

    :param key: its key in the store.
    """

    code = "malformed_entry"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"{key}: {reason}", "correct the program that writes this entry"
        )
        self.key = key


class MalformedDirective(GranitetrestleError):
    """An operators' directive can't be decoded; it has no effect.

    :param key: the directive's key in the store.
    :param hall: the data hall that it names, or an empty string.
    :param is_config: whether it stands in the place of the configuration.
    """

    code = "malformed_order"

    def __init__(
        self, key: str, reason: str, hall: str = "", is_config: bool = False
    ) -> None:
        super().__init__(f"{key}: {reason}", "correct the directive and write it again")
        self.key = key
        self.hall = hall
        self.is_config = is_config


class UnreadableRecord(GranitetrestleError):
    """A record that a leader wrote can't be decoded; the other records are restored.

    :param key: the record's key in the store.
    """

    code = "unreadable_record"

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}", "its tasks are not started for a while")
        self.key = key


class UnstorableRecord(GranitetrestleError):
    """A record can't be put into the store's format, whatever is tried."""

    code = "unstorable_record"


class FrameError(GranitetrestleError):
    """A message between processes can't be decoded; it is dropped whole."""

    code = "frame"
    http_status = 400


class InvariantViolated(GranitetrestleError):
    """An invariant of the system does not hold in this state, which is a bug."""

    code = "invariant"
