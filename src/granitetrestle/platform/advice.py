"""Client of the platform's advice service, which says what boxes may run a step."""

import typing as t

import msgspec

from ..calls import Caller
from ..calls import CallFailure
from ..errors import DECODE_ERRORS
from ..incarnations import box_id_of
from ..interfaces import Advice
from ..interfaces import AdviceUnavailable
from ..interfaces import Advisor

__all__ = ["PlatformAdvisor"]

# A service that works accepts connections at once, however long its answers take.
CONNECT_TIMEOUT_S: t.Final = 1.0
OK: t.Final = 200
MAX_VALID_MS: t.Final = 2**53


class _Answer(msgspec.Struct):
    """``good`` has a row for each box that may run the step: its id and its ticket."""

    good: list[msgspec.Raw] = []
    valid_ms: t.Annotated[float, msgspec.Meta(ge=0, le=MAX_VALID_MS)] = 0.0


_answers = msgspec.json.Decoder(_Answer)
_ticket_rows = msgspec.json.Decoder(list[str])


class PlatformAdvisor(Advisor):
    """Asks the advice service over HTTP."""

    def __init__(self, address: str, caller: Caller) -> None:
        self._address = address
        self._caller = caller

    async def advise(
        self, step: str, incarnations: t.Sequence[str], timeout_s: float
    ) -> Advice | AdviceUnavailable:
        """See :meth:`.interfaces.Advisor.advise`."""
        by_id = {box_id_of(incarnation): incarnation for incarnation in incarnations}
        body = msgspec.json.encode({"step": step, "workers": list(by_id)})
        headers = ((b"content-type", b"application/json"),)
        reply = await self._caller.call(
            self._address,
            "/api/advise",
            headers,
            body,
            timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        if isinstance(reply, CallFailure):
            # A call that was not sent needs no time at the service.
            timed_out = reply.timed_out and reply.proof.may_have_run
            return AdviceUnavailable(reply.proof.detail, timed_out)
        if reply.status != OK:
            return AdviceUnavailable(str(reply.status))
        try:
            answer = _answers.decode(reply.body)
        except DECODE_ERRORS as error:
            return AdviceUnavailable(f"malformed answer: {error}")
        rows = filter(None, map(_ticket_row, answer.good))
        tickets = {by_id[box]: ticket for box, ticket in rows if box in by_id}
        return Advice(tickets, answer.valid_ms / 1000.0)


def _ticket_row(raw: msgspec.Raw) -> tuple[str, str] | None:
    """Return a box's id and ticket, or ``None`` if the row has not both."""
    try:
        row = _ticket_rows.decode(raw)
    except DECODE_ERRORS:
        return None
    return (row[0], row[1]) if len(row) > 1 else None
