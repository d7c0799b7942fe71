"""Baseline: a bare forwarder on the same libraries as the daemon, which decides
nothing. What the daemon costs beyond it is the price of its decisions."""

import sys
import typing as t

import anyio

from granitetrestle.calls import Caller
from granitetrestle.calls import CallFailure
from granitetrestle_standins.serving import serve

__all__ = ["main"]

Scope: t.TypeAlias = t.MutableMapping[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[t.MutableMapping[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[t.MutableMapping[str, t.Any]], t.Awaitable[None]]


class Forwarder:
    """ASGI application that sends each request to the next target."""

    def __init__(self, targets: t.Sequence[str]) -> None:
        self._targets = list(targets)
        self._turn = 0
        self._caller = Caller()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward one request."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        self._turn += 1
        target = self._targets[self._turn % len(self._targets)]
        path = "/v1/serve/" + scope["path"].split("/")[3]
        reply = await self._caller.call(target, path, (), body)
        status, answer = 502, b""
        if not isinstance(reply, CallFailure):
            status, answer = reply.status, reply.body
        headers = [(b"content-length", str(len(answer)).encode())]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": answer})


def main() -> None:
    """Serve: ``forwarder IP PORT TARGET...``."""
    ip, port, *targets = sys.argv[1:]
    anyio.run(serve, Forwarder(targets), ip, int(port))


if __name__ == "__main__":
    main()
