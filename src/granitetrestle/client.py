"""HTTP client of the command line. It tries the entries in turn and converts error
bodies back into the package's typed errors."""

import typing as t

import httpcore
import msgspec

from . import errors
from .errors import DECODE_ERRORS
from .errors import GranitetrestleError
from .errors import UnreachableError

__all__ = ["Client"]

CALL_TIMEOUT_S = 10.0
ERROR_TYPES: t.Final[dict[str, type[GranitetrestleError]]] = {
    error_type.code: error_type
    for error_type in (
        errors.InvalidInput,
        errors.AccessDenied,
        errors.NotFound,
        errors.ConflictError,
        errors.OutcomeUnknown,
        errors.UnreachableError,
    )
}


class Client:
    """Calls the administration API.

    :param entries: addresses (IP:PORT) of entry processes or of the balancer.
    :param token: bearer token, ``NAME.SECRET``.
    """

    def __init__(self, entries: t.Sequence[str], token: str) -> None:
        self._entries = list(entries)
        self._token = token
        self._pool = httpcore.ConnectionPool()

    def call(self, method: str, path: str, body: t.Any = None) -> t.Any:
        """Make a call and return the decoded answer.

        A call other than GET is not repeated at the next entry once it may have been
        sent, since it may have taken effect.

        :raises UnreachableError: if no entry accepted the connection or answered, or
            the answer is not JSON.
        :raises OutcomeUnknown: if a call other than GET was sent and not answered.
        :raises GranitetrestleError: the typed error in the answer.
        """
        problem = "no entries given"
        for entry in self._entries:
            try:
                response = self._send(entry, method, path, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                problem = f"{entry}: {error}"
                continue
            except (httpcore.TimeoutException, httpcore.NetworkError) as error:
                if method == "GET":
                    problem = f"{entry}: {error!r}"
                    continue
                raise errors.OutcomeUnknown(
                    f"{entry} did not answer",
                    "check whether it took effect before you repeat it",
                ) from error
            return self._decode(response)
        raise UnreachableError(problem, "set --entries to running processes")

    def _send(
        self, entry: str, method: str, path: str, body: t.Any
    ) -> httpcore.Response:
        names = ("connect", "read", "write", "pool")
        headers = [("Authorization", f"Bearer {self._token}")]
        return self._pool.request(
            method,
            f"http://{entry}{path}",
            headers=headers,
            content=None if body is None else msgspec.json.encode(body),
            extensions={"timeout": dict.fromkeys(names, CALL_TIMEOUT_S)},
        )

    @staticmethod
    def _decode(response: httpcore.Response) -> t.Any:
        try:
            answer = msgspec.json.decode(response.content)
        except DECODE_ERRORS as error:
            raise UnreachableError(
                f"the answer (status {response.status}) is not JSON"
            ) from error
        if response.status < 300:
            return answer
        code = answer.get("error", "") if isinstance(answer, dict) else ""
        if code == errors.NotRunError.code:
            retry_after_s = float(dict(response.headers).get(b"retry-after", b"1"))
            raise errors.NotRunError(answer["message"], retry_after_s)
        error_type = ERROR_TYPES.get(code, GranitetrestleError)
        raise error_type(answer.get("message", ""), answer.get("next_step", ""))
