"""Authentication of callers: accounts and operators by bearer tokens, peer processes
by the shared secret. Only hashes of bearer tokens are kept, and all comparisons take
constant time."""

import enum
import hashlib
import hmac
import typing as t

from .errors import AccessDenied
from .settings import Settings
from .table import Table

__all__ = ["Access", "Role"]

OPERATOR: t.Final = "operator"
BEARER_PREFIX: t.Final = "Bearer "


class Role(enum.Enum):
    """Role of a caller, which decides what it may do."""

    ACCOUNT = "account"
    OPERATOR = "operator"


class Caller(t.NamedTuple):
    """An authenticated caller; ``account`` is empty for an operator."""

    role: Role
    account: str


class Access:
    """Checks tokens of the form ``ACCOUNT.SECRET`` or ``operator.SECRET``."""

    def __init__(self, settings: Settings, table: Table) -> None:
        self._operator = settings.operator_token_sha256
        self._peer = settings.peer_token.encode()
        self._table = table

    def authenticate(self, authorization: str) -> Caller:
        """Return the caller that an ``Authorization`` header identifies.

        :param authorization: value of the header.
        :raises AccessDenied: if the token is missing or wrong.
        """
        if not authorization.startswith(BEARER_PREFIX):
            raise AccessDenied("no bearer token", "send Authorization: Bearer TOKEN")
        name, _, secret = authorization[len(BEARER_PREFIX) :].partition(".")
        given = hashlib.sha256(secret.encode()).hexdigest()
        if name == OPERATOR:
            if hmac.compare_digest(given, self._operator):
                return Caller(Role.OPERATOR, "")
            raise AccessDenied("wrong token", "check the operators' token")
        expected = str(self._table.cell(name, "token_sha256").value)
        # An account without a token is compared with a value that no hash can have.
        if hmac.compare_digest(given, expected or "-" * len(given)):
            return Caller(Role.ACCOUNT, name)
        raise AccessDenied("wrong token", "check the account's token")

    def require_operator(self, authorization: str) -> None:
        """Check that the caller is an operator.

        :param authorization: value of the ``Authorization`` header.
        :raises AccessDenied: if the caller is not an operator or its token is wrong.
        """
        if self.authenticate(authorization).role is not Role.OPERATOR:
            raise AccessDenied("only operators may do this", "use the operators' token")

    def is_peer(self, token: bytes) -> bool:
        """Return whether a request's token is the one that processes share."""
        return bool(token) and hmac.compare_digest(token, self._peer)
