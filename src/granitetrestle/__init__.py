"""granitetrestle: a scheduler for colocated latency-critical and batch work."""

from .errors import GranitetrestleError as GranitetrestleError
from .events import Effect as Effect
from .events import Event as Event
from .outcomes import Accepted as Accepted
from .outcomes import Answered as Answered
from .outcomes import NotRun as NotRun
from .outcomes import Outcome as Outcome
from .outcomes import Rejected as Rejected
from .outcomes import Unknown as Unknown
from .reducer import Reducer as Reducer
from .reducer import Setup as Setup

__all__ = [
    "Accepted",
    "Answered",
    "Effect",
    "Event",
    "GranitetrestleError",
    "NotRun",
    "Outcome",
    "Reducer",
    "Rejected",
    "Setup",
    "Unknown",
]
