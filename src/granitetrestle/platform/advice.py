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


class _Answer(msgspec.Struct):
    """``good`` has a row for each box that may run the step: its id and its ticket."""

    good: list[list[str]] = []
    valid_ms: float = 0.0


_answers = msgspec.json.Decoder(_Answer)


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
        tickets = {
            by_id[row[0]]: row[1]
            for row in answer.good
            if len(row) > 1 and row[0] in by_id
        }
        return Advice(tickets, answer.valid_ms / 1000.0)
